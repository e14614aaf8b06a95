"""Runs a case: with its disruption, or without it if TROUBLE is 0."""

import os
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import trio

__all__ = ('Record', 'run_case')

MAX_SECONDS = 100.0
HELD, BROKEN, FAILED = 0, 1, 2


class Record:
    """What was sent, answered and run; `broken` counts breaks of the rule."""

    def __init__(self) -> None:
        """Create an empty record."""
        self.lines: list[str] = []
        self.broken = 0

    def add(self, *parts: object) -> None:
        """Add a line."""
        line = ' '.join(map(str, parts))
        self.lines.append(line)
        sys.stdout.write(f'{line}\n')


# Called with a record, a folder for logs, and whether there is a disruption.
Case = Callable[[Record, Path, bool], Awaitable[None]]


def run_case(case: Case, folder: Path) -> int:
    """Run a case and write its record; return the exit status of the script."""
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record()
    record.add('disruption:', 'yes' if has_trouble else 'no')
    try:
        with tempfile.TemporaryDirectory() as logs:
            trio.run(_run_within, case, record, Path(logs), has_trouble)
    except Exception as exc:
        record.add('the case did not run:', repr(exc))
        status = FAILED
    else:
        status = BROKEN if record.broken else HELD
    record.add('exit status', status)
    (folder / 'record.txt').write_text('\n'.join((*record.lines, '')))
    return status


async def _run_within(
    case: Case, record: Record, logs: Path, has_trouble: bool
) -> None:
    with trio.fail_after(MAX_SECONDS):
        await case(record, logs, has_trouble)
