#!/bin/sh
# Runs the case from the repository's root; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec node review/5/run.mjs
