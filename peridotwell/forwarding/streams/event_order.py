"""The order of the events of one stream, over all its attempts.

Events have increasing ids. One whose id does not increase came before: the
target, or the one that goes on in its place, has sent it again. Where the ids
of a service go up by one, an event is missing before one whose id does not.
Another target that is asked for the rest shows whether that is so.
"""

from collections.abc import AsyncGenerator
from contextlib import aclosing

import trio

from peridotwell.attempt_errors import ResponseTruncated
from peridotwell.domain.counts import is_count
from peridotwell.domain.target import Target
from peridotwell.forwarding.streams.event_verdicts import (
    EventStep,
    EventVerdicts,
)
from peridotwell.policy.evidence.step_records import Evidence

__all__ = ('EventMissing', 'EventOrder')

EVENT_ID_FIELD = b'id:'
CONTENT_FIELD = b'data'


class EventMissing(ResponseTruncated):
    """A target left out an event of a stream."""

    code = 'event_missing'


class _Part:
    """What one target has sent of a stream.

    `target` is None if another router sends it: that one judges it. `by_one`
    counts its events with a number that follows the last one.
    """

    def __init__(self, target: Target | None) -> None:
        self.target = target
        self.events = 0
        self.by_one = 0
        self.has_step = False

    @property
    def shows_by_one(self) -> bool:
        """Whether its ids tell that those of the service go up by one."""
        return not self.has_step and self.by_one > 1


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
        self._part = _Part(None)
        # Events of the stream that went up by one, before the first step. The
        # one after which a caller resumes it is the first of them.
        self._by_one = int(is_count(resumed_after))
        # Whether a step over an id was passed on, as ids may jump.
        self._has_jumped = False
        # Whether another target has shown that ids of this stream jump.
        self._is_shown = False
        # The last step that was taken for a missing event.
        self._refused: EventStep | None = None
        self.first_id = ''
        self.last_id = resumed_after
        self.events = 0
        self.repeated = 0
        self.missing = 0
        self.may_go_on = True

    @property
    def is_kept(self) -> bool:
        """Whether no event came again or, as far as is known, is missing."""
        return not (self.repeated or self._refused)

    async def new_events(
        self, events: AsyncGenerator[bytes, None], target: Target | None
    ) -> AsyncGenerator[bytes, None]:
        """Yield the events of a target that the caller has not received yet.

        Without a target, another router sends them. Raises EventMissing before
        one that does not follow the last one.
        """
        self._part = _Part(target)
        async with aclosing(events):
            async for event in events:
                if self._accept(event):
                    yield event

    def record_complete(self) -> None:
        """Record that the stream is complete, to learn from its ids."""
        part = self._part
        if part.target is not None and part.shows_by_one:
            self._verdicts.record_by_one(
                self._service, part.target, trio.current_time()
            )

    def _accept(self, event: bytes) -> bool:
        """Return whether the next event is a new one."""
        event_id = _parse_event_id(event)
        if event_id and not _is_after(event_id, self.last_id):
            self.repeated += 1
            return False
        if event_id:
            self._check_step(event_id)
            self.first_id = self.first_id or event_id
            self.last_id = event_id
            self.may_go_on = True
        elif _has_content(event):
            self.may_go_on = False
        self.events += 1
        return True

    def _check_step(self, event_id: str) -> None:
        """Raise EventMissing if events are missing before the next one."""
        missing = _count_missing(event_id, self.last_id)
        part = self._part
        part.events += 1
        if part.events == 1 and self._refused:
            self._compare(self._refused, event_id, missing)
        if missing > 0:
            self.missing += missing
            if part.target is not None:
                self._check_missing(self._step(part.target, event_id))
        elif is_count(event_id):
            part.by_one += 1
            self._by_one += not self._has_jumped

    def _compare(self, refused: EventStep, event_id: str, missing: int) -> None:
        """Learn from the first event of the rest after a refused step."""
        target = self._part.target
        if (
            target is None
            or target.name == refused.target.name
            or target.software_id != refused.target.software_id
            or self.last_id != refused.last_id
        ):
            return
        evidence = Evidence.had_event
        if event_id == refused.next_id:
            evidence = Evidence.same_step
            self._is_shown = True
        elif missing:
            return
        self._verdicts.learn(
            self._step(target, event_id),
            refused.target,
            evidence,
            trio.current_time(),
        )

    def _step(self, target: Target, event_id: str) -> EventStep:
        return EventStep(
            self._request_id,
            self._service,
            target,
            self.last_id,
            event_id,
            self._by_one,
        )

    def _check_missing(self, step: EventStep) -> None:
        """Raise EventMissing if the step is taken for a missing event."""
        now = trio.current_time()
        is_missing = not self._is_shown and self._verdicts.is_missing(
            step, now, has_jumped=self._has_jumped
        )
        if not self._part.has_step:
            # A stream counts once, however often its ids jump.
            self._part.has_step = True
            self._verdicts.record_step(step, now)
        if is_missing:
            self._refused = step
            raise EventMissing(
                f'Events are missing after {self.last_id or "the beginning"}.'
            )
        self._has_jumped = True


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
