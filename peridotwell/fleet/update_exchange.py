"""What forwarding routers tell each other.

Every router sends small updates to the others: what it has outstanding on
each target, which prompts it has sent where, and how far it has read the
store. A router that lags behind asks for the entries it lacks, so a router
that the store turns away follows through the others. Large fleets send their
updates through relays.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial

import trio

from peridotwell.domain.target import wire_id
from peridotwell.fleet.frames import (
    CachedPrompt,
    CachesPull,
    CachesPush,
    EntriesPull,
    EntriesPush,
    FrameError,
    Hello,
    RouterUpdate,
    UpdateBatch,
    decode_frame,
)
from peridotwell.fleet.peer_discovery import PeerDiscovery
from peridotwell.fleet.peer_transport import PeerTransport
from peridotwell.fleet.peers import Peer, Peers, choose_peer
from peridotwell.fleet.relay_protocol import RelayProtocol
from peridotwell.fleet.service_directory import ServiceDirectory
from peridotwell.logs import log_event
from peridotwell.metrics import Metrics
from peridotwell.policy.own_counts import OwnCounts
from peridotwell.policy.peer_counts import PeerCounts
from peridotwell.policy.prompt_cache_index import CachedPart, PromptCacheIndex
from peridotwell.policy.quarantine import CrashRecord, Quarantine

__all__ = ('ForwardingState', 'UpdateExchange')

# The least time between two updates, by what there is to tell. New prompts
# hurry: the next request with the same parts may be on its way.
PROMPT_SECONDS = 0.03
COUNTS_SECONDS = 0.2
QUIET_SECONDS = 0.8
# Counts are repeated in full, in case an update was lost.
FULL_SECONDS = 2.0
# A router that is behind a peer for so long asks it for entries.
BEHIND_SECONDS = 0.4
PULL_SECONDS = 0.5
MAX_PROMPTS = 200
NUMBER_MASK = 0xFFFFFFFF
# Routers that are asked for the map of caches after a start.
PULLED_PEERS = 2


@dataclass(frozen=True)
class ForwardingState:
    """What spreads between routers.

    `loads` sums the others' outstanding calls, `reading` the prompt tokens
    that they wait for.
    """

    directory: ServiceDirectory
    cache_index: PromptCacheIndex
    peer_calls: PeerCounts
    peer_prefill_tokens: PeerCounts
    quarantine: Quarantine


class UpdateExchange:
    """This router's side of the exchange."""

    def __init__(
        self,
        peers: Peers,
        bus: PeerTransport,
        knowledge: ForwardingState,
        metrics: Metrics,
    ) -> None:
        self.peers = peers
        # Set when the map of caches was learned, from peers or engines.
        self.prompt_caches_known = trio.Event()
        self.discovery = PeerDiscovery(peers, bus)
        self.relay_protocol = RelayProtocol(peers, bus, knowledge.directory)
        self.state = knowledge
        self._bus = bus
        self._metrics = metrics
        self._own = peers.own.sender
        self.own_calls = OwnCounts()
        self.own_prefill_tokens = OwnCounts()
        # Set when there is something that the others should hear soon.
        self.has_updates = trio.Event()
        self._prompts: list[CachedPrompt] = []
        self._verdicts: list[CrashRecord] = []
        self._number = peers.own.incarnation & NUMBER_MASK
        self._told_revision = 0
        self._sent_at = float(0)
        self._full_at = float(0)
        self._behind_since: float | None = None
        self._pulled_at = float(0)

    def router_count(self) -> int:
        """Return the number of routers, this one included.

        Routers that are silent count as long as they are registered: behind a
        cut they still serve and spend their share of what all may spend.
        """
        return len(self.peers.known_peers()) + 1

    def record_prompt_sent(
        self,
        target: int,
        parts: tuple[CachedPart, ...],
    ) -> None:
        """Tell the others that an engine reads these parts."""
        if len(self._prompts) < MAX_PROMPTS:
            self._prompts.append(CachedPrompt(target, _pairs(parts)))
        self.has_updates.set()

    def request_caches(self, now: float) -> None:
        """Ask a few other routers what engines have cached."""
        for peer in self.peers.live_peers(now)[:PULLED_PEERS]:
            self._bus.send(peer.hello.peer_address, CachesPull(self._own))

    def share_crash_records(self, *verdicts: CrashRecord) -> None:
        """Tell every router about requests that lose targets."""
        self._verdicts.extend(verdicts)
        self.has_updates.set()

    def tick(self, now: float) -> None:
        """Send what has changed; called every few hundredths of a second."""
        if now - self._sent_at >= self._pause(now):
            self._send_update(now)
        if self.relay_protocol.is_enabled():
            self.relay_protocol.tick(now)
        self._drop_silent(now)
        self._pull_if_behind(now)

    def _pause(self, now: float) -> float:
        """Return the time to wait after the last update."""
        if self._prompts or self._verdicts:
            return PROMPT_SECONDS
        has_read = self._told_revision < self.state.directory.known_revision
        if (
            has_read
            or self.own_calls.has_changed
            or self.own_prefill_tokens.has_changed
        ):
            return COUNTS_SECONDS
        return QUIET_SECONDS

    def receive(self, content: bytes, now: float, wall: float) -> None:
        """Act on one frame."""
        try:
            frame = decode_frame(content)
        except FrameError as exc:
            self._metrics.count('peer.garbage')
            log_event('peer.garbage', error=str(exc))
            return
        match frame:
            case RouterUpdate():
                self._hear(frame, now, wall)
            case Hello():
                self.discovery.answer(frame)
            case UpdateBatch():
                hear = partial(self._hear, wall=wall)
                self.relay_protocol.handle_batch(frame, now, hear)
            case EntriesPull():
                self._push(frame)
            case EntriesPush():
                self._take(frame, now)
            case CachesPull():
                self._push_caches(frame)
            case CachesPush():
                self._learn_prompts(frame.prompts, now)
                self.prompt_caches_known.set()
            case _:
                self._metrics.count('peer.unexpected')

    def _send_update(self, now: float) -> None:
        is_full = now - self._full_at >= FULL_SECONDS
        self._number = (self._number + 1) & NUMBER_MASK
        update = RouterUpdate(
            self._own,
            self.state.directory.known_revision,
            self._number,
            self.peers.own_is_leaving,
            is_full,
            self.own_calls.take_counts(everything=is_full),
            self.own_prefill_tokens.take_counts(everything=is_full),
            tuple(self._prompts),
            tuple(self._verdicts),
        )
        self._told_revision = update.revision
        self._prompts.clear()
        self._verdicts.clear()
        self.has_updates = trio.Event()
        if self.relay_protocol.is_enabled():
            self.relay_protocol.send_update(update, now)
        else:
            addresses = [
                peer.hello.peer_address for peer in self.peers.known_peers()
            ]
            self._bus.send_all(addresses, update)
        self._sent_at = now
        if is_full:
            self._full_at = now

    def _hear(self, update: RouterUpdate, now: float, wall: float) -> bool:
        """Take over an update; False if it is no news."""
        if update.sender == self._own:
            return False
        if not self.peers.record_update(update, now):
            self._metrics.count('peer.unknown')
            return False
        for sums, pairs in (
            (self.state.peer_calls, update.outstanding_calls),
            (self.state.peer_prefill_tokens, update.prefill_tokens),
        ):
            if update.is_full:
                sums.remove_router(update.sender)
            sums.update(update.sender, dict(pairs))
        self._learn_prompts(update.prompts, now)
        self.state.quarantine.merge(update.crash_records, wall)
        return True

    def _learn_prompts(
        self,
        prompts: Iterable[CachedPrompt],
        now: float,
    ) -> None:
        for prompt in prompts:
            target = self.state.directory.target_by_id(prompt.target_id)
            if target is None:
                continue
            parts = [CachedPart(*pair) for pair in prompt.parts]
            self.state.cache_index.record_use(target.name, parts, now)

    def _push_caches(self, pull: CachesPull) -> None:
        peer = self.peers.peer(pull.sender)
        if peer is None or not self.prompt_caches_known.is_set():
            return
        prompts = tuple(
            CachedPrompt(wire_id(name), _pairs(parts))
            for name, parts in self.state.cache_index.all_parts().items()
        )
        self._bus.send(peer.hello.peer_address, CachesPush(self._own, prompts))

    def _drop_silent(self, now: float) -> None:
        live = {peer.wire_id for peer in self.peers.live_peers(now)}
        for sums in (self.state.peer_calls, self.state.peer_prefill_tokens):
            for router in sums.routers() - live:
                sums.remove_router(router)

    def _pull_if_behind(self, now: float) -> None:
        """Ask a peer that has read further, when this router lags.

        In a large fleet the store is asked before, not to burden a relay.
        """
        directory = self.state.directory
        own = directory.known_revision
        ahead = self._peer_ahead(own, now)
        if ahead is None:
            self._behind_since = None
            return
        if self.relay_protocol.is_enabled() and self._has_asked_store():
            self._behind_since = now
            return
        if self._behind_since is None:
            self._behind_since = now
        is_late = now - self._behind_since >= BEHIND_SECONDS
        if is_late and now - self._pulled_at >= PULL_SECONDS:
            pull = EntriesPull(self._own, own)
            if not self._bus.send(ahead.hello.peer_address, pull):
                # The link is being opened: the next turn sends.
                return
            self._pulled_at = now
            log_event(
                'entries.pulled',
                router=ahead.hello.name,
                revision=own,
                ahead=ahead.version,
            )

    def _has_asked_store(self) -> bool:
        """Whether the store has answered since this router fell behind."""
        since = self._behind_since
        heard_at = self.state.directory.store_answered_at
        return since is not None and heard_at > since

    def _peer_ahead(self, revision: int, now: float) -> Peer | None:
        """Return the peer that has read furthest; in a large fleet, any one."""
        ahead = [
            peer
            for peer in self.peers.live_peers(now)
            if peer.version > revision
        ]
        if self.relay_protocol.is_enabled():
            return choose_peer(self._own, ahead)
        return max(ahead, key=lambda peer: peer.version, default=None)

    def _push(self, pull: EntriesPull) -> None:
        peer = self.peers.peer(pull.sender)
        directory = self.state.directory
        if peer is None or not directory.is_loaded:
            return
        is_whole = not directory.replica.has_all_deletions_since(pull.revision)
        push = EntriesPush(
            self._own,
            directory.known_revision,
            directory.replica.changes_since(0 if is_whole else pull.revision),
            is_whole,
        )
        self._bus.send(peer.hello.peer_address, push)

    def _take(self, push: EntriesPush, now: float) -> None:
        directory = self.state.directory
        if push.is_whole:
            directory.apply_peer_snapshot(push.entries, push.revision, now)
        else:
            directory.apply_peer_changes(push.entries, push.revision, now)


def _pairs(parts: Iterable[CachedPart]) -> tuple[tuple[int, int], ...]:
    return tuple((part.part_id, part.tokens) for part in parts)
