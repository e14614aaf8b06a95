"""Tests of relays whose links carry little, among 84 routers.

Each router places six prompts a second and tells the others, in three data
centres. A link carries 5 Mbit/s; what does not fit waits before it, in order.
"""

import heapq
import itertools
import random

import pytest

from peridotwell.domain.target import wire_id
from peridotwell.policy.placement.prompt_cache_index import CachedPart
from peridotwell.store.base import Entry
from peridotwell.store.change_feed import Changes
from tests.fleet.relays.test_update_exchange import InMemoryTransport, Router

ROUTER_COUNT = 84
ENGINE_COUNT = 70
LINK_BYTES_PER_SECOND = 625_000
PROMPTS_PER_SECOND = 6
PREFILL_SECONDS = 0.1
RUN_SECONDS = 0.8
TICK_SECONDS = 0.05
WARM_UP_SECONDS = 4
TRAFFIC_SECONDS = 8
# The counts that routers use are at most this old.
MAX_DELAY_SECONDS = 0.5
# A change of the configuration is in force everywhere within this time.
MAX_CHANGE_SECONDS = 3
# Time for which one relay's link is slow.
SLOW_SECONDS = 5
# Larger than what relays pass on with an update.
LARGE_TABLE = b'2'.zfill(4100)


class Link:
    """The outgoing link of one router: a queue that is sent at a fixed rate."""

    def __init__(self, bytes_per_second):
        self.bytes_per_second = bytes_per_second
        self.free_at = 0.0

    def send(self, size, now):
        """Return the time when the last of `size` bytes is sent."""
        self.free_at = max(self.free_at, now) + size / self.bytes_per_second
        return self.free_at


class LinkedTransport(InMemoryTransport):
    """Delivers frames after they have passed the router's link."""

    def __init__(self, address, network, bytes_per_second):
        super().__init__(address, network.routers)
        self.network = network
        self.link = Link(bytes_per_second)
        self.downlink = Link(bytes_per_second)

    def transmit(self, address, content):
        if self.is_cut or address not in self.routers:
            return False
        arrives_at = self.link.send(len(content), self.network.now)
        if self.network.has_downlinks:
            receiver = self.routers[address].transport
            arrives_at = receiver.downlink.send(len(content), arrives_at)
        self.network.deliver(arrives_at, address, content)
        return True


class Network:
    """Routers with links, the work that they place, and the time."""

    def __init__(self, bytes_per_second, *, has_downlinks=False):
        self.has_downlinks = has_downlinks
        self.routers = {}
        self.now = 0.0
        self.bytes_per_second = bytes_per_second
        self._order = itertools.count()
        self._events = []
        self._random = random.Random(84)

    def add_router(self, name, data_centre, link=0, **options):
        rate = link or self.bytes_per_second
        return Router(
            name,
            self.routers,
            data_centre,
            transport=LinkedTransport(name, self, rate),
            link_bytes_per_second=rate,
            **options,
        )

    def deliver(self, at, address, content):
        self.schedule(at, self.routers[address].inbox.append, content)

    def schedule(self, at, action, *arguments):
        heapq.heappush(self._events, (at, next(self._order), action, arguments))

    def place_prompts(self, router, until):
        """Let a router place prompts at random times until `until`."""
        at = self.now
        while at < until:
            at += self._random.expovariate(PROMPTS_PER_SECOND)
            engine = wire_id(f'e{self._random.randrange(ENGINE_COUNT)}')
            tokens = self._random.randrange(100, 3000)
            parts = tuple(
                CachedPart(self._random.getrandbits(64), tokens)
                for _ in range(2)
            )
            sharing = router.sharing
            self.schedule(at, sharing.own_requests.add, engine, 1)
            self.schedule(at, sharing.own_prefill_tokens.add, engine, tokens)
            self.schedule(at, sharing.record_prompt_sent, engine, parts)
            self.schedule(
                at + PREFILL_SECONDS,
                sharing.own_prefill_tokens.add,
                engine,
                -tokens,
            )
            self.schedule(
                at + RUN_SECONDS, sharing.own_requests.add, engine, -1
            )

    def run(self, until):
        while self.now < until:
            while self._events and self._events[0][0] <= self.now:
                _, _, action, arguments = heapq.heappop(self._events)
                action(*arguments)
            for router in self.routers.values():
                router.receive_frames(self.now)
            for router in self.routers.values():
                router.sharing.tick(self.now)
            self.now += TICK_SECONDS


def answer_store_calls(network, content=None, revision=0):
    """Let the routers that follow the store get its answer."""
    for router in network.routers.values():
        if not router.sharing.relay_protocol.must_follow_store(network.now):
            continue
        entries = (Entry('table', content, revision),) if content else ()
        changes = Changes(entries, (), revision)
        router.directory.apply_changes(changes, network.now)


@pytest.fixture(scope='module')
def network():
    """Return the fleet after `TRAFFIC_SECONDS` of traffic."""
    fleet = Network(LINK_BYTES_PER_SECOND)
    for number in range(ROUTER_COUNT):
        fleet.add_router(f'r{number}', 'abc'[number % 3])
    routers = list(fleet.routers.values())
    for router in routers:
        router.sharing.discovery.add_peers(each.hello for each in routers)
        router.inbox.clear()
    while fleet.now < WARM_UP_SECONDS:
        fleet.run(fleet.now + 1)
        answer_store_calls(fleet)
    end = fleet.now + TRAFFIC_SECONDS
    for router in routers:
        fleet.place_prompts(router, end + MAX_CHANGE_SECONDS)
    while fleet.now < end:
        fleet.run(fleet.now + 1)
        answer_store_calls(fleet)
    return fleet


# Guards against counts that are old because they wait before a relay's link.
def test_updates_pass_relays_with_slow_links_within_half_a_second(network):
    delays = [
        router.sharing.update_delay.seconds(network.now)
        for router in network.routers.values()
    ]
    assert max(delays) <= MAX_DELAY_SECONDS


# Guards against news of a configuration waiting before a relay's link.
def test_configuration_passes_relays_with_slow_links_in_time(network):
    acknowledged_at = network.now
    while network.now < acknowledged_at + MAX_CHANGE_SECONDS:
        answer_store_calls(network, LARGE_TABLE, revision=9)
        network.run(network.now + 2 * TICK_SECONDS)
    versions = [
        router.directory.table.version for router in network.routers.values()
    ]
    assert versions.count(2) == ROUTER_COUNT


def relays(network):
    """Return the routers that are relays of others."""
    return {
        network.routers[name]
        for name in network.routers
        if network.routers[name].sharing.relay_protocol.topology.members(
            network.now
        )
    }


# Guards against trusting a relay that is heard but sends what is seconds old.
def test_members_leave_a_relay_whose_link_becomes_slow(network):
    """Callers' responses take most of its link; its batches still arrive."""
    slow = min(relays(network), key=lambda router: router.hello.name)
    slow.transport.link.bytes_per_second = LINK_BYTES_PER_SECOND / 8
    end = network.now + SLOW_SECONDS
    others = [each for each in network.routers.values() if each is not slow]
    for router in others:
        network.place_prompts(router, end)
    while network.now < end:
        answer_store_calls(network)
        network.run(network.now + 2 * TICK_SECONDS)
    delays = [
        router.sharing.update_delay.seconds(network.now) for router in others
    ]
    assert max(delays) <= MAX_DELAY_SECONDS
