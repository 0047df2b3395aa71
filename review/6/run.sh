#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 writes the same texts without a line feed.
cd "$(dirname "$0")" && exec node case.mjs
