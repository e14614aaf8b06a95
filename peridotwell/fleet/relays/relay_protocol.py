"""Forwards updates through relays in a fleet too large for a full mesh.

A router sends its own updates, and those of the routers that chose it, to the
relay of its group. A relay sends the updates of its group to the relays of
other groups, and all updates that it receives to the routers that chose it. A
router chooses a relay by sending it a batch, so the choice needs no message of
its own.

Relays also forward the store's changes: a router whose relay follows the store
does not call the store for them, unless it lacks what they build on.
"""

import math
from collections.abc import Callable, Iterable

import trio

from peridotwell.fleet.caches.listed_caches import ListedCaches
from peridotwell.fleet.relays.relay_topology import RelayTopology
from peridotwell.fleet.replica.change_forwarding import ChangeForwarder
from peridotwell.fleet.replica.large_changes import LargeChangeSender
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.fleet.replica.store_belief import Evidence, EvidenceSource
from peridotwell.fleet.replica.store_contact import decode_seconds, encode_age
from peridotwell.fleet.transport.frames import (
    CachedPrompt,
    LargeChanges,
    RouterUpdate,
    StoreChanges,
    UpdateBatch,
)
from peridotwell.fleet.transport.peer_transport import PeerTransport
from peridotwell.fleet.transport.peers import Peers
from peridotwell.logs import log_failure
from peridotwell.policy.updates.change_distribution import SEND_SECONDS
from peridotwell.policy.updates.relays import needs_relays

__all__ = ('RelayProtocol',)

# Minimum time between two batches, with and without pending updates.
BATCH_SECONDS = 0.06
IDLE_BATCH_SECONDS = 0.2
# A router whose updates take longer to return from its relay follows the store
# itself, for this time at least: what the relay says of the store is as old.
MAX_BATCH_DELAY_SECONDS = 0.8
FOLLOW_SECONDS = 3.0
# A router waits this long for a large change that its relay has announced.
ARRIVAL_SECONDS = 0.2
LARGE_CHANGE_SECONDS = SEND_SECONDS + ARRIVAL_SECONDS

RecordUpdate = Callable[[RouterUpdate, float], bool]


