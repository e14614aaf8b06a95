#!/bin/sh
# Builds the stand-ins that the scripts of the second review start: compiles
# them, the project's own too. They use only what the build of the deploy file
# has installed into target/deps.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/harness_2 tests/ports.py \
    tests/peridotwell_platform/stand_in.py
