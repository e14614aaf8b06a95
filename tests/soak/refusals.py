"""Tells what routers went by when they refused what was in force.

    python -m tests.soak.refusals FOLDER

reads the records and logs that a run has kept. It prints each request that was
refused with a status of CONFIG more than a time after the store had taken a
version from which on all versions have its route and key, with the router's
line on it; and how late each router took the versions, beyond a time.
"""

import sys
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import UTC, datetime
from operator import attrgetter
from pathlib import Path
from typing import Any

import msgspec

from tests.soak.records import (
    Answered,
    AnyRecord,
    Record,
    RouterStarted,
    Sent,
    VersionWritten,
    select,
)
from tests.soak.router_logs import TIME_FORMAT
from tests.soak.touch import Touch
from tests.soak.versions import MAX_ALTERATIONS, allows

__all__ = ('LogLine', 'late_tables', 'late_refusals', 'read_lines')

STATUSES = frozenset((401, 403, 404))
BOUND_SECONDS = 2.0
LATE_TABLE_SECONDS = 0.8
REFUSAL_FIELDS = (
    'table',
    'table_age_seconds',
    'knowledge_age',
    'follows_store',
    'store_answer_age',
    'update_delay',
)


@dataclass(frozen=True)
class LogLine:
    """A line of a router's log, with its time as records have it."""

    at: float
    router: str
    fields: dict[str, Any]


def read_lines(folder: Path, clock_offset: float) -> Iterator[LogLine]:
    """Yield the lines on refusals and tables of all routers.

    `clock_offset` is added to the time of day, in seconds.
    """
    for path in sorted(folder.glob('r*.log')):
        for line in path.read_text(errors='replace').splitlines():
            if '"table.taken"' not in line and '"request.refused"' not in line:
                continue
            try:
                fields = msgspec.json.decode(line)
            except msgspec.DecodeError:
                # A line of a process that was killed may end early.
                continue
            logged = datetime.strptime(fields['time'], TIME_FORMAT)
            at = logged.replace(tzinfo=UTC).timestamp() + clock_offset
            yield LogLine(at, path.stem, fields)


def late_refusals(
    records: Iterable[Record],
    lines: Iterable[LogLine],
    bound_seconds: float = BOUND_SECONDS,
) -> Iterator[str]:
    """Yield each refusal of what has been in force for longer than a bound."""
    records = sorted(records, key=attrgetter('at'))
    touch = Touch(records)
    versions = tuple(select(records, VersionWritten))
    answers = {each.request_id: each for each in select(records, Answered)}
    refused = {
        each.fields['request']: each
        for each in lines
        if each.fields['event'] == 'request.refused'
    }
    found = [
        (sent, answers[sent.request_id], since)
        for sent in select(records, Sent)
        if sent.request_id in answers
        and answers[sent.request_id].status in STATUSES
        and not answers[sent.request_id].receipt
        and (since := _in_force_since(versions, sent, answers[sent.request_id]))
        is not None
        and sent.at - since.at > bound_seconds
    ]
    for sent, answer, since in found:
        others = {
            other.router
            for other, _, _ in found
            if abs(other.at - sent.at) < 1 and other.router != sent.router
        }
        line = refused.get(sent.request_id)
        shown = 'no line'
        if line is not None:
            shown = ', '.join(
                f'{name} {line.fields.get(name)}' for name in REFUSAL_FIELDS
            )
        calm = touch.is_router_calm(sent.router, sent.at, answer.at)
        store = touch.is_store_calm(sent.at, answer.at)
        yield (
            f'{sent.at:.3f} {sent.router} {answer.status} {sent.request_id} '
            f'{sent.route} {sent.key} {sent.at - since.at:.2f} s after version '
            f'{since.version}; router calm {calm}, store calm {store}; '
            f'{shown}; also behind: {sorted(others)}'
        )


def _in_force_since(
    versions: tuple[VersionWritten, ...], sent: Sent, answer: Answered
) -> VersionWritten | None:
    """Return the version from which on all versions allow a request."""
    since = None
    for version in sorted(versions, key=attrgetter('version'), reverse=True):
        if version.began_at > answer.at:
            continue
        if not allows(version.version, sent.route, sent.key):
            break
        if version.at <= answer.at:
            since = version
    return since


def late_tables(
    records: Iterable[Record],
    lines: Iterable[LogLine],
    late_seconds: float = LATE_TABLE_SECONDS,
) -> Iterator[str]:
    """Yield each version that a running router took so late, or a later one."""
    records = sorted(records, key=attrgetter('at'))
    touch = Touch(records)
    written = {
        each.version: each.at for each in select(records, VersionWritten)
    }
    taken = (each for each in lines if each.fields['event'] == 'table.taken')
    newest: dict[str, int] = {}
    for line in sorted(
        (*taken, *select(records, RouterStarted)), key=attrgetter('at')
    ):
        if isinstance(line, RouterStarted):
            # What a process takes first is late for no one.
            newest.pop(line.router, None)
            continue
        version = line.fields['version'] // MAX_ALTERATIONS
        before = newest.get(line.router, version)
        newest[line.router] = version
        missed = [
            at for number, at in written.items() if before < number <= version
        ]
        seconds = line.at - min(missed, default=line.at)
        if seconds > late_seconds:
            calm = touch.is_router_calm(line.router, line.at, line.at)
            store = touch.is_store_calm(line.at, line.at)
            yield (
                f'{line.at:.3f} {line.router} took {version} after {before} '
                f'{seconds:.2f} s late from {line.fields["source"]}; router '
                f'calm {calm}, store calm {store}'
            )


def main() -> int:
    """Print what is found in a folder; return the exit status."""
    folder = Path(sys.argv[1])
    records = msgspec.msgpack.decode(
        (folder / 'records').read_bytes(), type=list[AnyRecord]
    )
    lines = tuple(read_lines(folder, time.monotonic() - time.time()))
    for found in (*late_tables(records, lines), *late_refusals(records, lines)):
        sys.stdout.write(f'{found}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
