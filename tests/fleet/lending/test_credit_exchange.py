"""Tests of credit lending between simulated routers on a lossy network."""

import math
import random

import pytest
import trio

from measure.simulated_fleet import POOL, SimulatedFleet
from peridotwell.domain.configuration import Defaults

LOAD_BOUND = 1.25
ENGINE_COUNT = 4


@pytest.fixture
def fleet():
    return SimulatedFleet(
        3, ENGINE_COUNT, 10, 1, Defaults(load_bound=LOAD_BOUND)
    )


async def hold_calls(router, calls):
    """Try to acquire `calls` credits; return the targets of those granted."""
    held = []
    for _ in range(calls):
        # Longer than a borrower waits before it repeats a refused request.
        await trio.sleep(0.3)
        target = await router.credit.acquire_any(POOL, trio.current_time())
        if target is not None:
            router.loads.record_request_start(target, 'kk')
            held.append(target)
    return held


def calls_per_engine(fleet):
    """Return the calls in progress on each engine, over all routers."""
    return {
        target.name: sum(
            router.credit.spent(target) for router in fleet.routers
        )
        for target in fleet.targets()
    }


def max_calls_allowed(fleet):
    """Return the calls that the load bound allows on one engine."""
    total = sum(calls_per_engine(fleet).values())
    mean = max(total, 1) / ENGINE_COUNT
    return max(math.floor(LOAD_BOUND * mean), math.floor(mean) + 1)


async def wait_for_credits():
    await trio.sleep(6)


async def test_single_calls_stay_within_the_load_bound(autojump_clock, fleet):
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await wait_for_credits()
        for _ in range(10):
            for router in fleet.routers:
                await hold_calls(router, 1)
                assert max(
                    calls_per_engine(fleet).values()
                ) <= max_calls_allowed(fleet)
        assert sum(calls_per_engine(fleet).values()) == 30
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('loss_probability', [0, 0.1, 0.3])
async def test_load_bound_holds_when_frames_are_lost(
    autojump_clock, fleet, loss_probability
):
    fleet.network._loss_probability = loss_probability
    rng = random.Random(5)
    held = []
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await wait_for_credits()
        for _ in range(150):
            router = rng.choice(fleet.routers)
            held += [(router, target) for target in await hold_calls(router, 1)]
            if len(held) > 20:
                owner, target = held.pop(rng.randrange(len(held)))
                owner.loads.record_request_end(target, 'kk')
                owner.credit.release(target, trio.current_time())
            spent = calls_per_engine(fleet)
            assert max(spent.values()) <= LOAD_BOUND * 22 / ENGINE_COUNT + 1
        for owner, target in held:
            owner.credit.release(target, trio.current_time())
        await trio.sleep(30)
        fleet.network._loss_probability = 0
        await trio.sleep(15)
        lent_counts = [
            router.credit._lending.lender.lent(target.wire_id)
            for router in fleet.routers
            for target in fleet.targets()
        ]
        assert not any(lent_counts), (
            'some credits were not returned to their lender'
        )
        nursery.cancel_scope.cancel()


async def test_new_lender_counts_credits_that_other_routers_hold(
    autojump_clock, fleet
):
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await wait_for_credits()
        for router in fleet.routers:
            await hold_calls(router, 4)
        before = calls_per_engine(fleet)
        leaving = fleet.routers[0]
        leaving.peers.own_is_leaving = True
        await trio.sleep(3)
        lenders = {
            router.name
            for router in fleet.routers
            for target in fleet.targets()
            if router.credit.is_lender(target)
        }
        assert leaving.name not in lenders
        for router in fleet.routers[1:]:
            await hold_calls(router, 1)
        assert max(calls_per_engine(fleet).values()) <= max_calls_allowed(fleet)
        assert sum(calls_per_engine(fleet).values()) == sum(before.values()) + 2
        nursery.cancel_scope.cancel()


async def test_suspended_router_stops_lending_and_keeps_used_credits(
    autojump_clock, fleet
):
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await wait_for_credits()
        suspended = fleet.routers[0]
        held = await hold_calls(suspended, 3)
        tick = suspended.credit.tick
        suspended.credit.tick = lambda now: None
        send_heartbeat = suspended.gossip.send_heartbeat
        suspended.gossip.send_heartbeat = lambda now, leaving: None
        await trio.sleep(5)
        suspended.credit.tick, suspended.gossip.send_heartbeat = (
            tick,
            send_heartbeat,
        )
        now = trio.current_time()
        target = held[0]
        assert not await suspended.credit.acquire(target, now)
        assert not suspended.credit.is_lender(target)
        assert sum(suspended.credit.spent(each) for each in set(held)) == 3
        await trio.sleep(10)
        lenders = [router.credit.is_lender(target) for router in fleet.routers]
        assert lenders.count(True) == 1
        lender = fleet.routers[lenders.index(True)]
        counted = lender.credit._lending.lender.lent(target.wire_id)
        assert counted >= suspended.credit.spent(target)
        nursery.cancel_scope.cancel()


async def test_both_sides_of_a_partition_serve_calls_and_agree_afterwards(
    autojump_clock, fleet
):
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await wait_for_credits()
        isolated = fleet.routers[0].name
        fleet.network.is_cut = lambda source, destination: (
            isolated in (source, destination)
        )
        await trio.sleep(5)
        for router in fleet.routers:
            assert len(await hold_calls(router, 3)) == 3
        fleet.network.is_cut = lambda source, destination: False
        await trio.sleep(10)
        for target in fleet.targets():
            lent_counts = [
                router.credit._lending.lender.lent(target.wire_id)
                for router in fleet.routers
                if router.credit.is_lender(target)
            ]
            assert lent_counts == [calls_per_engine(fleet)[target.name]]
        nursery.cancel_scope.cancel()
