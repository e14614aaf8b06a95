"""Builds the components of one router from its settings."""

import time
from dataclasses import dataclass

import trio

from peridotwell.background_tasks import BackgroundTasks
from peridotwell.fleet.lending.credit_exchange import CreditExchange
from peridotwell.fleet.lending.load_tracker import LoadTracker
from peridotwell.fleet.membership.gossip import Gossip, SharedState
from peridotwell.fleet.membership.target_membership import TargetMembership
from peridotwell.fleet.transport.peer_transport import ZmqPeerTransport
from peridotwell.fleet.transport.peers import Peers, make_hello
from peridotwell.fleet.transport.router_registry import RouterRegistry
from peridotwell.metrics import Metrics
from peridotwell.operators.api import OperatorsApi
from peridotwell.operators.status import StatusReader
from peridotwell.policy.crashes.quarantine import Quarantine
from peridotwell.serving.at_most_once import AtMostOnceExecutor
from peridotwell.serving.membership_standings import MembershipStandings
from peridotwell.serving.placer import Placer
from peridotwell.serving.readiness import Readiness
from peridotwell.serving.request_handler import RequestHandler
from peridotwell.serving.request_recall import RequestRecall
from peridotwell.serving.target_monitor import TargetMonitor
from peridotwell.settings import Settings
from peridotwell.store.base import KeyValueStore
from peridotwell.store.claims import ClaimStore
from peridotwell.store.configuration import ConfigurationStore
from peridotwell.store.http_store import HttpStore

__all__ = ('RouterComponents', 'build_components')

MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True)
class RouterComponents:
    """The components of a running router."""

    state: SharedState
    transport: ZmqPeerTransport
    gossip: Gossip
    readiness: Readiness
    claims: ClaimStore
    request_handler: RequestHandler
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
    transport = ZmqPeerTransport(settings.listen.peers)
    metrics = Metrics(settings.metrics.statsd, settings.metrics.prefix)
    store = HttpStore(
        settings.platform.url,
        settings.platform.timeout_seconds,
    )
    state = _make_shared_state(settings, operators_address, transport, store)
    gossip = Gossip(state, transport, metrics)
    readiness = Readiness(
        state.configuration_store, state.membership, state.credit
    )
    claims = ClaimStore(store, settings.instance.name)
    target_monitor = TargetMonitor(
        state.membership,
        state.quarantine,
        metrics,
        gossip.broadcast,
        state.peers.own.sender,
        state.configuration_store,
    )
    placer = Placer(
        state.peers,
        state.membership,
        state.loads,
        state.credit,
        state.configuration_store,
    )
    status_reader = StatusReader(
        state,
        readiness,
        placer,
        claims,
        transport,
        store,
        metrics,
    )
    own = state.peers.own
    return RouterComponents(
        state=state,
        transport=transport,
        gossip=gossip,
        readiness=readiness,
        claims=claims,
        request_handler=RequestHandler(
            placer,
            target_monitor,
            state.quarantine,
            AtMostOnceExecutor(claims, nursery),
            readiness,
            metrics,
            state.configuration_store,
        ),
        api=OperatorsApi(state, gossip, metrics, status_reader),
        background_tasks=BackgroundTasks(
            settings,
            state,
            gossip,
            transport,
            store,
            RouterRegistry(store, own, settings.platform.lease_seconds),
            target_monitor,
            RequestRecall(
                target_monitor.outstanding,
                MembershipStandings(state.membership),
                metrics,
            ),
            placer,
            claims,
            status_reader,
            metrics,
        ),
    )


def _make_shared_state(
    settings: Settings,
    operators_address: str,
    transport: ZmqPeerTransport,
    store: KeyValueStore,
) -> SharedState:
    own = make_hello(
        settings.instance.name,
        settings.instance.data_centre,
        transport.address,
        operators_address,
        int(time.time() * MILLISECONDS_PER_SECOND),
    )
    peers = Peers(own, settings.fleet.dead_after_seconds)
    membership = TargetMembership()
    configuration_store = ConfigurationStore(store)
    loads = LoadTracker(peers, membership, configuration_store)
    return SharedState(
        peers,
        membership,
        loads,
        CreditExchange(peers, membership, loads, transport),
        Quarantine(),
        configuration_store,
    )
