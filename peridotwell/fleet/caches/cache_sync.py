"""Exchanges the index of the engines' prompt caches after a router's start.

A router that starts requests the index from a peer. Lists that it has read from
engines go to all routers.
"""

from collections.abc import Iterable

import trio

from peridotwell.fleet.caches.cache_answers import CacheAnswers
from peridotwell.fleet.caches.cache_lists import list_portions
from peridotwell.fleet.relays.relay_protocol import RelayProtocol
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.fleet.transport.frames import (
    CachedPrompt,
    CachesPull,
    CachesPush,
)
from peridotwell.fleet.transport.peer_transport import PeerTransport
from peridotwell.fleet.transport.peers import Peer, Peers, choose_peer
from peridotwell.policy.placement.prompt_cache_index import (
    CachedPart,
    PromptCacheIndex,
)

__all__ = ('CacheSync',)

# Routers that started at least this much earlier are expected to have the
# index. Clocks differ by less.
EARLIER_START_MILLISECONDS = 2000


class CacheSync:
    """Requests the index from peers, and sends them this router's."""

    def __init__(
        self,
        peers: Peers,
        transport: PeerTransport,
        directory: ServiceDirectory,
        cache_index: PromptCacheIndex,
        relay_protocol: RelayProtocol,
    ) -> None:
        # Set when requests need not wait for the index any longer.
        self.is_ready = trio.Event()
        # Whether the index may be sent to peers.
        self.is_complete = False
        self._own = peers.own.sender
        self._peers = peers
        self._transport = transport
        self._directory = directory
        self._cache_index = cache_index
        self._relay_protocol = relay_protocol
        self._asked: set[int] = set()
        self._has_asked_relay = False
        self._refused = trio.Event()
        self._answers = CacheAnswers(
            transport,
            cache_index,
            self._own,
            peers.own.link_bytes_per_second,
        )

    def tick(self, now: float) -> None:
        """Send what is due of the answers to other routers."""
        self._answers.tick(now)

    def record_listed(
        self, target: int, parts: Iterable[CachedPart], now: float
    ) -> None:
        """Tell the others that an engine has listed these parts as cached."""
        portions = tuple(list_portions(target, parts))
        self._relay_protocol.listed.add(portions, now, from_group=True)

    def has_listed(self) -> bool:
        """Return whether lists wait to be sent."""
        return len(self._relay_protocol.listed) > 0

    def take_listed(self, now: float) -> tuple[CachedPrompt, ...]:
        """Return the lists for an update, unless relays pass them on."""
        if self._relay_protocol.is_enabled():
            return ()
        receivers = len(self._peers.known_peers())
        listed, _ = self._relay_protocol.listed.take(now, receivers, 0)
        return listed

    def request(self, now: float) -> bool:
        """Request the cached prompts of all engines from one peer.

        Every other call asks this router's relay, the others another peer
        each. Returns False if none could be asked.
        """
        self._has_asked_relay = not self._has_asked_relay
        relay = self._own_relay() if self._has_asked_relay else None
        peer = relay or self._choose_peer(now)
        if peer is None:
            self._asked.clear()
            return False
        pull = CachesPull(self._own)
        if not self._transport.send(peer.hello.peer_address, pull):
            # The connection is being opened.
            return False
        self._asked.add(peer.wire_id)
        self._refused = trio.Event()
        return True

    async def wait_until_refused(self, seconds: float) -> bool:
        """Return True once the peer that was asked refuses.

        Returns False if it has not refused after some seconds.
        """
        with trio.move_on_after(seconds):
            await self._refused.wait()
        return self._refused.is_set()

    def handle_refusal(self) -> None:
        """Let another peer be asked."""
        self._refused.set()

    def answer(self, pull: CachesPull, now: float) -> None:
        """Send a peer the index, unless it is incomplete or the link busy.

        The peer then asks another router. A router that has chosen this one
        as its relay gets what is known: it has missed what was sent before.
        """
        peer = self._peers.peer(pull.sender)
        if peer is None:
            return
        address = peer.hello.peer_address
        may_answer = self.is_complete or self._is_member(pull.sender)
        if not (may_answer and self._answers.add(address, self.is_complete)):
            self._answers.refuse(address)
        self.tick(now)

    def apply(self, push: CachesPush, now: float) -> None:
        """Add a part of the index of a peer to this router's."""
        self.record_prompts(push.prompts, now)
        if push.is_last:
            self.is_complete = True
            self.is_ready.set()

    def record_prompts(
        self, prompts: Iterable[CachedPrompt], now: float
    ) -> None:
        """Record prompts that other routers have sent or engines listed."""
        for prompt in prompts:
            target = self._directory.target_by_id(prompt.target_id)
            if target is None:
                continue
            parts = [CachedPart(*pair) for pair in prompt.parts]
            self._cache_index.record_use(target.name, parts, now)

    def _own_relay(self) -> Peer | None:
        relay = self._relay_protocol.topology.relay
        return None if relay is None else self._peers.peer(relay)

    def _is_member(self, router: int) -> bool:
        return (
            self._relay_protocol.is_enabled()
            and self._relay_protocol.topology.is_member(router)
        )

    def _choose_peer(self, now: float) -> Peer | None:
        """Choose a peer that was not asked yet.

        One that started earlier comes first, then a near and fast one. Live
        peers come first; after a start, none has been heard yet. The answer
        is large, so different routers ask different peers.
        """
        peers = [
            peer
            for peer in self._peers.live_peers(now) or self._peers.known_peers()
            if peer.wire_id not in self._asked
        ]
        if not peers:
            return None
        best = max(map(self._rank, peers))
        return choose_peer(
            self._own, [peer for peer in peers if self._rank(peer) == best]
        )

    def _rank(self, peer: Peer) -> tuple[bool, bool, int]:
        own = self._peers.own
        started_at = peer.hello.incarnation + EARLIER_START_MILLISECONDS
        is_near = peer.hello.data_centre == own.data_centre
        return (
            started_at <= own.incarnation,
            is_near,
            peer.hello.link_bytes_per_second,
        )
