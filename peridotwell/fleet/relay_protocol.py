"""Updates passed on by relays, in a fleet too large to tell each other all.

A router sends its own updates, and those of the routers that chose it, to the
relay of its group. A relay sends what its group says to the relays of other
groups, and everything it hears to the routers that chose it. Whoever sends a
router a bundle has chosen it, so no message arranges that.

Relays pass on the store's changes too: a router whose relay follows the store
makes no calls of its own for that, unless a change is large.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from peridotwell.fleet.frames import RouterUpdate, StoreChanges, UpdateBatch
from peridotwell.fleet.peer_transport import PeerTransport
from peridotwell.fleet.peers import Peers
from peridotwell.fleet.service_directory import ServiceDirectory
from peridotwell.logs import log_event
from peridotwell.policy.relays import (
    GroupMember,
    RelayMonitor,
    make_relay_groups,
    needs_relays,
)

__all__ = ('RelayProtocol',)

# The least time between two bundles, by whether there is anything to tell.
BUNDLE_SECONDS = 0.06
QUIET_SECONDS = 0.2
# Routers that have sent a bundle in this time get bundles.
CHOSEN_SECONDS = 2.0
# Routers that come and go change the groups this late.
REGROUP_SECONDS = 0.5
# More is read from the store, whose link is wider than a relay's.
MAX_NEWS_BYTES = 4000
# The time for which a relay's answers of the store hold: one waiting call.
STORE_FRESH_SECONDS = 3.0

Hear = Callable[[RouterUpdate, float], bool]


@dataclass
class _Chooser:
    """A router that has sent a bundle: a member, or another group's relay."""

    heard_at: float
    follows_store: bool
    revision: int


