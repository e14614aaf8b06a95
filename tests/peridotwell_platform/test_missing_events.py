"""Events that a target leaves out."""

import base64

import msgspec
import pytest
import trio

from peridotwell.forwarding.streams import event_verdicts
from tests.peridotwell_platform.counted_events import (
    WHOLE,
    CountingTarget,
    send_burst,
)
from tests.peridotwell_platform.stream_ends import (
    SETTLE_SECONDS,
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


@pytest.fixture
def log_lines(monkeypatch):
    """Return the lines that tell of steps over ids, as (event, fields)."""
    lines = []
    for name in ('log_event', 'log_failure'):
        monkeypatch.setattr(
            event_verdicts,
            name,
            lambda event, **fields: lines.append((event, fields)),
        )
    return lines


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


async def put_again(harness, **changes) -> None:
    """Change the entry of the first raw target, and wait until it is known."""
    item = harness.store.items['servers/raw-0']
    entry = msgspec.json.decode(base64.b64decode(item['value']))
    harness.store.put('servers/raw-0', msgspec.json.encode(entry | changes))
    await trio.sleep(SETTLE_SECONDS)


# Guards against sound streams that are cut after a release whose ids jump.
@pytest.mark.parametrize('path', STREAM_PATHS)
@pytest.mark.parametrize('change', [{'version': '2'}, {'born': 7}])
async def test_ids_that_jump_from_a_start_on_are_passed_on_at_once(
    harness, nursery, path, change
):
    jumping = chunked(events(4, 9, 11))
    target = RawTarget(followed_by(jumping, chunked(events(1, 2, 3))))
    await use_raw_targets(harness, nursery, target)
    await learn_ids(harness, 1, 2, 3)
    await put_again(harness, **change)
    got = await caller_of(harness, path)(0)
    assert got == Got(200, events(4, 9, 11), 'chunks')


# Guards against sound streams that are cut where a few of a service's events
# hold several tokens, and ids count tokens: those of most go up by one.
@pytest.mark.parametrize('numbers', [(1, 2, 4, 5), (4, 9, 11, 12)])
async def test_an_engine_whose_events_hold_several_tokens_now_and_then(
    harness, nursery, numbers
):
    targets = [CountingTarget(numbers=(1, 2, 3)) for _ in range(2)]
    await use_raw_targets(harness, nursery, *targets)
    await learn_ids(harness, 1, 2, 3)
    for target in targets:
        target.numbers = numbers
    whole = Got(200, events(*numbers), 'chunks')
    # Another target begins at the same id, and from then on all have it.
    for path in ('/ask/x', '/draft/x'):
        for number in range(SOUND_STREAMS):
            assert await caller_of(harness, path)(number) == whole


# Guards against a target that leaves out an event and is believed, because
# other targets had what it left out.
async def test_a_target_that_is_shown_to_be_wrong_stays_wrong(
    harness, nursery, log_lines
):
    faulty = CountingTarget(share=1)
    await use_raw_targets(harness, nursery, faulty, CountingTarget())
    for number in range(SOUND_STREAMS):
        assert await caller_of(harness, '/ask/x')(number) == WHOLE
    shown = [fields for name, fields in log_lines if name == 'event.compared']
    assert shown
    assert {fields['evidence'] for fields in shown} == {'had_event'}
    faulty.left_out = 0
    send = caller_of(harness, '/draft/x')
    answers = [await send(number) for number in range(SOUND_STREAMS)]
    cut = [got for got in answers if got != WHOLE]
    assert len(cut) == faulty.left_out
    assert all(got.end == 'cut' for got in cut)


# Guards against two faulty targets that leave out the same event: one shows
# the other's step, and the check of the whole service ends.
async def test_two_of_three_targets_do_not_end_the_check(harness, nursery):
    faulty = [CountingTarget(), CountingTarget()]
    await use_raw_targets(harness, nursery, *faulty, CountingTarget())
    for path in STREAM_PATHS:
        for number in range(2 * SOUND_STREAMS):
            assert await caller_of(harness, path)(number) == WHOLE
    for target in faulty:
        target.share = 1
    for number in range(3 * SOUND_STREAMS):
        await caller_of(harness, '/ask/x')(number)
    burst = await send_burst(harness, '/draft/x', 20)
    assert not burst.wrong
