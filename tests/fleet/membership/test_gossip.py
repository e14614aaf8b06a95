"""Tests of discovery and of target observations between simulated routers."""

import pytest
import trio

from measure.simulated_fleet import SimulatedFleet, SimulatedRouter
from peridotwell.domain.configuration import Defaults
from peridotwell.domain.target import wire_id
from peridotwell.fleet.membership.target_membership import TargetObservation
from peridotwell.fleet.transport.frames import Observations


@pytest.fixture
def fleet():
    return SimulatedFleet(4, 2, 10, 1, Defaults())


async def test_new_router_discovers_all_through_one_seed_with_few_frames(
    autojump_clock, fleet
):
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await trio.sleep(5)
        before = sum(router.transport.sent_frames for router in fleet.routers)
        newcomer = SimulatedRouter('new', fleet.network, Defaults())
        nursery.start_soon(newcomer.run_heartbeats, 0)
        newcomer.gossip.discovery.send_hello('router-0')
        await trio.sleep(5)
        discovered = {
            peer.hello.name
            for peer in newcomer.peers.live_peers(trio.current_time())
        }
        assert discovered == {router.name for router in fleet.routers}
        for router in fleet.routers:
            live = router.peers.live_peers(trio.current_time())
            assert 'new' in {peer.hello.name for peer in live}
        sent = (
            sum(router.transport.sent_frames for router in fleet.routers)
            - before
        )
        heartbeats = 4 * 4 * 10
        assert sent < 2 * heartbeats
        nursery.cancel_scope.cancel()


# Guards against targets whose slots a router never learns, because it had no
# connection yet when another one told them.
@pytest.mark.parametrize(
    'observed',
    [
        TargetObservation(wire_id('engine-0'), False, 10, 'start 2'),
        TargetObservation(wire_id('engine-0'), False, 10, slots=6),
    ],
)
async def test_lost_start_or_slots_are_requested_again(
    autojump_clock, fleet, observed
):
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await trio.sleep(5)
        fleet.routers[0].membership.apply_observation(observed)
        await trio.sleep(6)
        learned = fleet.routers[2].membership.target('engine-0')
        assert learned == fleet.routers[0].membership.target('engine-0')
        nursery.cancel_scope.cancel()


async def test_lost_observations_are_requested_again(autojump_clock, fleet):
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await trio.sleep(5)
        informed = fleet.routers[0]
        observation = TargetObservation(wire_id('engine-0'), True, 10)
        fleet.network.is_cut = lambda source, destination: (
            destination == 'router-2'
        )
        informed.membership.apply_observation(observation)
        informed.gossip.broadcast(Observations(1, (observation,)))
        await trio.sleep(0.1)
        fleet.network.is_cut = lambda source, destination: False
        uninformed = fleet.routers[2].membership
        assert not uninformed.target('engine-0').leaving
        await trio.sleep(3)
        assert uninformed.target('engine-0').leaving
        nursery.cancel_scope.cancel()


async def test_silent_routers_without_registration_are_removed(
    autojump_clock, fleet
):
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await trio.sleep(5)
        first, gone, cut_off, _ = fleet.routers
        names = (gone.name, cut_off.name)
        fleet.network.is_cut = lambda source, destination: source in names
        await trio.sleep(5)
        listed = [cut_off.peers.own]
        first.gossip.discovery.remove_gone(listed, trio.current_time())
        known = {peer.hello.name for peer in first.peers.known_peers()}
        assert known == {cut_off.name, fleet.routers[3].name}
        nursery.cancel_scope.cancel()


def test_invalid_frames_are_counted_and_ignored(fleet):
    router = fleet.routers[0]
    for frame in (b'', b'garbage', bytes(range(256)), b'\x92\x01'):
        router.gossip.receive(frame, 0, 0)
    assert router.metrics.counters['peer.garbage'] == 4
