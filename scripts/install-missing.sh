#!/bin/sh
# Installs the locked packages where they are missing or older than the lock file.
set -eu
if [ ! -e node_modules/.package-lock.json ] || [ package-lock.json -nt node_modules/.package-lock.json ]; then
	npm ci --no-audit --no-fund --loglevel=error
fi
