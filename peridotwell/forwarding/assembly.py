"""The parts of one forwarding router, put together from its settings."""

import time
from dataclasses import dataclass

from peridotwell.fleet.frames import Hello
from peridotwell.fleet.peer_transport import ZmqPeerTransport
from peridotwell.fleet.peers import Peers, make_hello
from peridotwell.fleet.router_registry import RouterRegistration
from peridotwell.fleet.service_directory import ServiceDirectory
from peridotwell.fleet.store_follower import StoreFollower
from peridotwell.fleet.update_exchange import ForwardingState, UpdateExchange
from peridotwell.forwarding.components import ForwardingComponents
from peridotwell.forwarding.crash_tracker import CrashTracker
from peridotwell.forwarding.dispatch import Dispatcher
from peridotwell.forwarding.handler import ForwardingHandler
from peridotwell.forwarding.links import Links
from peridotwell.forwarding.recovery import CacheRecovery
from peridotwell.forwarding.settings import Adapters, ForwardingSettings
from peridotwell.forwarding.target_selection import TargetSelector
from peridotwell.forwarding.target_tracker import TargetTracker
from peridotwell.metrics import Metrics
from peridotwell.policy.outlier_ejection import OutlierEjection
from peridotwell.policy.peer_counts import PeerCounts
from peridotwell.policy.prompt_cache_index import PromptCacheIndex
from peridotwell.policy.quarantine import Quarantine
from peridotwell.store.change_feed import ChangeFeedStore

__all__ = ('RouterComponents', 'assemble')

DEAD_AFTER_SECONDS = 2.0
MILLISECONDS = 1000


@dataclass(frozen=True)
class RouterComponents:
    """What a running router consists of."""

    bus: ZmqPeerTransport
    sharing: UpdateExchange
    directory: ServiceDirectory
    follower: StoreFollower
    registration: RouterRegistration
    links: Links
    recovery: CacheRecovery
    forwarding: ForwardingComponents
    front: ForwardingHandler
    metrics: Metrics


def assemble(
    settings: ForwardingSettings,
    adapters: Adapters,
    store: ChangeFeedStore,
) -> RouterComponents:
    """Build a router's parts."""
    metrics = Metrics('', 'peridotwell')
    directory = ServiceDirectory(adapters.entries)
    bus = ZmqPeerTransport(settings.peers)
    peers = Peers(_own_hello(settings), DEAD_AFTER_SECONDS)
    knowledge = ForwardingState(
        directory,
        PromptCacheIndex(),
        PeerCounts(),
        PeerCounts(),
        Quarantine(),
    )
    sharing = UpdateExchange(peers, bus, knowledge, metrics)
    links = Links(directory, adapters.targets)
    forwarding = _make_forwarding(settings, adapters, sharing, links)
    return RouterComponents(
        bus=bus,
        sharing=sharing,
        directory=directory,
        follower=StoreFollower(
            store,
            directory,
            metrics,
            sharing.relay_protocol.must_follow_store,
        ),
        registration=RouterRegistration(
            store,
            peers.own,
            settings.bounds.lease_seconds,
        ),
        links=links,
        recovery=CacheRecovery(
            directory,
            sharing,
            knowledge.cache_index,
            links,
            adapters.targets,
        ),
        forwarding=forwarding,
        front=ForwardingHandler(
            directory,
            forwarding,
            settings.bounds,
            sharing,
            metrics,
        ),
        metrics=metrics,
    )


def _make_forwarding(
    settings: ForwardingSettings,
    adapters: Adapters,
    sharing: UpdateExchange,
    links: Links,
) -> ForwardingComponents:
    knowledge = sharing.state
    book = TargetTracker(
        knowledge.directory, OutlierEjection(), sharing, knowledge
    )
    suspects = CrashTracker(knowledge.quarantine, sharing)
    placement = TargetSelector(
        book,
        knowledge.cache_index,
        settings.data_centre,
        settings.bounds,
    )
    return ForwardingComponents(
        Dispatcher(links, book, adapters.targets, suspects),
        placement,
        suspects,
        adapters.callers,
        adapters.targets,
    )


def _own_hello(settings: ForwardingSettings) -> Hello:
    return make_hello(
        settings.name,
        settings.data_centre,
        settings.peers,
        '',
        int(time.time() * MILLISECONDS),
    )
