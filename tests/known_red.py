"""Runs all tests except the known failures that KNOWN-RED.txt lists.

Each entry of that file starts with a line `test: <pytest node id>`. The
listed tests are printed and deselected; any other failure fails the run.

Tests run in several processes. Those that start many processes of their own
form groups, each of which runs in one process after the other.
"""

import os
import sys
from pathlib import Path

import pytest

KNOWN_RED = Path('KNOWN-RED.txt')
TEST_PREFIX = 'test: '
MIN_WORKERS = 2


def main() -> int:
    content = KNOWN_RED.read_text() if KNOWN_RED.exists() else ''
    known_failures = [
        line.removeprefix(TEST_PREFIX).strip()
        for line in content.splitlines()
        if line.startswith(TEST_PREFIX)
    ]
    for node_id in known_failures:
        sys.stdout.write(f'known failure, deselected: {node_id}\n')
    deselected = [f'--deselect={node_id}' for node_id in known_failures]
    workers = max((os.cpu_count() or 1) // 2, MIN_WORKERS)
    parallel = [f'--numprocesses={workers}', '--dist=loadgroup']
    return int(pytest.main([*parallel, *deselected, *sys.argv[1:]]))


if __name__ == '__main__':
    sys.exit(main())
