"""Exchanges updates between forwarding routers.

Each router sends small updates to the others: its outstanding requests for each
target, the prompts that it has sent to engines, and the store revision that it
has read. Large fleets send their updates through relays.
"""

from collections.abc import Collection, Iterable
from typing import Any

import trio

from peridotwell.fleet.caches.cache_lists import encode_parts
from peridotwell.fleet.caches.cache_sync import CacheSync
from peridotwell.fleet.relays.delay_monitor import DelayMonitor
from peridotwell.fleet.relays.forwarding_state import ForwardingState
from peridotwell.fleet.relays.pending_news import PendingNews
from peridotwell.fleet.relays.relay_protocol import RelayProtocol
from peridotwell.fleet.relays.soft_state_sync import SoftStateSync
from peridotwell.fleet.relays.stream_lookup import StreamLookup
from peridotwell.fleet.replica.entry_sync import EntrySync
from peridotwell.fleet.replica.store_contact import (
    StoreContactReport,
    decode_seconds,
    encode_seconds,
)
from peridotwell.fleet.transport.frames import (
    CachedPrompt,
    CachesPull,
    CachesPush,
    CachesRefusal,
    EntriesPull,
    EntriesPush,
    Frame,
    FrameError,
    Hello,
    LargeChanges,
    RouterUpdate,
    StreamPull,
    StreamPush,
    UpdateBatch,
    decode_frame,
)
from peridotwell.fleet.transport.peer_discovery import PeerDiscovery
from peridotwell.fleet.transport.peer_transport import PeerTransport
from peridotwell.fleet.transport.peers import Peers
from peridotwell.logs import log_event
from peridotwell.metrics import Metrics
from peridotwell.policy.health.target_notices import Departure
from peridotwell.policy.load.own_counts import OwnCounts
from peridotwell.policy.placement.prompt_cache_index import CachedPart

__all__ = ('UpdateExchange',)

# Minimum time between two updates, depending on what has changed. It is short
# for new prompts: the next request with the same parts may arrive soon.
PROMPT_UPDATE_SECONDS = 0.03
COUNTS_UPDATE_SECONDS = 0.2
IDLE_UPDATE_SECONDS = 0.8
# All counts, also unchanged ones, are sent with this period, in case an update
# was lost.
FULL_UPDATE_SECONDS = 2.0
SEQUENCE_MASK = 0xFFFFFFFF


