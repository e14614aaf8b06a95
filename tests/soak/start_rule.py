"""The rule of starts: a started router soon reads what its port receives.

Its port is open before its program is loaded, so that callers may connect.
"""

import os
from collections.abc import Iterable, Iterator
from pathlib import Path

import trio

from tests.soak.records import (
    Busy,
    Record,
    RouterDisturbed,
    RouterRuns,
    RouterStarted,
    now,
    select,
)

__all__ = ('judge_starts', 'record_busy')

# On a machine where no thread waits for a processor.
MAX_START_SECONDS = 3.0
BUSY_INTERVAL_SECONDS = 0.25


async def record_busy(records: list[Record]) -> None:
    """Record again and again how many threads want a processor."""
    while True:
        # Its fourth field is as 3/120: threads that can run, and all.
        fields = Path('/proc/loadavg').read_text().split()
        wanting = int(fields[3].partition('/')[0])
        records.append(Busy(now(), wanting / (os.cpu_count() or 1)))
        await trio.sleep(BUSY_INTERVAL_SECONDS)


def judge_starts(records: Iterable[Record]) -> Iterator[str]:
    """Yield the violations, given the records in the order of their times."""
    records = tuple(records)
    faults = tuple(select(records, RouterDisturbed))
    busy = tuple(select(records, Busy))
    started_at: dict[str, float] = {}
    for record in records:
        if isinstance(record, RouterStarted):
            started_at[record.router] = record.at
        if not isinstance(record, RouterRuns):
            continue
        begin = started_at.pop(record.router, record.at)
        allowed = _allowed_seconds(busy, begin, record.at)
        took = record.at - begin
        if took > allowed and not _is_disturbed(faults, record, begin):
            yield (
                f'{record.router} started for {took:.1f} s, '
                f'{allowed:.1f} s allowed'
            )


def _allowed_seconds(busy: Iterable[Busy], begin: float, end: float) -> float:
    shares = (each.per_processor for each in busy if begin < each.at < end)
    return MAX_START_SECONDS * max((1, *shares))


def _is_disturbed(
    faults: Iterable[RouterDisturbed], runs: RouterRuns, begin: float
) -> bool:
    """Return whether a fault held up a start, other than the one before it."""
    return any(
        fault.router == runs.router
        and fault.began_at < runs.at
        and begin < fault.at
        for fault in faults
    )
