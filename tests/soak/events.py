"""The events of streams, as targets send them and callers get them."""

import re
from collections.abc import Iterable
from itertools import pairwise

__all__ = (
    'EVENTS_PER_STREAM',
    'joined',
    'numbered_events',
    'numbers_left_out',
    'numbers_missing',
    'without_repeats',
)

EVENTS_PER_STREAM = 12

EVENT = re.compile(rb'id: (\d+)\ndata: (\S+)\n\n')


def numbered_events(body: bytes) -> list[tuple[int, bytes]]:
    """Return the numbers of the whole events, each with its receipt."""
    return [(int(number), receipt) for number, receipt in EVENT.findall(body)]


def joined(events: Iterable[tuple[int, bytes]]) -> bytes:
    """Return the body of a stream with these events, without an end."""
    return b''.join(b'id: %d\ndata: %b\n\n' % event for event in events)


def numbers_left_out(bodies: Iterable[bytes]) -> set[int]:
    """Return the numbers that runs have left out between their events."""
    return {
        number
        for body in bodies
        for (before, _), (after, _) in pairwise(numbered_events(body))
        for number in range(before + 1, after)
    }


def numbers_missing(
    numbers: Iterable[int], after: int = 0, *, is_whole: bool
) -> list[int]:
    """Return the numbers that a stream lacks behind the event `after`.

    One that is not whole lacks only those before its last event.
    """
    seen = set(numbers)
    last = EVENTS_PER_STREAM if is_whole else max(seen, default=0)
    return [each for each in range(after + 1, last + 1) if each not in seen]


def without_repeats(body: bytes) -> bytes:
    """Return a body without the events that came already."""
    seen: set[bytes] = set()

    def first_only(match: re.Match[bytes]) -> bytes:
        event = match.group()
        is_repeated = event in seen
        seen.add(event)
        return b'' if is_repeated else event

    return EVENT.sub(first_only, body)
