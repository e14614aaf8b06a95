"""Forwards updates through relays in a fleet too large for a full mesh.

A router sends its own updates, and those of the routers that chose it, to the
relay of its group. A relay sends the updates of its group to the relays of
other groups, and all updates that it receives to the routers that chose it. A
router chooses a relay by sending it a batch, so the choice needs no message of
its own.

Relays also forward the store's changes: a router whose relay follows the store
does not call the store for them, unless a change is large.
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

# Minimum time between two batches, with and without pending updates.
BATCH_SECONDS = 0.06
IDLE_BATCH_SECONDS = 0.2
# Routers that have sent this router a batch within this time receive batches
# from it.
RECENT_SECONDS = 2.0
# Minimum time between two computations of the groups. A router that joins or
# leaves may change the groups this much later.
REGROUP_SECONDS = 0.5
# Larger changes are read from the store, which has more bandwidth than a relay.
MAX_CHANGES_BYTES = 4000
# A relay reports that it follows the store if the store has answered it within
# this time, which leaves time for one long-polling call.
STORE_FRESH_SECONDS = 3.0

RecordUpdate = Callable[[RouterUpdate, float], bool]


@dataclass
class _BatchSource:
    """A router that has sent a batch: a member, or another group's relay."""

    received_at: float
    follows_store: bool
    revision: int


