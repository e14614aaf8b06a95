"""Builds the components of one router from its settings."""

import time
from dataclasses import dataclass

import trio

from peridotwell.background_tasks import BackgroundTasks
from peridotwell.fleet.bus import SocketBus
from peridotwell.fleet.credit_exchange import CreditExchange
from peridotwell.fleet.gossip import Gossip, SharedState
from peridotwell.fleet.loads import LoadBook
from peridotwell.fleet.membership import Membership
from peridotwell.fleet.peers import Peers, make_hello
from peridotwell.fleet.registry import Registry
from peridotwell.metrics import Metrics
from peridotwell.operators.api import OperatorsApi
from peridotwell.operators.status import StatusReader
from peridotwell.policy.quarantine import Quarantine
from peridotwell.serving.bookings import Bookings
from peridotwell.serving.front import Front
from peridotwell.serving.placer import Placer
from peridotwell.serving.readiness import Readiness
from peridotwell.serving.watch import TargetWatch
from peridotwell.settings import Settings
from peridotwell.store.base import KeyValueStore
from peridotwell.store.claims import ClaimBook
from peridotwell.store.configuration import ConfigurationBook
from peridotwell.store.http import HttpStore

__all__ = ('RouterComponents', 'build_components')

MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True)
class RouterComponents:
    """The components of a running router."""

    state: SharedState
    bus: SocketBus
    gossip: Gossip
    readiness: Readiness
    claims: ClaimBook
    front: Front
    api: OperatorsApi
    background_tasks: BackgroundTasks


def build_components(
    settings: Settings,
    operators_address: str,
    nursery: trio.Nursery,
) -> RouterComponents:
    """Return the components of a router.

    `operators_address` is the address of the operators' API. Non-idempotent
    requests run in `nursery`, so that they outlive their callers' connections.
    """
    bus = SocketBus(settings.listen.peers)
    metrics = Metrics(settings.metrics.statsd, settings.metrics.prefix)
    store = HttpStore(
        settings.platform.url,
        settings.platform.timeout_seconds,
    )
    state = _make_shared_state(settings, operators_address, bus, store)
    gossip = Gossip(state, bus, metrics)
    readiness = Readiness(state.book, state.membership, state.credit)
    claims = ClaimBook(store, settings.instance.name)
    watch = TargetWatch(
        state.membership,
        state.quarantine,
        metrics,
        gossip.spread,
        state.peers.own.sender,
        state.book,
    )
    placer = Placer(
        state.peers,
        state.membership,
        state.loads,
        state.credit,
        state.book,
    )
    status = StatusReader(
        state,
        readiness,
        placer,
        claims,
        bus,
        store,
        metrics,
    )
    own = state.peers.own
    return RouterComponents(
        state=state,
        bus=bus,
        gossip=gossip,
        readiness=readiness,
        claims=claims,
        front=Front(
            placer,
            watch,
            state.quarantine,
            Bookings(claims, nursery),
            readiness,
            metrics,
            state.book,
        ),
        api=OperatorsApi(state, gossip, metrics, status),
        background_tasks=BackgroundTasks(
            settings,
            state,
            gossip,
            bus,
            store,
            Registry(store, own, settings.platform.lease_seconds),
            watch,
            placer,
            claims,
            status,
            metrics,
        ),
    )


def _make_shared_state(
    settings: Settings,
    operators_address: str,
    bus: SocketBus,
    store: KeyValueStore,
) -> SharedState:
    own = make_hello(
        settings.instance.name,
        settings.instance.data_centre,
        bus.address,
        operators_address,
        int(time.time() * MILLISECONDS_PER_SECOND),
    )
    peers = Peers(own, settings.fleet.dead_after_seconds)
    membership = Membership()
    book = ConfigurationBook(store)
    loads = LoadBook(peers, membership, book)
    return SharedState(
        peers,
        membership,
        loads,
        CreditExchange(peers, membership, loads, bus),
        Quarantine(),
        book,
    )
