"""Greetings, news and state between routers in memory."""

import pytest
import trio

from measure.simulated_fleet import SimulatedFleet, SimulatedRouter
from peridotwell.domain.configuration import Defaults
from peridotwell.domain.target import wire_id
from peridotwell.fleet.frames import Observations
from peridotwell.fleet.target_membership import TargetObservation


@pytest.fixture
def fleet():
    return SimulatedFleet(4, 2, 10, 1, Defaults())


async def test_newcomer_meets_all_through_one_seed_and_few_frames(
    autojump_clock, fleet
):
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await trio.sleep(5)
        before = sum(router.transport.sent_frames for router in fleet.routers)
        new = SimulatedRouter('new', fleet.network, Defaults())
        nursery.start_soon(new.run_heartbeats, 0)
        new.gossip.discovery.send_hello('router-0')
        await trio.sleep(5)
        met = {
            peer.hello.name
            for peer in new.peers.live_peers(trio.current_time())
        }
        assert met == {router.name for router in fleet.routers}
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


async def test_news_that_were_lost_are_asked_for(autojump_clock, fleet):
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await trio.sleep(5)
        knowing = fleet.routers[0]
        sign = TargetObservation(wire_id('engine-0'), True, 10)
        fleet.network.is_cut = lambda source, sink: sink == 'router-2'
        knowing.membership.apply_observation(sign)
        knowing.gossip.broadcast(Observations(1, (sign,)))
        await trio.sleep(0.1)
        fleet.network.is_cut = lambda source, sink: False
        late = fleet.routers[2].membership
        assert not late.target('engine-0').leaving
        await trio.sleep(3)
        assert late.target('engine-0').leaving
        nursery.cancel_scope.cancel()


async def test_routers_that_are_gone_are_forgotten(autojump_clock, fleet):
    async with trio.open_nursery() as nursery:
        fleet.start(nursery)
        await trio.sleep(5)
        first, gone, cut_off, _ = fleet.routers
        names = (gone.name, cut_off.name)
        fleet.network.is_cut = lambda source, sink: source in names
        await trio.sleep(5)
        listed = [cut_off.peers.own]
        first.gossip.discovery.forget_gone(listed, trio.current_time())
        known = {peer.hello.name for peer in first.peers.known_peers()}
        assert known == {cut_off.name, fleet.routers[3].name}
        nursery.cancel_scope.cancel()


def test_gossip_survives_any_content(fleet):
    router = fleet.routers[0]
    for content in (b'', b'garbage', bytes(range(256)), b'\x92\x01'):
        router.gossip.receive(content, 0, 0)
    assert router.metrics.counters['peer.garbage'] == 4
