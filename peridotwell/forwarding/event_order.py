"""The order of the events of one stream, over all its attempts.

Events have increasing ids. One whose id does not increase came before: the
target, or the one that goes on in its place, has sent it again. Where the ids
of a service go up by one, an event is missing before one whose id does not.
"""

from collections.abc import AsyncGenerator
from contextlib import aclosing

from peridotwell.attempt_errors import ResponseTruncated
from peridotwell.domain.counts import is_count
from peridotwell.domain.target import Target
from peridotwell.forwarding.event_verdicts import EventStep, EventVerdicts

__all__ = ('EventMissing', 'EventOrder')

EVENT_ID_FIELD = b'id:'
CONTENT_FIELD = b'data'


class EventMissing(ResponseTruncated):
    """A target left out an event of a stream."""

    code = 'event_missing'


class EventOrder:
    """Keeps events in order, and knows which have come.

    `last_id` is the id of the last event that the caller has, at first
    `resumed_after`; `first_id` that of the first one that it got from here.
    `repeated` and `missing` are numbers of events: those that came again, and
    those that were left out if ids go up by one. `verdicts` tells whether they
    do in the service. `may_go_on` tells whether another target can be asked for
    the rest: not after content without an id, which would come again.
    """

    def __init__(
        self,
        verdicts: EventVerdicts,
        request_id: str,
        service: str,
        resumed_after: str = '',
    ) -> None:
        self._verdicts = verdicts
        self._request_id = request_id
        self._service = service
        # The target that sends events, once there is one.
        self._target: Target | None = None
        self.first_id = ''
        self.last_id = resumed_after
        self.events = 0
        self.repeated = 0
        self.missing = 0
        self.may_go_on = True

    @property
    def is_kept(self) -> bool:
        """Whether no event came again or, as far as is known, is missing."""
        is_missing = self.missing and self._verdicts.are_by_one(self._service)
        return not (self.repeated or is_missing)

    async def new_events(
        self, events: AsyncGenerator[bytes, None], target: Target
    ) -> AsyncGenerator[bytes, None]:
        """Yield the events of a target that the caller has not received yet.

        Raises EventMissing before one that does not follow the last one.
        """
        self._target = target
        async with aclosing(events):
            async for event in events:
                if self._accept(event):
                    yield event

    def record_complete(self) -> None:
        """Record that the stream is complete, to learn from its ids."""
        if not self.missing and self.first_id and self._target:
            self._verdicts.record(self._service, self._target, is_by_one=True)

    def _accept(self, event: bytes) -> bool:
        """Return whether the next event is a new one."""
        event_id = _parse_event_id(event)
        if event_id and not _is_after(event_id, self.last_id):
            self.repeated += 1
            return False
        if event_id:
            self._check_missing(event_id)
            self.first_id = self.first_id or event_id
            self.last_id = event_id
            self.may_go_on = True
        elif _has_content(event):
            self.may_go_on = False
        self.events += 1
        return True

    def _check_missing(self, event_id: str) -> None:
        """Raise EventMissing if events are missing before the next one."""
        missing = _count_missing(event_id, self.last_id)
        if missing <= 0 or self._target is None:
            return
        is_first = not self.missing
        self.missing += missing
        if is_first:
            # One stream counts once, however often its ids jump.
            self._verdicts.record(self._service, self._target, is_by_one=False)
        step = EventStep(
            self._request_id,
            self._service,
            self._target,
            self.last_id,
            event_id,
        )
        if self._verdicts.is_missing(step, may_log=is_first):
            raise EventMissing(
                f'Events are missing after {self.last_id or "the beginning"}.'
            )


def _parse_event_id(event: bytes) -> str:
    for line in event.split(b'\n'):
        if line.startswith(EVENT_ID_FIELD):
            return line[len(EVENT_ID_FIELD) :].strip().decode('latin-1')
    return ''


def _has_content(event: bytes) -> bool:
    return any(line.startswith(CONTENT_FIELD) for line in event.split(b'\n'))


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
