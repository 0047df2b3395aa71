#!/bin/sh
# Builds the project's stand-ins for the scripts of the cases.
set -e
cd "$(dirname "$0")/.."
npx tsc -p . --outDir target/review
