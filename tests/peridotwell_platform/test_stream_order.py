"""Events that come twice or out of order."""

import pytest

from tests.peridotwell_platform.counted_events import (
    NUMBERS,
    WHOLE,
    CountingTarget,
)
from tests.peridotwell_platform.stream_ends import (
    Got,
    caller_of,
    chunked,
    events,
    request_until_asked,
    unmarked,
    use_raw_targets,
)
from tests.peridotwell_platform.test_path import harness
from tests.raw_target import RawTarget

__all__ = ('harness',)

STREAM_PATHS = ('/draft/x', '/ask/x')


async def get(harness, nursery, path, response, **fields) -> Got:
    """Return what a caller gets if one target sends this response."""
    target = RawTarget([response])
    await use_raw_targets(harness, nursery, target)
    return await request_until_asked(caller_of(harness, path, **fields), target)


# Guards against events that a target sends twice and that reach callers twice,
# on routes that are not resumable too.
@pytest.mark.parametrize('path', STREAM_PATHS)
@pytest.mark.parametrize('make', [chunked, unmarked])
@pytest.mark.parametrize('sent', [(1, 2, 2, 3), (1, 2, 3, 2, 3), (1, 3, 2)])
async def test_no_event_reaches_a_caller_twice_or_late(
    harness, nursery, path, make, sent
):
    got = await get(harness, nursery, path, make(events(*sent)))
    increasing = [
        number
        for position, number in enumerate(sent)
        if number > max(sent[:position], default=0)
    ]
    assert got.content == events(*increasing)


# Guards against events that the caller has, sent again by a target that does
# not go on where it was asked to.
async def test_a_caller_who_resumes_gets_no_event_again(harness, nursery):
    response = chunked(events(1, 2, 3, 4))
    got = await get(harness, nursery, '/ask/x', response, last_event_id='2')
    assert got == Got(200, events(3, 4), 'chunks')


# Guards against streams without their beginning, for callers who name an event
# on a route whose streams can't be resumed: each request there is a new run.
@pytest.mark.parametrize(
    'target', [CountingTarget(), RawTarget([chunked(events(*NUMBERS))])]
)
async def test_a_stream_that_cannot_be_resumed_is_sent_from_its_beginning(
    harness, nursery, target
):
    await use_raw_targets(harness, nursery, target)
    send = caller_of(harness, '/draft/x', last_event_id='3', resumes='earlier')
    assert await send(0) == WHOLE
    assert b'last-event-id' not in target.requests[0].lower()


async def test_a_stream_that_can_be_resumed_goes_on_after_the_last_event(
    harness, nursery
):
    await use_raw_targets(harness, nursery, CountingTarget())
    send = caller_of(harness, '/ask/x', last_event_id='3', resumes='earlier')
    assert (await send(0)).content == events(*NUMBERS[3:])
