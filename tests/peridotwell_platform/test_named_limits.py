"""Limits that targets name for all routers together."""

from collections import Counter

import pytest
import trio

from tests.peridotwell_platform.router_fleet import start_fleet

LIMIT = 2
WINDOW_SECONDS = 4
CONTACT_SECONDS = 3
# Requests in a window that the users allow at most.
ALLOWED = 1.5 * LIMIT * WINDOW_SECONDS + 5
CALLERS_PER_ROUTER = 4
PAUSE_SECONDS = 0.03


@pytest.fixture
async def fleet(nursery):
    return await start_fleet(nursery, 'no part crashes', targets=3)


async def send_for(fleet, seconds):
    """Send requests to all routers; return the responses."""
    end = trio.current_time() + seconds
    responses = []

    async def call(router):
        while trio.current_time() < end:
            responses.append(await fleet.get(router, 'head'))
            await trio.sleep(PAUSE_SECONDS)

    async with trio.open_nursery() as nursery:
        for router in range(len(fleet.callers)):
            for _ in range(CALLERS_PER_ROUTER):
                nursery.start_soon(call, router)
    return responses


def busiest_window(target, begin):
    """Return the most arrivals in a window that starts at `begin` or later."""
    arrivals = [at for at in target.arrivals if at >= begin]
    return max(
        (
            sum(first <= at < first + WINDOW_SECONDS for at in arrivals)
            for first in arrivals
        ),
        default=0,
    )


# Guards against a target that gets more than the limit that it has named,
# summed over all routers.
async def test_target_gets_no_more_than_the_limit_that_it_names(fleet):
    limited = fleet.targets[0]
    limited.limit = str(LIMIT)
    started_at = trio.current_time()
    responses = await send_for(fleet, CONTACT_SECONDS + 2 * WINDOW_SECONDS)
    assert {resp.status for resp in responses} == {200}
    assert busiest_window(limited, started_at + CONTACT_SECONDS) <= ALLOWED
    assert len(limited.arrivals) >= LIMIT * WINDOW_SECONDS


async def test_target_that_names_no_limit_any_more_gets_its_share_again(fleet):
    limited = fleet.targets[0]
    limited.limit = str(LIMIT)
    await send_for(fleet, CONTACT_SECONDS)
    limited.limit = ''
    await send_for(fleet, CONTACT_SECONDS)
    ended_at = trio.current_time()
    responses = await send_for(fleet, WINDOW_SECONDS)
    assert busiest_window(limited, ended_at) > len(responses) / 6


def check_spread(refused):
    """Check that refused callers are not told to return together."""
    waits = [float(dict(resp.headers)[b'retry-after']) for resp in refused]
    assert all(0 < wait <= 5 for wait in waits)
    tenths = Counter(int(wait * 10) for wait in waits)
    assert len(tenths) >= 5
    assert max(tenths.values()) < len(waits) / 2


async def test_requests_over_all_limits_are_refused_at_once(fleet):
    for target in fleet.targets:
        target.limit = str(LIMIT)
    started_at = trio.current_time()
    responses = await send_for(fleet, CONTACT_SECONDS + WINDOW_SECONDS)
    for target in fleet.targets:
        assert busiest_window(target, started_at + CONTACT_SECONDS) <= ALLOWED
    refused = [resp for resp in responses if resp.status != 200]
    assert refused
    assert {resp.status for resp in refused} == {503}
    check_spread(refused)
    assert sum(len(target.arrivals) for target in fleet.targets) == len(
        [resp for resp in responses if resp.status == 200]
    )


# Guards against callers of a router without a share in any limit, who were all
# told to return after the same time.
async def test_routers_without_a_share_spread_their_callers(fleet):
    for target in fleet.targets:
        target.limit = '1'
    responses = await send_for(fleet, CONTACT_SECONDS + WINDOW_SECONDS)
    check_spread([resp for resp in responses if resp.status != 200])
