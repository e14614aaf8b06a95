"""Explains what happened to a request, from the routers' log lines."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from peridotwell.decoding import DECODING_ERRORS

__all__ = ('LogLine', 'read_lines', 'explain')

OMITTED_FIELDS = frozenset(
    ('time', 'level', 'instance', 'data_centre', 'event')
)
# Events about targets, the configuration, the store and routers that may
# explain what happens to later requests.
CONTEXT_EVENTS = frozenset(
    (
        'table.taken',
        'table.invalid',
        'table.refused_by_older',
        'target.leaving',
        'target.gone',
        'target.doubted',
        'target.invalid',
        'target.restarted',
        'target.set_aside',
        'store.lost',
        'store.regained',
        'store.returned',
        'store.restored',
        'removals.doubted',
        'router.stopping',
        'router.started',
    ),
)
# How many of these events are kept for each router.
CONTEXT_LINES = 12


@dataclass(frozen=True)
class LogLine:
    """One line of a router's log; `fields` holds all its keys and values."""

    fields: dict[str, Any]

    @property
    def event(self) -> str:
        """The stable name of the event."""
        return str(self.fields.get('event', ''))

    @property
    def instance(self) -> str:
        """The instance that wrote the line."""
        return str(self.fields.get('instance', ''))

    def __str__(self) -> str:
        details = ' '.join(
            f'{name}={text}'
            for name, text in self.fields.items()
            if name not in OMITTED_FIELDS
        )
        timestamp = self.fields.get('time', '?')
        return f'{timestamp} {self.instance} {self.event} {details}'


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the JSON log lines; text before the JSON object is ignored."""
    for line in lines:
        start = line.find('{')
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(line[start:])
        except DECODING_ERRORS:
            continue
        if isinstance(fields, dict) and 'event' in fields:
            yield LogLine(fields)


def explain(lines: Iterable[LogLine], request: str) -> list[str]:
    """Return the lines about a request, each preceded by its context.

    The context of a line consists of the latest events of the same router
    about the target that the line names, the store and the configuration.
    """
    output: list[str] = []
    recent_events: dict[str, list[LogLine]] = {}
    for line in lines:
        if line.fields.get('request') == request:
            output.extend(_context(recent_events.pop(line.instance, []), line))
            output.append(str(line))
        elif line.event in CONTEXT_EVENTS:
            context = recent_events.setdefault(line.instance, [])
            context.append(line)
            del context[:-CONTEXT_LINES]
    return output


def _context(recent_events: list[LogLine], line: LogLine) -> Iterator[str]:
    target = line.fields.get('target')
    for event in recent_events:
        if event.fields.get('target') in {None, target}:
            yield f'  before: {event}'
