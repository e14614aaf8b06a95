"""Streams that callers take up at a router that lacks a new version.

A target of a new version registers while one router is out of step. Streams
begin there through another router, break off, and are taken up at that one.
"""

import msgspec
import pytest
import trio

from peridotwell.serving.asgi import serve_http
from tests.peridotwell_platform import cut_fleet, stand_in
from tests.peridotwell_platform.test_streams_at_new_routers import (
    NEW,
    begin_stream,
    resumed,
    take_up,
)

ROUTERS = 4
STREAMS = 8
# A release is known to all routers in touch after less.
KNOWN_SECONDS = 0.1
LATE_SECONDS = 1.0
# Longer than a refusal may take.
REFUSED_SECONDS = 0.6
# After a cut, streams go on again within this time.
REJOINED_SECONDS = 2.5


@pytest.fixture
async def fleet(nursery):
    """Routers that have let streams of the only version go on."""
    fleet = await cut_fleet.start_fleet(nursery, ROUTERS)
    streams = [f'before-{number}' for number in range(ROUTERS)]
    for request_id in streams:
        await begin_stream(fleet, 0, request_id)
    assert await resumed(fleet, range(ROUTERS), streams) == [200] * ROUTERS
    return fleet


async def add_new_version(fleet):
    """Register a target of the new version; return it."""
    target = stand_in.TargetStandIn('i-new')
    address = await fleet.nursery.start(
        serve_http, target.handle, f'{cut_fleet.LOCALHOST}:0'
    )
    entry = msgspec.json.decode(cut_fleet.target_entry(address))
    fleet.store.put(
        'servers/i-new', msgspec.json.encode({**entry, 'version': NEW})
    )
    fleet.targets.append(target)
    return target


async def begin_at(fleet, number, target, count=STREAMS):
    """Begin streams at a target, through a router; return their ids."""
    began = []
    for attempt in range(20 * count):
        request_id = f's-{attempt}'
        if await begin_stream(fleet, number, request_id) is target:
            began.append(request_id)
        if len(began) == count:
            return began
    pytest.fail('too few streams began at the target')


async def mixed(fleet, number, streams, target):
    """Take streams up; return how many went on at another target."""
    count = 0
    for request_id in streams:
        for each in fleet.targets:
            each.requests.clear()
        began = trio.current_time()
        status, resumed_at = await take_up(fleet, number, request_id)
        assert trio.current_time() - began < REFUSED_SECONDS
        assert status == (200 if resumed_at else 503)
        count += any(each is not target for each in resumed_at)
    return count


async def begin_streams(fleet):
    """Begin streams at any target through the first router."""
    streams = [f's-{number}' for number in range(STREAMS)]
    for request_id in streams:
        await begin_stream(fleet, 0, request_id)
    return streams


async def go_on(fleet, routers, streams):
    """Take streams up until all go on: callers come back when refused."""
    with trio.fail_after(REJOINED_SECONDS):
        while streams:
            statuses = await resumed(fleet, routers, streams)
            streams = [
                request_id
                for request_id, status in zip(streams, statuses, strict=True)
                if status != 200
            ]


# Guards against streams of two versions at a router that hears neither the
# store nor another router: no news is no evidence that nothing is new.
@pytest.mark.parametrize('seconds', [0.1, 0.5, 1.5])
async def test_a_router_that_is_cut_off_mixes_no_versions(fleet, seconds):
    fleet.cut_off(3)
    await trio.sleep(seconds)
    target = await add_new_version(fleet)
    await trio.sleep(KNOWN_SECONDS)
    streams = await begin_at(fleet, 0, target)
    assert await mixed(fleet, 3, streams, target) == 0


# Guards against routers that are cut off together and confirm to each other
# what neither can know.
@pytest.mark.parametrize('seconds', [0.1, 1, 4])
async def test_two_routers_that_are_cut_off_mix_no_versions(fleet, seconds):
    fleet.cut_off(2, 3)
    await trio.sleep(seconds)
    target = await add_new_version(fleet)
    await trio.sleep(KNOWN_SECONDS)
    streams = await begin_at(fleet, 0, target)
    assert await mixed(fleet, 3, streams, target) == 0


# Guards against streams of two versions at a router that hears of a release
# later than a stream takes to begin and to break off.
@pytest.mark.parametrize('late', [(3,), (2, 3)])
async def test_a_router_that_is_behind_mixes_no_versions(fleet, late):
    fleet.delay_news(LATE_SECONDS, *late)
    await trio.sleep(2 * LATE_SECONDS)
    target = await add_new_version(fleet)
    await trio.sleep(KNOWN_SECONDS)
    streams = await begin_at(fleet, 0, target, 1)
    assert await mixed(fleet, 3, streams, target) == 0


# Guards against streams that are refused after a cut for longer than it takes
# to hear the store again.
async def test_streams_go_on_after_a_cut(fleet):
    fleet.cut_off(2, 3)
    await trio.sleep(1)
    target = await add_new_version(fleet)
    await trio.sleep(KNOWN_SECONDS)
    streams = await begin_at(fleet, 0, target, 2)
    await mixed(fleet, 3, streams, target)
    fleet.join()
    await go_on(fleet, (2, 3), streams)
    assert await mixed(fleet, 3, streams, target) == 0


# Guards against a fix that refuses streams of the only version while the store
# is away from all routers: they hear each other, and nothing can be new.
@pytest.mark.parametrize('seconds', [0.1, 4])
async def test_streams_go_on_while_the_store_is_away(fleet, seconds):
    streams = await begin_streams(fleet)
    fleet.cut_from_store(*range(ROUTERS))
    await trio.sleep(seconds)
    await go_on(fleet, (1, 2, 3), streams)


# Guards against a fix that refuses streams of the only version because the
# router that began them has ended.
@pytest.mark.parametrize('cut', [(), (3,)])
async def test_streams_of_an_ended_router_go_on(fleet, cut):
    streams = await begin_streams(fleet)
    fleet.routers[0].scope.cancel()
    fleet.cut_from_store(*cut)
    await trio.sleep(KNOWN_SECONDS)
    await go_on(fleet, (1, 2, 3), streams)
