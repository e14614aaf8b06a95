"""Requests that crash targets, at routers that hear of no restart."""

import httpcore
import pytest
import trio

from peridotwell.forwarding.targets.crash_tracker import CRASH_LIMIT
from tests.peridotwell_platform import cut_fleet
from tests.peridotwell_platform.router_fleet import FaultyTarget

ROUTERS = 3
CRASHING_PART = 'crashes'
REQUESTS = 8
# Longer than a target takes to come back.
INTERVAL_SECONDS = 0.4
SETTLE_SECONDS = 1
# What is known is out of date after less.
CUT_SECONDS = 3


async def send_crashing(fleet, number, content):
    """Send a request with the part that crashes targets to a router."""
    fields = {
        'x-model': 'm',
        'x-token-counts': '400,40',
        'x-prompt-prefix': f'{CRASHING_PART}:200,own:200',
    }
    try:
        await fleet.send(number, '/draft/x', content, **fields)
    except httpcore.RemoteProtocolError:
        return


# Guards against a router that crashes the same targets again and again, since
# it hears of none of their restarts and counts all their crashes as one.
@pytest.mark.parametrize('numbers', [(2,), (1, 2)])
@pytest.mark.parametrize('is_same', [True, False])
async def test_crashes_are_told_apart_behind_a_cut(nursery, numbers, is_same):
    fleet = await cut_fleet.start_fleet(nursery, ROUTERS, 0)
    target = FaultyTarget('i-0', fleet.store, CRASHING_PART)
    nursery.start_soon(target.run)
    await trio.sleep(SETTLE_SECONDS)
    fleet.cut_off(*numbers)
    await trio.sleep(CUT_SECONDS)
    for number in range(REQUESTS):
        content = b'q' if is_same else b'q%d' % number
        await send_crashing(fleet, 2, content)
        await trio.sleep(INTERVAL_SECONDS)
    assert target.crashes <= CRASH_LIMIT
