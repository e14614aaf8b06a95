"""Construction of a forwarding router's components from its settings."""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial

from peridotwell.fleet.relays.forwarding_state import ForwardingState
from peridotwell.fleet.relays.update_exchange import UpdateExchange
from peridotwell.fleet.replica.continuity_check import ContinuityCheck
from peridotwell.fleet.replica.evacuation_check import EvacuationCheck
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.fleet.replica.store_check import StoreCheck
from peridotwell.fleet.replica.store_follower import StoreFollower
from peridotwell.fleet.replica.store_reader import StoreReader
from peridotwell.fleet.replica.table_check import TableCheck
from peridotwell.fleet.replica.version_record import VersionRecordWriter
from peridotwell.fleet.transport.frames import Hello
from peridotwell.fleet.transport.peer_transport import ZmqPeerTransport
from peridotwell.fleet.transport.peers import Peers, make_hello
from peridotwell.fleet.transport.router_registry import RouterRegistration
from peridotwell.forwarding.choosing.target_selection import TargetSelector
from peridotwell.forwarding.choosing.waiting_room import WaitingRoom
from peridotwell.forwarding.components import ForwardingComponents
from peridotwell.forwarding.handler import ForwardingHandler
from peridotwell.forwarding.handover.handover_client import HandoverClient
from peridotwell.forwarding.handover.path_selection import PathSelector
from peridotwell.forwarding.handover.peer_paths import PeerPaths
from peridotwell.forwarding.lifecycle.recovery import CacheRecovery
from peridotwell.forwarding.lifecycle.unknown_regions import UnknownRegions
from peridotwell.forwarding.sending.dispatch import Dispatcher
from peridotwell.forwarding.sending.target_clients import TargetClients
from peridotwell.forwarding.settings import Adapters, ForwardingSettings
from peridotwell.forwarding.streams.event_verdicts import EventVerdicts
from peridotwell.forwarding.streams.stream_affinity import StreamAffinity
from peridotwell.forwarding.targets.cold_watch import ColdWatch
from peridotwell.forwarding.targets.crash_tracker import CrashTracker
from peridotwell.forwarding.targets.load_reports import LoadReports
from peridotwell.forwarding.targets.notice_recorder import NoticeRecorder
from peridotwell.forwarding.targets.reachability_prober import (
    ReachabilityProber,
)
from peridotwell.forwarding.targets.target_standings import (
    ForwardingTargetStandings,
)
from peridotwell.forwarding.targets.target_tracker import TargetTracker
from peridotwell.metrics import Metrics
from peridotwell.policy.brittle.brittle_targets import BrittleTargets
from peridotwell.policy.health.outlier_ejection import OutlierEjection
from peridotwell.policy.health.target_notices import TargetNotices
from peridotwell.policy.limits.cold_targets import ColdTargets
from peridotwell.policy.limits.target_limits import TargetLimits
from peridotwell.policy.load.peer_counts import PeerCounts
from peridotwell.policy.placement.prompt_cache_index import PromptCacheIndex
from peridotwell.serving.outstanding_requests import OutstandingRequests
from peridotwell.serving.request_recall import RequestRecall
from peridotwell.serving.response_buffers import (
    BudgetRecorder,
    ResponseBuffers,
)
from peridotwell.store.change_feed import ChangeFeedStore

__all__ = ('RouterComponents', 'build_components')

DEAD_AFTER_SECONDS = 2.0
MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True)
class RouterComponents:
    """The components of a running forwarding router."""

    transport: ZmqPeerTransport
    update_exchange: UpdateExchange
    directory: ServiceDirectory
    follower: StoreFollower
    store_check: StoreCheck
    continuity_check: ContinuityCheck
    evacuation_check: EvacuationCheck
    registration: RouterRegistration
    version_record: VersionRecordWriter
    clients: TargetClients
    recovery: CacheRecovery
    cold_watch: ColdWatch
    forwarding: ForwardingComponents
    handler: ForwardingHandler
    metrics: Metrics


