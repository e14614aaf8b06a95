"""Routers made of the product's own decision code, and fake engines."""

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
from peridotwell.fleet.credit_exchange import CreditExchange
from peridotwell.fleet.gossip import Gossip, SharedState
from peridotwell.fleet.load_tracker import LoadTracker
from peridotwell.fleet.peers import Peers, make_hello
from peridotwell.fleet.target_membership import TargetMembership
from peridotwell.metrics import Metrics
from peridotwell.policy.quarantine import Quarantine
from peridotwell.serving.placer import Placer
from peridotwell.store.configuration import ConfigurationStore
from standins.memory_store import MemoryStore

__all__ = ('POOL', 'SimulatedEngine', 'SimulatedRouter', 'SimulatedFleet')

DATA_CENTRE = 'dc1'
POOL = Pool(DATA_CENTRE, 'ink')
HEARTBEAT_SECONDS = 0.5
DEAD_AFTER_SECONDS = 2
LINK_SECONDS = 0.0005


@dataclass
class SimulatedEngine:
    """A fake engine: outstanding calls and the chats that it has cached."""

    name: str
    cache_size: int
    slots: int = 0
    outstanding: int = 0
    leaving: bool = False
    cache: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def target(self) -> Target:
        """Return the engine as the platform lists it."""
        return Target(
            self.name,
            self.name,
            TargetKind.engine,
            POOL,
            slots=self.slots,
        )

    def touch(self, chat: str) -> bool:
        """Cache a chat's prefix; True if it was cached already."""
        was_cached = chat in self.cache
        self.cache[chat] = None
        self.cache.move_to_end(chat)
        if len(self.cache) > self.cache_size:
            self.cache.popitem(last=False)
        return was_cached


class SimulatedRouter:
    """The parts of a router that decide, without its sockets."""

    def __init__(
        self, name: str, network: SimulatedNetwork, defaults: Defaults
    ) -> None:
        self.name = name
        own = make_hello(name, DATA_CENTRE, name, name, 1)
        self.peers = Peers(own, DEAD_AFTER_SECONDS)
        self.membership = TargetMembership()
        self.transport = InMemoryTransport(name, network)
        book = ConfigurationStore(MemoryStore())  # type: ignore[arg-type]
        cfg = Configuration(version=1, defaults=defaults)
        book.adopt(msgspec.json.encode(cfg))
        self.loads = LoadTracker(self.peers, self.membership, book)
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
            book,
        )
        self.metrics = Metrics('', '')
        self.gossip = Gossip(state, self.transport, self.metrics)
        self.gossip.listing = b'[]'
        self.placer = Placer(
            self.peers,
            self.membership,
            self.loads,
            self.credit,
            book,
        )
        network.attach(name, self.receive)

    def receive(self, content: bytes) -> None:
        """Act on a frame."""
        self.gossip.receive(content, trio.current_time(), time.time())

    async def run_heartbeats(self, phase: float) -> None:
        """Send heartbeats for ever, as the daemon does."""
        await trio.sleep(phase * HEARTBEAT_SECONDS)
        while True:
            now = trio.current_time()
            self.credit.tick(now)
            self.gossip.send_heartbeat(now, leaving=self.peers.own_is_leaving)
            self.placer.call_waiting()
            await trio.sleep(HEARTBEAT_SECONDS)


class SimulatedFleet:
    """The routers and engines of one data centre."""

    def __init__(
        self,
        routers: int,
        engines: int,
        cache_size: int,
        seed: int,
        defaults: Defaults,
        slots: int = 0,
    ) -> None:
        self.rng = random.Random(seed)
        self.network = SimulatedNetwork(LINK_SECONDS, random.Random(seed + 1))
        self.cache_size = cache_size
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
        """Add an empty engine."""
        engine = SimulatedEngine(name, self.cache_size, self.slots)
        self.engines[name] = engine
        return engine

    def targets(self) -> list[Target]:
        """Return the engines that take new work."""
        return [
            engine.target()
            for engine in self.engines.values()
            if not engine.leaving
        ]

    def live(self) -> list[SimulatedEngine]:
        """Return the engines that take new work."""
        return [
            engine for engine in self.engines.values() if not engine.leaving
        ]

    def outstanding(self) -> int:
        """Return the outstanding calls of the live engines."""
        return sum(engine.outstanding for engine in self.live())

    def cap(self, bound: float) -> int:
        """Return the bound for one more call, as rounded by the policy."""
        mean = (self.outstanding() + 1) / len(self.live())
        return max(math.floor(bound * mean), math.floor(mean) + 1)

    def start(self, nursery: trio.Nursery) -> None:
        """Start links and heartbeats."""
        nursery.start_soon(self.network.run)
        for router in self.routers:
            nursery.start_soon(router.run_heartbeats, self.rng.random())

    async def tell_all(self, longest_delay: float) -> None:
        """Let each router see the present list after a delay of its own."""
        async with trio.open_nursery() as nursery:
            for router in self.routers:
                delay = self.rng.random() * longest_delay
                nursery.start_soon(self._tell, router, delay)

    async def _tell(self, router: SimulatedRouter, delay: float) -> None:
        await trio.sleep(delay)
        router.membership.apply_listing(self.targets())
