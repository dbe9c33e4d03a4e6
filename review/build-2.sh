#!/bin/sh
# Builds what the scripts of cases 4 to 8 start beside the edge's bundle: the project's stand-ins for the store and the workers.
set -eu
cd "$(dirname "$0")/.."
npx tsc -p .