class UpdateExchange:
    """Sends this router's updates and applies those of its peers."""

    def __init__(
        self,
        peers: Peers,
        transport: PeerTransport,
        state: ForwardingState,
        metrics: Metrics,
    ) -> None:
        self.peers = peers
        self.discovery = PeerDiscovery(peers, transport)
        self.relay_protocol = RelayProtocol(peers, transport, state.directory)
        self.entry_sync = EntrySync(
            peers, transport, state.directory, self.relay_protocol
        )
        self.cache_sync = CacheSync(
            peers,
            transport,
            state.directory,
            state.cache_index,
            self.relay_protocol,
        )
        self.state = state
        self.crash_blame_sync = SoftStateSync(
            peers, state.crash_blame, self.wake
        )
        self.crashed_request_sync = SoftStateSync(
            peers, state.crashed_requests, self.wake
        )
        self.limit_sync = SoftStateSync(peers, state.target_limits, self.wake)
        self.brittle_sync = SoftStateSync(
            peers, state.brittle_targets.notices, self.wake
        )
        self.departure_sync = SoftStateSync(
            peers, state.target_notices, self.wake
        )
        self.step_sync = SoftStateSync(peers, state.event_steps, self.wake)
        self.pace_sync = SoftStateSync(peers, state.target_paces, self.wake)
        self.stream_lookup = StreamLookup(
            peers,
            transport,
            self.relay_protocol.topology,
            state.stream_versions,
            state.service_versions,
            state.directory,
            metrics,
        )
        self._soft_state_syncs: tuple[SoftStateSync[Any], ...] = (
            self.crash_blame_sync,
            self.crashed_request_sync,
            self.limit_sync,
            self.brittle_sync,
            self.departure_sync,
            self.step_sync,
            self.pace_sync,
        )
        self._transport = transport
        self._metrics = metrics
        self._own = peers.own.sender
        self.update_delay = self.relay_protocol.topology.update_delay
        self.delay_monitor = DelayMonitor(
            transport,
            self.update_delay,
            metrics,
            peers.own.link_bytes_per_second,
        )
        self.own_requests = OwnCounts()
        self.own_prefill_tokens = OwnCounts()
        # Set when there are changes that the peers should receive soon.
        self.has_updates = trio.Event()
        self._news = PendingNews()
        self._sequence = peers.own.incarnation & SEQUENCE_MASK
        self._sent_revision = 0
        self._sent_at = float(0)
        self._full_at = float(0)

    def wake(self) -> None:
        """Send the next update as soon as its minimum interval allows."""
        self.has_updates.set()

    def knowledge_log_fields(self, now: float) -> dict[str, object]:
        """Return the log fields for what this router knows of the store.

        First the newest configuration seen (version and revision) and the one
        in force, the age of the knowledge, where the configuration came from,
        and the last known revision. Ages are in
        seconds: of what is known, of the store's last answer, of the
        configuration, and of this router's updates when they return from its
        relay; None before the first.
        """
        directory = self.state.directory
        table = directory.table
        source = directory.table_in_force.source
        table_age = now - directory.table_in_force.loaded_at
        return {
            'seen': directory.table_in_force.seen_label(),
            'table': table.version if table else None,
            'knowledge_age': directory.belief.logged_age(now),
            'source': source.value if source else None,
            'revision': directory.known_revision,
            'table_revision': table.revision if table else None,
            'knowledge_source': directory.belief.logged_source(),
            'store_answer_age': directory.store_contact.answer_age(now),
            'follows_store': self.relay_protocol.must_follow_store(now),
            'table_age_seconds': round(table_age, 3) if table else None,
            'update_delay': round(self.update_delay.seconds(now), 3),
        }

    def router_count(self) -> int:
        """Return the number of routers, this one included.

        Routers that send nothing count while they are registered: if only
        the network is partitioned, they still serve requests and use their
        share of the limits.
        """
        return self.peers.known_count()

    def record_prompt_sent(
        self,
        target: int,
        parts: tuple[CachedPart, ...],
    ) -> None:
        """Record that these prompt parts were sent to an engine."""
        prompt = CachedPrompt(target, encode_parts(parts))
        if not self._news.add_prompt(prompt):
            self._metrics.count('peer.unsent_prompts')
        self.has_updates.set()

    def share_stream_versions(self, streams: Iterable[tuple[int, int]]) -> None:
        """Add streams and the versions that began them to the next updates."""
        self._news.add_stream_versions(streams)
        self.has_updates.set()

    def tick(self, now: float) -> None:
        """Send changes if due; called every few hundredths of a second."""
        self.relay_protocol.check_following(now)
        self.relay_protocol.check_turn(now)
        self.state.directory.belief.record_turn(now)
        self.state.directory.remove_expired(now)
        self._set_sharing_routers(now)
        if now - self._sent_at >= self._update_interval(now):
            self._send_update(now)
        if self.relay_protocol.is_enabled():
            self.relay_protocol.tick(now)
        self._remove_dead_routers(now)
        self.entry_sync.pull_if_behind(now)
        self.cache_sync.tick(now)
        self.delay_monitor.tick(now)

    def _set_sharing_routers(self, now: float) -> None:
        """Set the routers among which what targets bear is divided."""
        limits = self.state.target_limits
        brittle = self.state.brittle_targets
        cold = self.state.cold_targets
        if (
            limits.is_empty
            and brittle.notices.is_empty
            and not cold.needs_routers
        ):
            return
        routers = [peer.wire_id for peer in self.peers.known_peers()]
        cold.set_routers(routers, now)
        limits.set_routers(routers)
        brittle.set_routers(routers)

    def _update_interval(self, now: float) -> float:
        """Return the minimum time between the last update and the next."""
        if (
            self._news
            or self.cache_sync.has_listed()
            or self._has_soft_state_changes()
        ):
            return PROMPT_UPDATE_SECONDS
        has_new_revision = (
            self._sent_revision < self.state.directory.known_revision
        )
        if (
            has_new_revision
            or self.own_requests.has_changed
            or self.own_prefill_tokens.has_changed
            or self.state.own_reach.has_changed
        ):
            return COUNTS_UPDATE_SECONDS
        return IDLE_UPDATE_SECONDS

    def _has_soft_state_changes(self) -> bool:
        return any(sync.has_changes() for sync in self._soft_state_syncs)

    def receive(self, content: bytes, now: float) -> None:
        """Decode and handle one message."""
        try:
            frame = decode_frame(content)
        except FrameError as exc:
            self._metrics.count('peer.garbage')
            log_event('peer.garbage', error=str(exc))
            return
        self._handle(frame, now)

    def _handle(self, frame: Frame, now: float) -> None:
        match frame:
            case RouterUpdate():
                self._handle_update(frame, now)
            case Hello():
                self.discovery.answer(frame)
            case UpdateBatch():
                self._handle_batch(frame, now)
            case LargeChanges():
                self.relay_protocol.handle_large_changes(frame, now)
            case EntriesPull():
                self.entry_sync.push_entries(frame, now)
            case EntriesPush():
                self.entry_sync.apply_entries(frame, now)
            case CachesPull():
                self.cache_sync.answer(frame, now)
            case CachesPush():
                self.cache_sync.apply(frame, now)
            case CachesRefusal():
                self.cache_sync.handle_refusal()
            case StreamPull():
                self.stream_lookup.answer(frame, now)
            case StreamPush():
                self.stream_lookup.apply(frame, now)
            case _:
                self._metrics.count('peer.unexpected')

    def _send_update(self, now: float) -> None:
        is_full = now - self._full_at >= FULL_UPDATE_SECONDS
        self._sequence = (self._sequence + 1) & SEQUENCE_MASK
        contact = self.state.directory.store_contact.report(now)
        news = self._news.take()
        update = RouterUpdate(
            self._own,
            self.state.directory.known_revision,
            self._sequence,
            self.peers.own_is_leaving,
            is_full,
            self.own_requests.take_counts(include_unchanged=is_full),
            self.own_prefill_tokens.take_counts(include_unchanged=is_full),
            (*news.prompts, *self.cache_sync.take_listed(now)),
            store_contact_deciseconds=encode_seconds(contact.contact_seconds),
            store_answer_age_deciseconds=encode_seconds(
                contact.answer_age_seconds
            ),
            stream_versions=news.stream_versions,
            departed=self.departure_sync.take(now, repeat=is_full),
            part_records=self.crash_blame_sync.take(now, repeat=is_full),
            target_limits=self.limit_sync.take(now, repeat=is_full),
            brittle_targets=self.brittle_sync.take(now, repeat=is_full),
            request_records=self.crashed_request_sync.take(now, repeat=is_full),
            unreachable_targets=self.state.own_reach.take(
                include_unchanged=is_full
            ),
            table_version=self.entry_sync.told_table_version(),
            event_steps=self.step_sync.take(now, repeat=is_full),
            target_paces=self.pace_sync.take(now, repeat=is_full),
        )
        self._sent_revision = update.revision
        self.has_updates = trio.Event()
        if self._has_soft_state_changes():
            # Not all records had room; the rest follows.
            self.wake()
        self._transmit(update, now)
        self._sent_at = now
        if is_full:
            self._full_at = now

    def _transmit(self, update: RouterUpdate, now: float) -> None:
        if self.relay_protocol.is_enabled():
            self.relay_protocol.send_update(update, now)
            return
        peers = self.peers.known_peers()
        addresses = [peer.hello.peer_address for peer in peers]
        self._transport.send_all(addresses, update)

    def _handle_batch(self, batch: UpdateBatch, now: float) -> None:
        self.relay_protocol.handle_batch(batch, now, self._handle_update)
        self.cache_sync.record_prompts(batch.listed, now)

    def _handle_update(self, update: RouterUpdate, now: float) -> bool:
        """Apply an update and return True.

        Returns False if it is this router's own, stale, or from an unknown
        router.
        """
        if update.sender == self._own:
            self.update_delay.record_returned(update.sequence, now)
            return False
        if self.peers.peer(update.sender) is None:
            self._metrics.count('peer.unknown')
            return False
        if not self.peers.record_update(update, now):
            self._metrics.count('peer.stale_update')
            return False
        belief = self.state.directory.belief
        belief.peer_revisions.hear(update.revision)
        for counts, pairs in (
            (self.state.peer_requests, update.outstanding_requests),
            (self.state.peer_prefill_tokens, update.prefill_tokens),
        ):
            if update.is_full:
                counts.remove_router(update.sender)
            if pairs:
                counts.update(update.sender, dict(pairs))
        if update.prompts:
            self.cache_sync.record_prompts(update.prompts, now)
        self._apply_news(update, now)
        if self.state.directory.deferred_removals.is_active(now):
            self._handle_store_contact(update, now)
        return True

    def _handle_store_contact(self, update: RouterUpdate, now: float) -> None:
        report = StoreContactReport(
            decode_seconds(update.store_contact_deciseconds),
            decode_seconds(update.store_answer_age_deciseconds),
        )
        self.state.directory.handle_store_contact(report, update.revision, now)

    def _apply_news(self, update: RouterUpdate, now: float) -> None:
        if update.departed:
            self._apply_departures(update.departed, now)
        if update.part_records:
            self.crash_blame_sync.apply(update.part_records, now)
        if update.request_records:
            self.crashed_request_sync.apply(update.request_records, now)
        if update.target_limits:
            self.limit_sync.apply(update.target_limits, now)
        if update.brittle_targets:
            self.brittle_sync.apply(update.brittle_targets, now)
        if update.event_steps:
            self.step_sync.apply(update.event_steps, now)
        if update.target_paces:
            self.pace_sync.apply(update.target_paces, now)
        if update.stream_versions:
            self.stream_lookup.apply_told(update, now)

    def _apply_departures(
        self, departures: Collection[Departure], now: float
    ) -> None:
        for departure in departures:
            if not self.state.target_notices.is_known(departure):
                self._metrics.count('target.leaving.peer')
                log_event(
                    'target.departed', source='peer', target_id=departure.target
                )
        self.departure_sync.apply(departures, now)

    def _remove_dead_routers(self, now: float) -> None:
        live = self.peers.live_ids(now)
        for counts in (
            self.state.peer_requests,
            self.state.peer_prefill_tokens,
        ):
            for router in counts.routers() - live:
                counts.remove_router(router)
