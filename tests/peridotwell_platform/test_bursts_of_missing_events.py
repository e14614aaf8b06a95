"""Bursts of streams that leave out an event."""

import pytest
import trio

from tests.peridotwell_platform.counted_events import (
    CountingTarget,
    send_burst,
)
from tests.peridotwell_platform.router_setup import (
    LOCALHOST,
    start_router,
    start_store,
)
from tests.peridotwell_platform.stream_ends import use_raw_targets
from tests.peridotwell_platform.test_path import CONFIG, harness
from tests.ports import find_free_port

__all__ = ('harness',)

STREAM_PATHS = ('/draft/x', '/ask/x')
SOUND_STREAMS = 100
# Streams that are sent at once, and how often.
BURST = 20
BURSTS = 4
# Routers tell each other what they know within this time after a start.
MEET_SECONDS = 3.5


def peer_address() -> str:
    """Return an address for other routers."""
    return f'{LOCALHOST}:{find_free_port()}'


async def check_bursts(harness, path, targets, bursts=BURSTS) -> None:
    """Check that no stream with a gap looks whole, and no sound one is cut."""
    for number in range(bursts):
        left_out = sum(target.left_out for target in targets)
        burst = await send_burst(harness, path, BURST)
        left_out = sum(target.left_out for target in targets) - left_out
        assert not burst.wrong, (number, burst.wrong, left_out)
        assert burst.whole >= BURST - left_out, number
    assert sum(target.left_out for target in targets)


# Guards against a burst of streams that leave out an event and look whole,
# because the first ones of it were taken for usual.
@pytest.mark.parametrize('path', STREAM_PATHS)
@pytest.mark.parametrize('share', [0.1, 0.3, 1])
@pytest.mark.parametrize('others', [0, 2])
async def test_streams_of_a_burst_do_not_look_whole(
    harness, nursery, path, share, others
):
    faulty = CountingTarget()
    sound = [CountingTarget() for _ in range(others)]
    await use_raw_targets(harness, nursery, faulty, *sound)
    for _ in range(SOUND_STREAMS // BURST):
        assert (await send_burst(harness, path, BURST)).whole == BURST
    faulty.share = share
    await check_bursts(harness, path, [faulty])


# Guards against the same at a router that has seen no sound streams yet.
@pytest.mark.parametrize('path', STREAM_PATHS)
@pytest.mark.parametrize('share', [0.3, 1])
@pytest.mark.parametrize('others', [0, 2])
async def test_streams_do_not_look_whole_at_a_router_that_has_just_started(
    harness, nursery, path, share, others
):
    faulty = CountingTarget(share=share)
    sound = [CountingTarget() for _ in range(others)]
    await use_raw_targets(harness, nursery, faulty, *sound)
    await check_bursts(harness, path, [faulty])


# Guards against the same where another router of the fleet knows the service:
# the event that is left out is the first one.
async def test_a_router_that_starts_learns_how_ids_go_up(nursery):
    store, address = await start_store(nursery, CONFIG)
    first = await start_router(nursery, 'r-1', address, peer_address())
    targets = [CountingTarget() for _ in range(3)]
    first_side = _Side(store, first.address)
    await use_raw_targets(first_side, nursery, *targets)
    for _ in range(SOUND_STREAMS // BURST):
        assert not (await send_burst(first_side, '/draft/x', BURST)).wrong
    targets[0].numbers = targets[0].numbers[1:]
    assert not (await send_burst(first_side, '/draft/x', BURST)).wrong
    second = await start_router(nursery, 'r-2', address, peer_address())
    await trio.sleep(MEET_SECONDS)
    burst = await send_burst(_Side(store, second.address), '/draft/x', BURST)
    assert not burst.wrong
    assert 0 < burst.whole < BURST


class _Side:
    """One router of a fleet, as the helpers of these tests take it."""

    def __init__(self, store, address) -> None:
        self.store = store
        self.address = address
