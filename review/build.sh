#!/usr/bin/env bash
# Builds the stand-ins that the cases start: the project's own, and those in review/support, which need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
sh scripts/install-missing.sh
npx tsc -p .
