#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 15 start.
set -eu
cd "$(dirname "$0")/.."
npx tsc -p . --outDir target/review-3
