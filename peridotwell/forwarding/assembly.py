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
from peridotwell.forwarding.dispatch import Dispatcher
from peridotwell.forwarding.front import ForwardingFront
from peridotwell.forwarding.links import Links
from peridotwell.forwarding.parts import ForwardingParts
from peridotwell.forwarding.placement import Placement
from peridotwell.forwarding.recovery import CacheRecovery
from peridotwell.forwarding.settings import Dialects, ForwardingSettings
from peridotwell.forwarding.suspects import Suspects
from peridotwell.forwarding.target_book import TargetBook
from peridotwell.metrics import Metrics
from peridotwell.policy.cache_map import CacheMap
from peridotwell.policy.ejection import Ejection
from peridotwell.policy.fleet_load import FleetLoad
from peridotwell.policy.quarantine import Quarantine
from peridotwell.store.feed import FollowedStore

__all__ = ('RouterParts', 'assemble')

DEAD_AFTER_SECONDS = 2.0
MILLISECONDS = 1000


@dataclass(frozen=True)
class RouterParts:
    """What a running router consists of."""

    bus: ZmqPeerTransport
    sharing: UpdateExchange
    directory: ServiceDirectory
    follower: StoreFollower
    registration: RouterRegistration
    links: Links
    recovery: CacheRecovery
    forwarding: ForwardingParts
    front: ForwardingFront
    metrics: Metrics


def assemble(
    settings: ForwardingSettings,
    dialects: Dialects,
    store: FollowedStore,
) -> RouterParts:
    """Build a router's parts."""
    metrics = Metrics('', 'peridotwell')
    directory = ServiceDirectory(dialects.entries)
    bus = ZmqPeerTransport(settings.peers)
    peers = Peers(_own_hello(settings), DEAD_AFTER_SECONDS)
    knowledge = ForwardingState(
        directory,
        CacheMap(),
        FleetLoad(),
        FleetLoad(),
        Quarantine(),
    )
    sharing = UpdateExchange(peers, bus, knowledge, metrics)
    links = Links(directory, dialects.targets)
    forwarding = _make_forwarding(settings, dialects, sharing, links)
    return RouterParts(
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
            dialects.targets,
        ),
        forwarding=forwarding,
        front=ForwardingFront(
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
    dialects: Dialects,
    sharing: UpdateExchange,
    links: Links,
) -> ForwardingParts:
    knowledge = sharing.state
    book = TargetBook(knowledge.directory, Ejection(), sharing, knowledge)
    suspects = Suspects(knowledge.quarantine, sharing)
    placement = Placement(
        book,
        knowledge.cache_index,
        settings.data_centre,
        settings.bounds,
    )
    return ForwardingParts(
        Dispatcher(links, book, dialects.targets, suspects),
        placement,
        suspects,
        dialects.callers,
        dialects.targets,
    )


def _own_hello(settings: ForwardingSettings) -> Hello:
    return make_hello(
        settings.name,
        settings.data_centre,
        settings.peers,
        '',
        int(time.time() * MILLISECONDS),
    )
