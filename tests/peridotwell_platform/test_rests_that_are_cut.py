"""Targets that break off at the same event, also when asked for the rest."""

import pytest

from tests.peridotwell_platform.stream_ends import (
    caller_of,
    chunked,
    events,
    unmarked,
    use_raw_targets,
)
from tests.peridotwell_platform.test_path import harness
from tests.raw_target import RawResponse, RawTarget

__all__ = ('harness',)

SOUND_STREAMS = 30
CUT_STREAMS = 12
LAST_EVENT_ID = b'last-event-id'


class CutTarget(RawTarget):
    """Has one response to new streams, another one to those that go on."""

    def response_to(self, request: bytes) -> RawResponse:
        """Return the response to a request."""
        return self.responses[LAST_EVENT_ID in request.lower()]


async def count_rests(harness, nursery, rest):
    """Return for how many of the streams without a mark the rest was asked."""
    whole = chunked(events(*range(1, 13)))
    targets = [CutTarget([whole, rest]) for _ in range(3)]
    await use_raw_targets(harness, nursery, *targets)
    send = caller_of(harness, '/ask/x')
    for number in range(SOUND_STREAMS):
        await send(number)
    for target in targets:
        target.responses[0] = unmarked(events(1, 2, 3))
    for number in range(SOUND_STREAMS, SOUND_STREAMS + CUT_STREAMS):
        await send(number)
    requests = [each for target in targets for each in target.requests]
    return sum(LAST_EVENT_ID in request.lower() for request in requests)


# Guards against a rest that is cut itself, and ends the asking for others.
@pytest.mark.parametrize('rest', [b'', events(1, 2, 3)])
async def test_a_rest_without_a_mark_does_not_teach(harness, nursery, rest):
    asked = await count_rests(harness, nursery, unmarked(rest))
    assert asked == CUT_STREAMS


async def test_a_marked_rest_without_events_teaches(harness, nursery):
    asked = await count_rests(harness, nursery, chunked(b''))
    assert 0 < asked < CUT_STREAMS
