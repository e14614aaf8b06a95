#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="target/deps:.:review"
exec python3 review/7/scenario.py
