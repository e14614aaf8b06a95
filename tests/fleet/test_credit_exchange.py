"""The credit protocol between routers over a simulated lossy network."""

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
    """Acquire up to `calls` credits, as far as the load bound allows."""
    held = []
    for _ in range(calls):
        # Longer than the backoff after a refused credit request.
        await trio.sleep(0.3)
        target = await router.credit.acquire_any(POOL, trio.current_time())
        if target is not None:
            router.loads.record_call_start(target, 'kk')
            held.append(target)
    return held


def outstanding(fleet):
    """Return the outstanding calls of each engine, over all routers."""
    return {
        target.name: sum(
            router.credit.spent(target) for router in fleet.routers
        )
        for target in fleet.targets()
    }


def max_allowed_calls(fleet):
    total = sum(outstanding(fleet).values())
    mean = max(total, 1) / ENGINES
    return max(math.floor(BOUND * mean), math.floor(mean) + 1)


async def wait_until_settled():
    await trio.sleep(6)


async def test_single_calls_stay_within_the_load_bound(autojump_clock, fleet):
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await wait_until_settled()
        for _ in range(10):
            for router in fleet.routers:
                await hold_calls(router, 1)
                assert max(outstanding(fleet).values()) <= max_allowed_calls(
                    fleet
                )
        assert sum(outstanding(fleet).values()) == 30
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('lost_fraction', [0, 0.1, 0.3])
async def test_bound_holds_when_messages_are_lost(
    autojump_clock, fleet, lost_fraction
):
    fleet.network._loss_probability = lost_fraction
    rng = random.Random(5)
    held = []
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await wait_until_settled()
        for _ in range(150):
            router = rng.choice(fleet.routers)
            held += [
                (router, held_target)
                for held_target in await hold_calls(router, 1)
            ]
            if len(held) > 20:
                owner, target = held.pop(rng.randrange(len(held)))
                owner.loads.record_call_end(target, 'kk')
                owner.credit.release(target, trio.current_time())
            calls = outstanding(fleet)
            assert max(calls.values()) <= BOUND * 22 / ENGINES + 1
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
        assert not any(lent), 'all credits must be returned'
        nursery.cancel_scope.cancel()


async def test_new_lender_counts_credits_held_by_other_routers(
    autojump_clock, fleet
):
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await wait_until_settled()
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
        assert max(outstanding(fleet).values()) <= max_allowed_calls(fleet)
        assert sum(outstanding(fleet).values()) == sum(before.values()) + 2
        nursery.cancel_scope.cancel()


async def test_suspended_router_neither_lends_nor_keeps_credits(
    autojump_clock, fleet
):
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await wait_until_settled()
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
        assert (
            sum(
                suspended.credit.spent(held_target) for held_target in set(held)
            )
            == 3
        )
        await trio.sleep(10)
        lenders = [router.credit.is_lender(target) for router in fleet.routers]
        assert lenders.count(True) == 1
        lender = fleet.routers[lenders.index(True)]
        counted = lender.credit._lending.lender.lent(target.wire_id)
        assert counted >= suspended.credit.spent(target)
        nursery.cancel_scope.cancel()


async def test_partitioned_routers_keep_working_and_rejoin(
    autojump_clock, fleet
):
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await wait_until_settled()
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
