"""The real lending code between routers over a lossy network in memory."""

import math
import random

import pytest
import trio

from measure.simulated_fleet import POOL, SimulatedFleet
from peridotwell.domain.configuration import Defaults

BOUND = 1.25
ENGINES = 4


@pytest.fixture
def fleet():
    return SimulatedFleet(3, ENGINES, 10, 1, Defaults(load_bound=BOUND))


async def hold_calls(router, calls):
    """Acquire up to `calls` credits, as the bound allows."""
    held = []
    for _ in range(calls):
        # Longer than a refused ask is remembered.
        await trio.sleep(0.3)
        target = await router.credit.acquire_any(POOL, trio.current_time())
        if target is not None:
            router.loads.record_call_start(target, 'kk')
            held.append(target)
    return held


def outstanding(fleet):
    """Return the calls on each engine, summed over the routers."""
    return {
        target.name: sum(
            router.credit.spent(target) for router in fleet.routers
        )
        for target in fleet.targets()
    }


def most_allowed(fleet):
    total = sum(outstanding(fleet).values())
    mean = max(total, 1) / ENGINES
    return max(math.floor(BOUND * mean), math.floor(mean) + 1)


async def settle():
    await trio.sleep(6)


async def test_lone_calls_spread_no_further_than_the_bound(
    autojump_clock, fleet
):
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await settle()
        for _ in range(10):
            for router in fleet.routers:
                await hold_calls(router, 1)
                assert max(outstanding(fleet).values()) <= most_allowed(fleet)
        assert sum(outstanding(fleet).values()) == 30
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('lost_fraction', [0, 0.1, 0.3])
async def test_bound_holds_though_frames_are_lost(
    autojump_clock, fleet, lost_fraction
):
    fleet.network._loss_probability = lost_fraction
    rng = random.Random(5)
    held = []
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await settle()
        for _ in range(150):
            router = rng.choice(fleet.routers)
            held += [(router, one) for one in await hold_calls(router, 1)]
            if len(held) > 20:
                owner, target = held.pop(rng.randrange(len(held)))
                owner.loads.record_call_end(target, 'kk')
                owner.credit.release(target, trio.current_time())
            spent = outstanding(fleet)
            assert max(spent.values()) <= BOUND * 22 / ENGINES + 1
        for owner, target in held:
            owner.credit.release(target, trio.current_time())
        await trio.sleep(30)
        fleet.network._loss_probability = 0
        await trio.sleep(15)
        lent = [
            router.credit._lending.lender.lent(target.wire_id)
            for router in fleet.routers
            for target in fleet.targets()
        ]
        assert not any(lent), 'every credit came back'
        nursery.cancel_scope.cancel()


async def test_new_lender_counts_what_the_others_hold(autojump_clock, fleet):
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await settle()
        for router in fleet.routers:
            await hold_calls(router, 4)
        before = outstanding(fleet)
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
        assert max(outstanding(fleet).values()) <= most_allowed(fleet)
        assert sum(outstanding(fleet).values()) == sum(before.values()) + 2
        nursery.cancel_scope.cancel()


async def test_router_that_was_frozen_neither_lends_nor_keeps(
    autojump_clock, fleet
):
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await settle()
        frozen = fleet.routers[0]
        held = await hold_calls(frozen, 3)
        tick = frozen.credit.tick
        frozen.credit.tick = lambda now: None
        beat = frozen.gossip.send_heartbeat
        frozen.gossip.send_heartbeat = lambda now, leaving: None
        await trio.sleep(5)
        frozen.credit.tick, frozen.gossip.send_heartbeat = tick, beat
        now = trio.current_time()
        target = held[0]
        assert not await frozen.credit.acquire(target, now)
        assert not frozen.credit.is_lender(target)
        assert sum(frozen.credit.spent(one) for one in set(held)) == 3
        await trio.sleep(10)
        lenders = [router.credit.is_lender(target) for router in fleet.routers]
        assert lenders.count(True) == 1
        lender = fleet.routers[lenders.index(True)]
        counted = lender.credit._lending.lender.lent(target.wire_id)
        assert counted >= frozen.credit.spent(target)
        nursery.cancel_scope.cancel()


async def test_halves_that_are_cut_apart_each_go_on_and_rejoin(
    autojump_clock, fleet
):
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await settle()
        alone = fleet.routers[0].name
        fleet.network.is_cut = lambda source, sink: alone in (source, sink)
        await trio.sleep(5)
        for router in fleet.routers:
            assert len(await hold_calls(router, 3)) == 3
        fleet.network.is_cut = lambda source, sink: False
        await trio.sleep(10)
        for target in fleet.targets():
            lent = [
                router.credit._lending.lender.lent(target.wire_id)
                for router in fleet.routers
                if router.credit.is_lender(target)
            ]
            assert lent == [outstanding(fleet)[target.name]]
        nursery.cancel_scope.cancel()
