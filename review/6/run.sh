#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves out the replacement of the databases.
cd "$(dirname "$0")" && exec node case.mjs
