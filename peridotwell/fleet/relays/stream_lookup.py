"""Asks other routers which software version began a stream.

Routers tell it once, while several versions serve. A router that has started
since, or has missed an update, asks when a caller takes up the stream.
"""

from collections.abc import Iterator

import trio

from peridotwell.fleet.relays.relay_topology import RelayTopology
from peridotwell.fleet.transport.frames import StreamPull, StreamPush
from peridotwell.fleet.transport.peer_transport import PeerTransport
from peridotwell.fleet.transport.peers import Peer, Peers
from peridotwell.metrics import Metrics
from peridotwell.policy.rendezvous import first_by_score
from peridotwell.policy.stream_versions import StreamVersions

__all__ = ('StreamLookup',)

# Time for which a caller waits for the answers.
MAX_WAIT_SECONDS = 0.2
MAX_ROUTERS_ASKED = 3


class _Search:
    """The wait for the answers of several routers about one stream."""

    def __init__(self, routers: int) -> None:
        self.unanswered = routers
        self.ended = trio.Event()


class StreamLookup:
    """Asks for the versions of streams, and answers other routers."""

    def __init__(
        self,
        peers: Peers,
        transport: PeerTransport,
        topology: RelayTopology,
        versions: StreamVersions,
        metrics: Metrics,
    ) -> None:
        self._peers = peers
        self._transport = transport
        self._topology = topology
        self._versions = versions
        self._metrics = metrics
        self._searches: dict[int, _Search] = {}

    async def find(self, stream: int, service: str) -> None:
        """Learn the version of a stream if another router knows it."""
        search = self._searches.get(stream)
        if search is None:
            search = self._ask(stream, service, trio.current_time())
        with trio.move_on_after(MAX_WAIT_SECONDS):
            await search.ended.wait()
        if self._searches.get(stream) is search:
            self._searches.pop(stream)

    def answer(self, pull: StreamPull, now: float) -> None:
        """Tell another router what is known of a stream."""
        peer = self._peers.peer(pull.sender)
        if peer is None:
            return
        push = StreamPush(
            self._peers.own.sender,
            pull.stream,
            pull.service,
            self._versions.version(pull.stream, now),
            self._versions.mixed_seconds(pull.service, now),
        )
        self._transport.send(peer.hello.peer_address, push)

    def apply(self, push: StreamPush, now: float) -> None:
        """Record what another router knows of a stream."""
        self._versions.record_mixed(push.service, push.mixed_seconds, now)
        if push.version is not None:
            self._versions.record(push.stream, push.version, now)
        search = self._searches.get(push.stream)
        if search is None:
            return
        search.unanswered -= 1
        if push.version is not None or search.unanswered <= 0:
            search.ended.set()

    def _ask(self, stream: int, service: str, now: float) -> _Search:
        pull = StreamPull(self._peers.own.sender, stream, service)
        asked = [
            peer
            for peer in self._to_ask(stream, now)
            if self._transport.send(peer.hello.peer_address, pull)
        ]
        self._metrics.count('stream.lookups')
        search = _Search(len(asked))
        if asked:
            self._searches[stream] = search
        else:
            search.ended.set()
        return search

    def _to_ask(self, stream: int, now: float) -> Iterator[Peer]:
        """Yield the router's relay, if it has one, and some other routers."""
        relay = self._topology.relay
        routers = {
            peer.wire_id: peer
            for peer in self._peers.live_peers(now) or self._peers.known_peers()
        }
        if relay in routers:
            yield routers.pop(relay)
        for router in first_by_score(str(stream), routers, MAX_ROUTERS_ASKED):
            yield routers[router]