def build_components(
    settings: ForwardingSettings,
    adapters: Adapters,
    store: ChangeFeedStore,
) -> RouterComponents:
    """Build the components of a router."""
    metrics = Metrics('', 'peridotwell')
    directory = ServiceDirectory(adapters.entries)
    UnknownRegions(directory, settings.regions, metrics)
    transport = ZmqPeerTransport(settings.peers)
    peers = Peers(_own_hello(settings), DEAD_AFTER_SECONDS)
    state = ForwardingState(
        directory,
        PromptCacheIndex(),
        PeerCounts(),
        PeerCounts(),
        target_notices=TargetNotices(settings.name),
        target_limits=TargetLimits(peers.own.sender),
        brittle_targets=BrittleTargets(peers.own.sender),
        cold_targets=ColdTargets(peers.own.sender, settings.bounds),
    )
    update_exchange = UpdateExchange(peers, transport, state, metrics)
    notice_recorder = NoticeRecorder(update_exchange, metrics)
    buffers = ResponseBuffers(settings.memory_bytes, BudgetRecorder(metrics))
    clients = TargetClients(
        directory, adapters.targets, notice_recorder.record, buffers
    )
    forwarding = _make_forwarding(
        settings,
        adapters,
        update_exchange,
        clients,
        metrics,
        buffers,
        TableCheck(store, directory, metrics),
    )
    evacuation_check = EvacuationCheck(
        store, directory, metrics, adapters.entries.evacuation_key
    )
    gap_listeners = [forwarding.table_check.request]
    if settings.bounds.evacuate_seconds:
        gap_listeners.append(evacuation_check.request)
    reader = StoreReader(
        store, directory, metrics, partial(_call_each, gap_listeners)
    )
    follower = StoreFollower(
        reader,
        directory,
        metrics,
        update_exchange.relay_protocol.must_follow_store,
        update_exchange.relay_protocol.wait_until_following,
        update_exchange.relay_protocol.is_relied_on,
    )
    return RouterComponents(
        transport=transport,
        update_exchange=update_exchange,
        directory=directory,
        follower=follower,
        store_check=StoreCheck(
            reader, directory, metrics, follower.restart_overdue_watch
        ),
        continuity_check=ContinuityCheck(
            store,
            directory,
            metrics,
            update_exchange.relay_protocol.must_follow_store,
            follower.read_anew,
        ),
        evacuation_check=evacuation_check,
        registration=RouterRegistration(
            store,
            peers.own,
            settings.bounds.lease_seconds,
        ),
        version_record=VersionRecordWriter(
            store, peers, state.service_versions
        ),
        clients=clients,
        recovery=CacheRecovery(
            directory,
            update_exchange,
            state.cache_index,
            clients,
            adapters.targets,
        ),
        cold_watch=ColdWatch(directory, state.cold_targets, metrics),
        forwarding=forwarding,
        handler=ForwardingHandler(
            directory,
            forwarding,
            settings.bounds,
            update_exchange,
            metrics,
        ),
        metrics=metrics,
    )


def _make_forwarding(
    settings: ForwardingSettings,
    adapters: Adapters,
    update_exchange: UpdateExchange,
    clients: TargetClients,
    metrics: Metrics,
    buffers: ResponseBuffers,
    table_check: TableCheck,
) -> ForwardingComponents:
    state = update_exchange.state
    tracker = TargetTracker(
        state.directory,
        OutlierEjection(),
        update_exchange,
        state,
        settings.regions,
    )
    crash_tracker = CrashTracker(update_exchange, clients)
    selector = TargetSelector(
        tracker,
        state.cache_index,
        settings.data_centre,
        settings.bounds,
        clients.known_same,
    )
    peer_paths = PeerPaths(update_exchange.peers)
    handover_client = HandoverClient(update_exchange.peers, peer_paths, buffers)
    outstanding = OutstandingRequests()
    return ForwardingComponents(
        Dispatcher(
            clients,
            tracker,
            LoadReports(adapters.targets, tracker, metrics),
            crash_tracker,
            handover_client,
            outstanding,
            EventVerdicts(state.event_steps, update_exchange.step_sync.share),
        ),
        selector,
        WaitingRoom(
            PathSelector(selector, tracker, peer_paths),
            tracker.return_spread,
            metrics,
            state.directory.belief,
        ),
        handover_client,
        ReachabilityProber(tracker, settings.name, state.own_reach),
        crash_tracker,
        tracker.silence_limits,
        StreamAffinity(state.directory, update_exchange, clients.restarts),
        adapters.callers,
        adapters.targets,
        table_check,
        RequestRecall(
            outstanding,
            ForwardingTargetStandings(
                state.directory, state.target_notices, adapters.targets
            ),
            metrics,
        ),
    )


def _call_each(listeners: Iterable[Callable[[], None]]) -> None:
    for listener in listeners:
        listener()


def _own_hello(settings: ForwardingSettings) -> Hello:
    return make_hello(
        settings.name,
        settings.data_centre,
        settings.peers,
        '',
        int(time.time() * MILLISECONDS_PER_SECOND),
        settings.link_bytes_per_second,
        settings.handover,
    )