class RelayProtocol:
    """This router's part, as a member and as a relay."""

    def __init__(
        self, peers: Peers, bus: PeerTransport, directory: ServiceDirectory
    ) -> None:
        self._peers = peers
        self._bus = bus
        self._directory = directory
        self._own = peers.own.sender
        self._watch = RelayMonitor()
        self._choosers: dict[int, _Chooser] = {}
        self._group_updates: list[RouterUpdate] = []
        self._other_updates: list[RouterUpdate] = []
        self._sent_at = float(0)
        self._told_revision = 0
        self._relay: int | None = None
        self._group: tuple[int, ...] = (self._own,)
        self._other_groups: list[tuple[int, ...]] = []
        self._grouped_at = -math.inf

    def is_enabled(self) -> bool:
        """Whether the fleet is large enough for relays."""
        return needs_relays(len(self._peers.known_peers()) + 1)

    def must_follow_store(self, now: float) -> bool:
        """Whether this router must follow the store itself."""
        if not self.is_enabled() or self._relay is None:
            return True
        if self._members(now):
            return True
        relay = self._choosers.get(self._relay)
        if relay is None or not self._watch.is_responsive(self._relay, now):
            return True
        is_behind = self._directory.known_revision < relay.revision
        return is_behind or not relay.follows_store

    def send_update(self, update: RouterUpdate, now: float) -> None:
        """Send this router's own update to its relay."""
        self._group_updates.append(update)
        relays = self._choose_relays(now)
        if relays and not self._members(now):
            self._send_up(relays, now)
            self._group_updates.clear()

    def tick(self, now: float) -> None:
        """Send bundles as a relay; called every few hundredths of a second."""
        has_updates = bool(self._group_updates or self._other_updates)
        pause = BUNDLE_SECONDS if has_updates else QUIET_SECONDS
        if now - self._sent_at < pause:
            return
        self._sent_at = now
        above = self._choose_relays(now)
        members = self._members(now)
        if members or not above:
            beside = self._other_relays(now).union(self._visitors(now))
            self._send_up((*above, *beside), now)
            self._send_down(members, now)
        self._group_updates.clear()
        self._other_updates.clear()

    def handle_batch(self, bundle: UpdateBatch, now: float, hear: Hear) -> None:
        """Act on a bundle; `hear` tells whether an update is news."""
        sender = self._peers.peer(bundle.sender)
        if sender is None:
            return
        self._watch.record_received(bundle.sender, now)
        self._choosers[bundle.sender] = _Chooser(
            now,
            bundle.follows_store,
            bundle.revision,
        )
        fresh = [each for each in bundle.updates if hear(each, now)]
        if self._is_member(bundle.sender):
            self._group_updates.extend(fresh)
        else:
            self._other_updates.extend(fresh)
        if bundle.store_changes is not None:
            self._take_news(bundle.store_changes, now)

    def _take_news(self, news: StoreChanges, now: float) -> None:
        known = self._directory.known_revision
        if news.base_revision > known or news.revision <= known:
            return
        self._directory.deferred_removals.start_grace_period(
            news.removal_grace_seconds, now
        )
        self._directory.apply_peer_changes(news.entries, news.revision, now)

    def _send_up(self, relays: Iterable[int], now: float) -> None:
        bundle = self._bundle(self._group_updates, None, now)
        for relay in relays:
            self._watch.record_sent(relay, now)
        self._send(relays, bundle)

    def _send_down(self, members: Iterable[int], now: float) -> None:
        updates = (*self._group_updates, *self._other_updates)
        self._send(members, self._bundle(updates, self._news(now), now))

    def _bundle(
        self,
        updates: Iterable[RouterUpdate],
        news: StoreChanges | None,
        now: float,
    ) -> UpdateBatch:
        return UpdateBatch(
            self._own,
            self._follows_store(now),
            self._directory.known_revision,
            tuple(updates),
            news,
        )

    def _send(self, routers: Iterable[int], bundle: UpdateBatch) -> None:
        peers = (self._peers.peer(router) for router in routers)
        addresses = [
            peer.hello.peer_address for peer in peers if peer is not None
        ]
        self._bus.send_all(addresses, bundle)

    def _news(self, now: float) -> StoreChanges | None:
        """Return what the store says since the last bundle, if anything."""
        base = self._told_revision
        revision = self._directory.known_revision
        self._told_revision = revision
        entries = self._directory.replica
        if revision <= base or not entries.has_all_deletions_since(base):
            return None
        changed = entries.changes_since(base)
        if sum(len(each.value or b'') for each in changed) > MAX_NEWS_BYTES:
            return None
        doubt_seconds = self._directory.deferred_removals.remaining_seconds(now)
        return StoreChanges(base, revision, changed, doubt_seconds)

    def _follows_store(self, now: float) -> bool:
        return now - self._directory.store_answered_at <= STORE_FRESH_SECONDS

    def _members(self, now: float) -> list[int]:
        """Return the routers of this group that have chosen this one."""
        return [each for each in self._recent(now) if self._is_member(each)]

    def _visitors(self, now: float) -> list[int]:
        """Return the relays of other groups that send bundles here."""
        return [each for each in self._recent(now) if each not in self._group]

    def _other_relays(self, now: float) -> set[int]:
        return {
            relay
            for group in self._other_groups
            for relay in self._watch.choose_relays(group, self._own, now)
        }

    def _recent(self, now: float) -> list[int]:
        return [
            router
            for router, chooser in self._choosers.items()
            if now - chooser.heard_at <= CHOSEN_SECONDS
        ]

    def _is_member(self, router: int) -> bool:
        """Whether a router may choose this one: it comes later in the order."""
        return router in self._group[self._group.index(self._own) :]

    def _choose_relays(self, now: float) -> tuple[int, ...]:
        """Return the relays of this router; none if it is one itself."""
        if now - self._grouped_at >= REGROUP_SECONDS:
            self._regroup(now)
        chosen = self._watch.choose_relays(self._group, self._own, now)
        relay = chosen[0] if chosen else None
        if relay != self._relay:
            self._relay = relay
            peer = self._peers.peer(relay or self._own)
            name = peer.hello.name if peer else self._peers.own.name
            log_event('relay.chosen', router=name)
        return chosen

    def _regroup(self, now: float) -> None:
        self._grouped_at = now
        self._choosers = {
            router: self._choosers[router] for router in self._recent(now)
        }
        members = [
            GroupMember(peer.wire_id, peer.hello.data_centre)
            for peer in self._peers.known_peers()
            if not peer.is_leaving
        ]
        own = GroupMember(self._own, self._peers.own.data_centre)
        groups = make_relay_groups((*members, own))
        self._group = next(group for group in groups if self._own in group)
        self._other_groups = [
            group for group in groups if group is not self._group
        ]
