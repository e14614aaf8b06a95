"""A part of prompts that crashes targets, over several routers."""

import pytest
import trio

from tests.peridotwell_platform.router_fleet import start_fleet

CRASHING = 'bad'
SHARED = ('head', 'document', 'chapter')
# Later than this many crashes, at most MAX_LATE_REQUESTS with the part may
# reach targets.
CRASH_BOUND = 5
MAX_LATE_REQUESTS = 3
POSITIONS = (
    pytest.param((CRASHING, 'head', 'document'), id='first'),
    pytest.param(('head', CRASHING, 'document'), id='between'),
    pytest.param(('head', 'document', CRASHING), id='last but one'),
)


@pytest.fixture
async def fleet(nursery):
    return await start_fleet(nursery, CRASHING)


async def crash_targets(fleet, parts, count, path='/draft/x'):
    """Send requests with the part to the routers in turn."""
    statuses = []
    for number in range(count):
        statuses.append(await fleet.send(number % 3, *parts, path=path))
        await fleet.wait_until_targets_serve()
    return statuses


async def send_sound_requests(fleet, *parts):
    """Send sound requests with these parts to all routers."""
    return [
        await fleet.send(router, *parts) for router in range(len(fleet.callers))
    ]


# Guards against targets that crash one after the other under a part of prompts
# that requests share, no two of which are alike.
@pytest.mark.parametrize('parts', POSITIONS)
async def test_part_that_crashes_targets_is_refused_by_all_routers(
    fleet, parts
):
    await crash_targets(fleet, parts, CRASH_BOUND)
    received = fleet.count_received(CRASHING)
    statuses = await crash_targets(fleet, parts, 2 * MAX_LATE_REQUESTS)
    assert fleet.count_received(CRASHING) - received <= MAX_LATE_REQUESTS
    assert set(statuses[MAX_LATE_REQUESTS:]) == {503}


async def test_resumable_streams_with_the_part_are_refused(fleet):
    parts = ('head', CRASHING, 'document')
    await crash_targets(fleet, parts, CRASH_BOUND, '/ask/x')
    received = fleet.count_received(CRASHING)
    await crash_targets(fleet, parts, 2 * MAX_LATE_REQUESTS, '/ask/x')
    assert fleet.count_received(CRASHING) - received <= MAX_LATE_REQUESTS


# Guards against refusals of sound requests that share the other parts and the
# caller with those that crash targets.
@pytest.mark.parametrize('parts', POSITIONS)
async def test_sound_requests_with_the_other_parts_are_served(fleet, parts):
    sound = tuple(part for part in parts if part != CRASHING)
    for _ in range(CRASH_BOUND):
        await crash_targets(fleet, parts, 1)
        await send_sound_requests(fleet, *sound)
    for _ in range(CRASH_BOUND):
        await crash_targets(fleet, parts, 1)
        assert set(await send_sound_requests(fleet, *sound)) == {200}
        assert set(await send_sound_requests(fleet, sound[0])) == {200}


@pytest.mark.parametrize('parts', POSITIONS)
async def test_parts_seen_only_beside_the_crashing_one_are_served(fleet, parts):
    await crash_targets(fleet, parts, CRASH_BOUND)
    for part in parts:
        if part != CRASHING:
            assert set(await send_sound_requests(fleet, part)) == {200}
    sound = tuple(part for part in parts if part != CRASHING)
    assert set(await send_sound_requests(fleet, *sound)) == {200}
    received = fleet.count_received(CRASHING)
    await crash_targets(fleet, (CRASHING, 'other'), 2 * MAX_LATE_REQUESTS)
    assert fleet.count_received(CRASHING) - received <= MAX_LATE_REQUESTS


# Guards against a router that has just started and sends requests on that the
# others refuse.
async def test_router_that_starts_later_refuses_the_part(fleet):
    parts = ('head', CRASHING, 'document')
    await crash_targets(fleet, parts, CRASH_BOUND)
    started = await fleet.start_router()
    await trio.sleep(3)
    received = fleet.count_received(CRASHING)
    assert await fleet.send(started, *parts) == 503
    assert fleet.count_received(CRASHING) == received
