"""A simulated fleet: the routers' own decision code and simulated engines."""

import math
import random
import time
from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec
import trio

from measure.simulated_network import InMemoryTransport, SimulatedNetwork
from peridotwell.domain.configuration import Configuration, Defaults
from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.fleet.lending.credit_exchange import CreditExchange
from peridotwell.fleet.lending.load_tracker import LoadTracker
from peridotwell.fleet.membership.gossip import Gossip, SharedState
from peridotwell.fleet.membership.target_membership import TargetMembership
from peridotwell.fleet.transport.peers import Peers, make_hello
from peridotwell.metrics import Metrics
from peridotwell.policy.crashes.quarantine import Quarantine
from peridotwell.serving.placer import Placer
from peridotwell.store.configuration import ConfigurationStore
from standins.memory_store import MemoryStore

__all__ = ('POOL', 'SimulatedEngine', 'SimulatedRouter', 'SimulatedFleet')

DATA_CENTRE = 'dc1'
POOL = Pool(DATA_CENTRE, 'ink')
HEARTBEAT_INTERVAL_SECONDS = 0.5
DEAD_AFTER_SECONDS = 2
LINK_LATENCY_SECONDS = 0.0005


@dataclass
class SimulatedEngine:
    """A simulated engine: its outstanding calls and a cache of chats.

    The cache holds `cached_chat_limit` chats and evicts the least recently
    used one.
    """

    name: str
    cached_chat_limit: int
    slots: int = 0
    outstanding_calls: int = 0
    leaving: bool = False
    cache: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def to_target(self) -> Target:
        """Return the engine as an entry of the platform's target list."""
        return Target(
            self.name,
            self.name,
            TargetKind.engine,
            POOL,
            slots=self.slots,
        )

    def cache_chat(self, chat: str) -> bool:
        """Cache a chat's prefix; return whether it was cached already."""
        was_cached = chat in self.cache
        self.cache[chat] = None
        self.cache.move_to_end(chat)
        if len(self.cache) > self.cached_chat_limit:
            self.cache.popitem(last=False)
        return was_cached


class SimulatedRouter:
    """The placement, credit and gossip code of a router, without sockets."""

    def __init__(
        self, name: str, network: SimulatedNetwork, defaults: Defaults
    ) -> None:
        self.name = name
        own = make_hello(name, DATA_CENTRE, name, name, 1)
        self.peers = Peers(own, DEAD_AFTER_SECONDS)
        self.membership = TargetMembership()
        self.transport = InMemoryTransport(name, network)
        configuration_store = ConfigurationStore(MemoryStore())  # type: ignore[arg-type]
        cfg = Configuration(version=1, defaults=defaults)
        configuration_store.apply(msgspec.json.encode(cfg))
        self.loads = LoadTracker(
            self.peers, self.membership, configuration_store
        )
        self.credit = CreditExchange(
            self.peers,
            self.membership,
            self.loads,
            self.transport,
        )
        self.quarantine = Quarantine()
        state = SharedState(
            self.peers,
            self.membership,
            self.loads,
            self.credit,
            self.quarantine,
            configuration_store,
        )
        self.metrics = Metrics('', '')
        self.gossip = Gossip(state, self.transport, self.metrics)
        self.gossip.listing = b'[]'
        self.placer = Placer(
            self.peers,
            self.membership,
            self.loads,
            self.credit,
            configuration_store,
        )
        network.attach(name, self.receive)

    def receive(self, content: bytes) -> None:
        """Handle a frame from another router."""
        self.gossip.receive(content, trio.current_time(), time.time())

    async def run_heartbeats(self, phase: float) -> None:
        """Send heartbeats until cancelled, as the daemon does.

        `phase` is the fraction of an interval to wait before the first one.
        """
        await trio.sleep(phase * HEARTBEAT_INTERVAL_SECONDS)
        while True:
            now = trio.current_time()
            self.credit.tick(now)
            self.gossip.send_heartbeat(now, leaving=self.peers.own_is_leaving)
            self.placer.wake_waiting_requests()
            await trio.sleep(HEARTBEAT_INTERVAL_SECONDS)


class SimulatedFleet:
    """The routers and engines of one data centre.

    The seed determines the choices of `rng` and the losses of the network.
    """

    def __init__(
        self,
        routers: int,
        engines: int,
        cached_chat_limit: int,
        seed: int,
        defaults: Defaults,
        slots: int = 0,
    ) -> None:
        self.rng = random.Random(seed)
        self.network = SimulatedNetwork(
            LINK_LATENCY_SECONDS, random.Random(seed + 1)
        )
        self.cached_chat_limit = cached_chat_limit
        self.slots = slots
        self.engines: dict[str, SimulatedEngine] = {}
        for number in range(engines):
            self.add_engine(f'engine-{number}')
        self.routers = [
            SimulatedRouter(f'router-{number}', self.network, defaults)
            for number in range(routers)
        ]
        hellos = [router.peers.own for router in self.routers]
        for router in self.routers:
            router.membership.apply_listing(self.targets())
            for hello in hellos:
                router.peers.add(hello)

    def add_engine(self, name: str) -> SimulatedEngine:
        """Add an engine with an empty cache."""
        engine = SimulatedEngine(name, self.cached_chat_limit, self.slots)
        self.engines[name] = engine
        return engine

    def targets(self) -> list[Target]:
        """Return the engines that take new work, as the platform lists them."""
        return [
            engine.to_target()
            for engine in self.engines.values()
            if not engine.leaving
        ]

    def live_engines(self) -> list[SimulatedEngine]:
        """Return the engines that take new work."""
        return [
            engine for engine in self.engines.values() if not engine.leaving
        ]

    def outstanding_calls(self) -> int:
        """Return the number of outstanding calls on the live engines."""
        return sum(engine.outstanding_calls for engine in self.live_engines())

    def load_limit(self, bound: float) -> int:
        """Return the most calls that an engine may have after one more call.

        `bound` is a multiple of the mean load; it is rounded as the load caps
        of the credit policy are.
        """
        mean_load = (self.outstanding_calls() + 1) / len(self.live_engines())
        return max(math.floor(bound * mean_load), math.floor(mean_load) + 1)

    def start(self, nursery: trio.Nursery) -> None:
        """Start the network and the routers' heartbeats."""
        nursery.start_soon(self.network.run)
        for router in self.routers:
            nursery.start_soon(router.run_heartbeats, self.rng.random())

    async def announce_targets(self, max_delay_seconds: float) -> None:
        """Give each router the current target list after a random delay."""
        async with trio.open_nursery() as nursery:
            for router in self.routers:
                delay = self.rng.random() * max_delay_seconds
                nursery.start_soon(self._announce_to, router, delay)

    async def _announce_to(self, router: SimulatedRouter, delay: float) -> None:
        await trio.sleep(delay)
        router.membership.apply_listing(self.targets())
