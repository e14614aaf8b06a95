#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are plain Python of the standard
# library, so they are only compiled, to find errors before a case starts.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review <<'PY'
import pathlib
import sys

for path in sorted(pathlib.Path(sys.argv[1]).rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
PY
