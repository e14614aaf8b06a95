"""From a request's id to its cause, by the routers' log lines alone."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

__all__ = ('LogLine', 'read_lines', 'explain')

HIDDEN = frozenset(('time', 'level', 'instance', 'data_centre', 'event'))
# What routers learned of a target, or of the store, this long before a line
# of the request may explain it.
CONTEXT_EVENTS = frozenset(
    (
        'table.taken',
        'table.invalid',
        'target.leaving',
        'target.gone',
        'target.doubted',
        'target.invalid',
        'target.restarted',
        'target.set_aside',
        'store.lost',
        'store.regained',
        'router.stopping',
        'router.started',
    ),
)
CONTEXT_LINES = 12


@dataclass(frozen=True)
class LogLine:
    """One line of a router's log; `facts` holds all its fields."""

    facts: dict[str, Any]

    @property
    def event(self) -> str:
        """The stable name of the event."""
        return str(self.facts.get('event', ''))

    @property
    def instance(self) -> str:
        """The instance that wrote the line."""
        return str(self.facts.get('instance', ''))

    def __str__(self) -> str:
        details = ' '.join(
            f'{name}={text}'
            for name, text in self.facts.items()
            if name not in HIDDEN
        )
        when = self.facts.get('time', '?')
        return f'{when} {self.instance} {self.event} {details}'


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the JSON lines of a log; whatever precedes a line is dropped."""
    for line in lines:
        start = line.find('{')
        if start < 0:
            continue
        try:
            facts = msgspec.json.decode(line[start:])
        except msgspec.DecodeError:
            continue
        if isinstance(facts, dict) and 'event' in facts:
            yield LogLine(facts)


def explain(lines: Iterable[LogLine], request: str) -> list[str]:
    """Return the lines about a request, each after what led to it.

    The context of a line is what its router had learned just before, about
    the target that the line names, and about the store and configuration.
    """
    told: list[str] = []
    known: dict[str, list[LogLine]] = {}
    for line in lines:
        if line.facts.get('request') == request:
            told.extend(_context(known.pop(line.instance, []), line))
            told.append(str(line))
        elif line.event in CONTEXT_EVENTS:
            context = known.setdefault(line.instance, [])
            context.append(line)
            del context[:-CONTEXT_LINES]
    return told


def _context(known: list[LogLine], line: LogLine) -> Iterator[str]:
    target = line.facts.get('target')
    for earlier in known:
        if earlier.facts.get('target') in {None, target}:
            yield f'  before: {earlier}'
