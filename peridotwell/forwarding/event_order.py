"""The order of the events of one stream, over all its attempts.

Events have increasing ids. One whose id does not increase came before: the
target, or the one that goes on in its place, has sent it again.
"""

from collections.abc import AsyncGenerator
from contextlib import aclosing

from peridotwell.domain.counts import is_count

__all__ = ('EventOrder',)

EVENT_ID_FIELD = b'id:'


class EventOrder:
    """Keeps events in order, and knows which have come.

    `last_id` is the id of the last event that the caller has, at first
    `resumed_after`; `first_id` that of the first one that it got from here.
    `repeated` and `missing` are numbers of events: those that came again, and
    those that were left out if ids go up by one.
    """

    def __init__(self, resumed_after: str = '') -> None:
        self.first_id = ''
        self.last_id = resumed_after
        self.events = 0
        self.repeated = 0
        self.missing = 0

    async def new_events(
        self, events: AsyncGenerator[bytes, None]
    ) -> AsyncGenerator[bytes, None]:
        """Yield the events that the caller has not received yet."""
        async with aclosing(events):
            async for event in events:
                if self._accept(_parse_event_id(event)):
                    yield event

    def _accept(self, event_id: str) -> bool:
        """Return whether the next event is a new one."""
        if event_id and not _is_after(event_id, self.last_id):
            self.repeated += 1
            return False
        self.events += 1
        if event_id:
            self.missing += _count_missing(event_id, self.last_id)
            self.first_id = self.first_id or event_id
            self.last_id = event_id
        return True


def _parse_event_id(event: bytes) -> str:
    for line in event.split(b'\n'):
        if line.startswith(EVENT_ID_FIELD):
            return line[len(EVENT_ID_FIELD) :].strip().decode('latin-1')
    return ''


def _is_after(event_id: str, last_event_id: str) -> bool:
    """Return whether an event is newer; True if an id is not a number."""
    if is_count(event_id) and is_count(last_event_id):
        return int(event_id) > int(last_event_id)
    return True


def _count_missing(event_id: str, last_event_id: str) -> int:
    """Return the number of ids between two events, the first being 1."""
    if not is_count(event_id) or not is_count(last_event_id or '0'):
        return 0
    return int(event_id) - int(last_event_id or '0') - 1
