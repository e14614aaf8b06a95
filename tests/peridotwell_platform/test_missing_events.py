"""Events that a target leaves out."""

import pytest

from tests.peridotwell_platform.stream_ends import (
    Got,
    caller_of,
    chunked,
    events,
    unmarked,
    use_raw_targets,
)
from tests.peridotwell_platform.test_path import harness
from tests.raw_target import RawTarget

__all__ = ('harness',)

STREAM_PATHS = ('/draft/x', '/ask/x')
# Streams whose ids go up by one, so that a router knows it of the service.
SOUND_STREAMS = 12


async def learn_ids(harness, *numbers) -> None:
    """Send requests for sound streams with these ids."""
    send = caller_of(harness, '/draft/x')
    for number in range(SOUND_STREAMS):
        got = await send(number)
        assert got.content == events(*numbers)


def followed_by(first, others):
    """Return responses: a number of others, then the first one."""
    return [*[others] * SOUND_STREAMS, first]


# Guards against streams that leave out an event and look complete.
@pytest.mark.parametrize('path', STREAM_PATHS)
@pytest.mark.parametrize('make', [chunked, unmarked])
@pytest.mark.parametrize('sent', [(1, 2, 4), (2, 3, 4)])
async def test_a_stream_that_leaves_out_an_event_is_cut_there(
    harness, nursery, path, make, sent
):
    sound = chunked(events(1, 2, 3))
    target = RawTarget(followed_by(make(events(*sent)), sound))
    await use_raw_targets(harness, nursery, target)
    await learn_ids(harness, 1, 2, 3)
    got = await caller_of(harness, path)(0)
    if sent[0] == 1:
        assert (got.content, got.end) == (events(1, 2), 'cut')
    else:
        assert got.status == 502


# Guards against the same where another target has the event.
async def test_an_event_that_was_left_out_comes_from_another_target(
    harness, nursery
):
    sound = chunked(events(1, 2, 3))
    faulty = RawTarget(followed_by(chunked(events(1, 2, 4, 5)), sound))
    await use_raw_targets(harness, nursery, faulty)
    await learn_ids(harness, 1, 2, 3)
    other = RawTarget([chunked(events(3, 4, 5))])
    await use_raw_targets(harness, nursery, faulty, other)
    for number in range(40):
        other.requests.clear()
        got = await caller_of(harness, '/ask/x')(number)
        if b'last-event-id: 2' in b''.join(other.requests).lower():
            break
    assert got == Got(200, events(1, 2, 3, 4, 5), 'chunks')


# Guards against sound streams that are cut because their ids count something
# else than events, also where that begins with a new software version.
@pytest.mark.parametrize('path', STREAM_PATHS)
async def test_ids_that_jump_are_passed_on(harness, nursery, path):
    target = RawTarget([chunked(events(4, 9, 11))])
    await use_raw_targets(harness, nursery, target)
    await learn_ids(harness, 4, 9, 11)
    got = await caller_of(harness, path)(0)
    assert got == Got(200, events(4, 9, 11), 'chunks')


async def test_ids_that_begin_to_jump_are_soon_passed_on(harness, nursery):
    jumping = chunked(events(4, 9, 11))
    target = RawTarget(followed_by(jumping, chunked(events(1, 2, 3))))
    await use_raw_targets(harness, nursery, target)
    await learn_ids(harness, 1, 2, 3)
    send = caller_of(harness, '/draft/x')
    answers = [await send(number) for number in range(SOUND_STREAMS)]
    assert answers[-1] == Got(200, events(4, 9, 11), 'chunks')


# Guards against sound streams that are cut where a few of a service's events
# hold several tokens, and ids count tokens: those of most go up by one.
async def test_an_engine_whose_events_hold_several_tokens_now_and_then(
    harness, nursery
):
    target = RawTarget(
        followed_by(chunked(events(1, 2, 4)), chunked(events(1, 2, 3)))
    )
    await use_raw_targets(harness, nursery, target)
    await learn_ids(harness, 1, 2, 3)
    prompt = {
        'x_model': 'm',
        'x_token_counts': '9,4',
        'x_prompt_prefix': 'a:9',
    }
    got = await caller_of(harness, '/draft/x', **prompt)(0)
    assert got == Got(200, events(1, 2, 4), 'chunks')