class RelayProtocol:
    """Sends and handles batches, as a member of a group and as a relay."""

    def __init__(
        self,
        peers: Peers,
        transport: PeerTransport,
        directory: ServiceDirectory,
    ) -> None:
        self.topology = RelayTopology(peers)
        self._peers = peers
        self._transport = transport
        self._directory = directory
        self._own = peers.own.sender
        # The lists of engines' caches that are sent after updates.
        self.listed = ListedCaches(peers.own.link_bytes_per_second)
        self._group_updates: list[RouterUpdate] = []
        self._other_updates: list[RouterUpdate] = []
        self._sent_at = float(0)
        # Batches were late up to this time.
        self._late_until = -math.inf
        # Set by a tick at which this router must follow the store.
        self._following = trio.Event()
        self._change_forwarder = ChangeForwarder(directory)
        self._large_sender = LargeChangeSender(peers, transport)
        # Until when the relay sends this router a large change.
        self._expects_until = -math.inf

    def is_enabled(self) -> bool:
        """Return whether the fleet is large enough for relays."""
        return needs_relays(self._peers.known_count())

    def must_follow_store(self, now: float) -> bool:
        """Return whether this router must follow the store itself."""
        if not self.is_enabled() or self.topology.members(now):
            return True
        relay = self.topology.responsive_relay(now)
        if relay is None or now < self._late_until:
            return True
        is_behind = self._directory.known_revision < relay.revision
        is_missing_some = is_behind and not self.expects_changes(now)
        return is_missing_some or not relay.follows_store

    def expects_changes(self, now: float) -> bool:
        """Return whether the relay has yet to send a large change."""
        return now < self._expects_until

    def is_relied_on(self, now: float) -> bool:
        """Return whether other routers learn of the store from this one."""
        return self.is_enabled() and bool(self.topology.members(now))

    def check_following(self, now: float) -> None:
        """Wake the one that waits until this router must follow the store."""
        if self.must_follow_store(now):
            self._following.set()

    def check_turn(self, now: float) -> None:
        """Measure the delay of batches again after a late turn."""
        if self._directory.belief.is_turn_late(now):
            self.topology.update_delay.measure_again(now)

    async def wait_until_following(self) -> None:
        """Wait for the next check that finds that this router must follow."""
        self._following = trio.Event()
        await self._following.wait()

    def send_update(self, update: RouterUpdate, now: float) -> None:
        """Send this router's own update to its relay.

        A router that is a relay itself sends it with its next batch.
        """
        self._group_updates.append(update)
        relays = self.topology.choose_relays(now)
        if not relays:
            return
        if self.topology.responsive_relay(now) is not None:
            # Before, the relay may not know this router and ignore updates.
            self.topology.update_delay.record_sent(update.sequence, now)
        if not self.topology.members(now):
            listed, _ = self.listed.take(now, len(relays), 0)
            self._send_to_relays(relays, listed, now)
            self._group_updates.clear()

    def tick(self, now: float) -> None:
        """Send batches as a relay; called every few hundredths of a second."""
        self._record_late_batches(now)
        if self._large_sender.is_sending:
            changes = self._change_forwarder.large_changes(now)
            self._large_sender.send_due(changes, now)
        has_pending_updates = bool(
            self._group_updates or self._other_updates or self.listed
        )
        interval = BATCH_SECONDS if has_pending_updates else IDLE_BATCH_SECONDS
        if now - self._sent_at < interval:
            return
        self._sent_at = now
        relays = self.topology.choose_relays(now)
        members = self.topology.members(now)
        if members or not relays:
            receivers = (*relays, *self.topology.other_relays(now))
            listed, others_listed = self.listed.take(
                now, len(receivers), len(members)
            )
            self._send_to_relays(receivers, listed, now)
            self._send_to_members(members, (*listed, *others_listed), now)
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
        self.topology.record_received(batch, now)
        new_updates = [
            update for update in batch.updates if record_update(update, now)
        ]
        is_member = self.topology.is_member(batch.sender)
        self.listed.add(batch.listed, now, from_group=is_member)
        if is_member:
            self._group_updates.extend(new_updates)
        else:
            self._other_updates.extend(new_updates)
        for changes in (batch.store_changes, batch.extended_changes):
            if changes is not None:
                self._change_forwarder.apply(changes, now)
                if self._own in changes.large_receivers:
                    self._expects_until = now + LARGE_CHANGE_SECONDS
        if batch.sender == self.topology.relay and batch.follows_store:
            self._believe(batch, now)

    def handle_large_changes(self, message: LargeChanges, now: float) -> None:
        """Apply a large change; if it does not fit, the store is read."""
        if self._peers.peer(message.sender) is None:
            return
        self._expects_until = -math.inf
        self._change_forwarder.apply(message.changes, now)

    def _believe(self, batch: UpdateBatch, now: float) -> None:
        """Record what this router's relay knew when it sent a batch."""
        self.check_turn(now)
        delay = self.topology.update_delay.measured_seconds(now)
        if self._directory.known_revision < batch.revision or delay is None:
            return
        age = decode_seconds(batch.knowledge_age_deciseconds)
        evidence = Evidence(
            now - delay - age, batch.revision, EvidenceSource.relay
        )
        self._directory.belief.record(evidence, now)

    def _record_late_batches(self, now: float) -> None:
        delay = self.topology.update_delay.seconds(now)
        if delay <= MAX_BATCH_DELAY_SECONDS:
            return
        if now >= self._late_until:
            log_failure('relay.batches_late', delay_seconds=round(delay, 3))
        self._late_until = now + FOLLOW_SECONDS

    def _send_to_relays(
        self,
        relays: Iterable[int],
        listed: tuple[CachedPrompt, ...],
        now: float,
    ) -> None:
        batch = self._make_batch(self._group_updates, None, listed, now)
        for relay in relays:
            self.topology.record_sent(relay, now)
        self._send(relays, batch)

    def _send_to_members(
        self,
        members: Iterable[int],
        listed: tuple[CachedPrompt, ...],
        now: float,
    ) -> None:
        updates = (*self._group_updates, *self._other_updates)
        changes = self._change_forwarder.next_changes(
            now, lambda patches: self._large_sender.start(patches, members)
        )
        self._send(members, self._make_batch(updates, changes, listed, now))

    def _make_batch(
        self,
        updates: Iterable[RouterUpdate],
        changes: StoreChanges | None,
        listed: tuple[CachedPrompt, ...],
        now: float,
    ) -> UpdateBatch:
        is_extended = changes is not None and (
            changes.is_partial or bool(changes.patches)
        )
        belief = self._directory.belief
        return UpdateBatch(
            self._own,
            belief.is_own(now),
            self._directory.known_revision,
            tuple(updates),
            None if is_extended else changes,
            listed,
            changes if is_extended else None,
            encode_age(belief.age(now)),
        )

    def _send(self, routers: Iterable[int], batch: UpdateBatch) -> None:
        peers = (self._peers.peer(router) for router in routers)
        addresses = [
            peer.hello.peer_address for peer in peers if peer is not None
        ]
        self._transport.send_all(addresses, batch)