class RelayProtocol:
    """Sends and handles batches, as a member of a group and as a relay."""

    def __init__(
        self,
        peers: Peers,
        transport: PeerTransport,
        directory: ServiceDirectory,
    ) -> None:
        self._peers = peers
        self._transport = transport
        self._directory = directory
        self._own = peers.own.sender
        self._monitor = RelayMonitor()
        self._sources: dict[int, _BatchSource] = {}
        self._group_updates: list[RouterUpdate] = []
        self._other_updates: list[RouterUpdate] = []
        self._sent_at = float(0)
        self._sent_revision = 0
        self._relay: int | None = None
        self._group: tuple[int, ...] = (self._own,)
        self._other_groups: list[tuple[int, ...]] = []
        self._grouped_at = -math.inf

    def is_enabled(self) -> bool:
        """Return whether the fleet is large enough for relays."""
        return needs_relays(len(self._peers.known_peers()) + 1)

    def must_follow_store(self, now: float) -> bool:
        """Return whether this router must follow the store itself."""
        if not self.is_enabled() or self._relay is None:
            return True
        if self._members(now):
            return True
        relay = self._sources.get(self._relay)
        if relay is None or not self._monitor.is_responsive(self._relay, now):
            return True
        is_behind = self._directory.known_revision < relay.revision
        return is_behind or not relay.follows_store

    def send_update(self, update: RouterUpdate, now: float) -> None:
        """Send this router's own update to its relay.

        A router that is a relay itself sends it with its next batch.
        """
        self._group_updates.append(update)
        relays = self._choose_relays(now)
        if relays and not self._members(now):
            self._send_to_relays(relays, now)
            self._group_updates.clear()

    def tick(self, now: float) -> None:
        """Send batches as a relay; called every few hundredths of a second."""
        has_pending_updates = bool(self._group_updates or self._other_updates)
        interval = BATCH_SECONDS if has_pending_updates else IDLE_BATCH_SECONDS
        if now - self._sent_at < interval:
            return
        self._sent_at = now
        relays = self._choose_relays(now)
        members = self._members(now)
        if members or not relays:
            other_relays = self._other_relays(now).union(
                self._recent_other_relays(now)
            )
            self._send_to_relays((*relays, *other_relays), now)
            self._send_to_members(members, now)
        self._group_updates.clear()
        self._other_updates.clear()

    def handle_batch(
        self, batch: UpdateBatch, now: float, record_update: RecordUpdate
    ) -> None:
        """Handle a batch.

        `record_update` returns whether an update is new.
        """
        sender = self._peers.peer(batch.sender)
        if sender is None:
            return
        self._monitor.record_received(batch.sender, now)
        self._sources[batch.sender] = _BatchSource(
            now,
            batch.follows_store,
            batch.revision,
        )
        new_updates = [
            update for update in batch.updates if record_update(update, now)
        ]
        if self._is_member(batch.sender):
            self._group_updates.extend(new_updates)
        else:
            self._other_updates.extend(new_updates)
        if batch.store_changes is not None:
            self._apply_changes(batch.store_changes, now)

    def _apply_changes(self, changes: StoreChanges, now: float) -> None:
        known = self._directory.known_revision
        if changes.base_revision > known or changes.revision <= known:
            return
        self._directory.deferred_removals.start_grace_period(
            changes.removal_grace_seconds, now
        )
        self._directory.apply_peer_changes(
            changes.entries, changes.revision, now
        )

    def _send_to_relays(self, relays: Iterable[int], now: float) -> None:
        batch = self._make_batch(self._group_updates, None, now)
        for relay in relays:
            self._monitor.record_sent(relay, now)
        self._send(relays, batch)

    def _send_to_members(self, members: Iterable[int], now: float) -> None:
        updates = (*self._group_updates, *self._other_updates)
        self._send(
            members, self._make_batch(updates, self._store_changes(now), now)
        )

    def _make_batch(
        self,
        updates: Iterable[RouterUpdate],
        changes: StoreChanges | None,
        now: float,
    ) -> UpdateBatch:
        return UpdateBatch(
            self._own,
            self._follows_store(now),
            self._directory.known_revision,
            tuple(updates),
            changes,
        )

    def _send(self, routers: Iterable[int], batch: UpdateBatch) -> None:
        peers = (self._peers.peer(router) for router in routers)
        addresses = [
            peer.hello.peer_address for peer in peers if peer is not None
        ]
        self._transport.send_all(addresses, batch)

    def _store_changes(self, now: float) -> StoreChanges | None:
        """Return the store's changes since the last batch.

        Returns None if there are none, or if they are incomplete or large.
        """
        base = self._sent_revision
        revision = self._directory.known_revision
        self._sent_revision = revision
        replica = self._directory.replica
        if revision <= base or not replica.has_all_deletions_since(base):
            return None
        changed = replica.changes_since(base)
        if (
            sum(len(entry.value or b'') for entry in changed)
            > MAX_CHANGES_BYTES
        ):
            return None
        removal_grace_seconds = (
            self._directory.deferred_removals.remaining_seconds(now)
        )
        return StoreChanges(base, revision, changed, removal_grace_seconds)

    def _follows_store(self, now: float) -> bool:
        return now - self._directory.store_answered_at <= STORE_FRESH_SECONDS

    def _members(self, now: float) -> list[int]:
        """Return the routers of this group that have chosen this router."""
        return [
            router
            for router in self._recent_senders(now)
            if self._is_member(router)
        ]

    def _recent_other_relays(self, now: float) -> list[int]:
        """Return the relays of other groups that send to this router."""
        return [
            router
            for router in self._recent_senders(now)
            if router not in self._group
        ]

    def _other_relays(self, now: float) -> set[int]:
        return {
            relay
            for group in self._other_groups
            for relay in self._monitor.choose_relays(group, self._own, now)
        }

    def _recent_senders(self, now: float) -> list[int]:
        return [
            router
            for router, source in self._sources.items()
            if now - source.received_at <= RECENT_SECONDS
        ]

    def _is_member(self, router: int) -> bool:
        """Return whether a router may choose this router as its relay.

        It may if it comes later in the order of the group.
        """
        return router in self._group[self._group.index(self._own) :]

    def _choose_relays(self, now: float) -> tuple[int, ...]:
        """Return the relays of this router; none if it is a relay itself."""
        if now - self._grouped_at >= REGROUP_SECONDS:
            self._regroup(now)
        chosen = self._monitor.choose_relays(self._group, self._own, now)
        relay = chosen[0] if chosen else None
        if relay != self._relay:
            self._relay = relay
            peer = self._peers.peer(relay or self._own)
            name = peer.hello.name if peer else self._peers.own.name
            log_event('relay.chosen', router=name)
        return chosen

    def _regroup(self, now: float) -> None:
        self._grouped_at = now
        self._sources = {
            router: self._sources[router]
            for router in self._recent_senders(now)
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
