"""Asks other routers which software version began a stream.

Routers tell it once, while several versions serve. A router that has started
since, or has missed an update, asks when a caller takes up the stream. Right
after a start, its connections to the others are not open yet: it asks again
until they are.
"""

from collections.abc import Iterable, Iterator

import trio

from peridotwell.fleet.relays.relay_topology import RelayTopology
from peridotwell.fleet.replica.store_contact import (
    StoreContact,
    decode_seconds,
)
from peridotwell.fleet.transport.frames import (
    RouterUpdate,
    StreamPull,
    StreamPush,
)
from peridotwell.fleet.transport.peer_transport import PeerTransport
from peridotwell.fleet.transport.peers import Peer, Peers
from peridotwell.metrics import Metrics
from peridotwell.policy.placement.rendezvous import first_by_score
from peridotwell.policy.versions.stream_versions import Evidence, StreamVersions

__all__ = ('StreamLookup',)

# Time for which a caller waits for the answers.
MAX_WAIT_SECONDS = 0.2
# A router that has not answered is asked again after this time.
ASK_SECONDS = 0.05
MAX_ROUTERS_ASKED = 3


class _Search:
    """The wait for the answers of several routers about one stream."""

    def __init__(self) -> None:
        self.answered: set[int] = set()
        self.ended = trio.Event()
        self._asked: set[int] = set()

    def set_asked(self, routers: Iterable[int]) -> None:
        """Set the routers whose answers are waited for."""
        self._asked = set(routers)
        self._end_if_answered()

    def record_answer(self, router: int, *, is_version_known: bool) -> None:
        """Record that a router has answered; one version ends the search."""
        self.answered.add(router)
        if is_version_known:
            self.ended.set()
        self._end_if_answered()

    def _end_if_answered(self) -> None:
        if self._asked <= self.answered:
            self.ended.set()


class StreamLookup:
    """Asks for the versions of streams, and answers other routers."""

    def __init__(
        self,
        peers: Peers,
        transport: PeerTransport,
        topology: RelayTopology,
        versions: StreamVersions,
        contact: StoreContact,
        metrics: Metrics,
    ) -> None:
        self._peers = peers
        self._transport = transport
        self._topology = topology
        self._versions = versions
        self._contact = contact
        self._metrics = metrics
        self._searches: dict[int, _Search] = {}

    async def find(self, stream: int, service: str) -> None:
        """Learn the version of a stream if another router knows it."""
        search = self._searches.get(stream)
        if search is not None:
            with trio.move_on_after(MAX_WAIT_SECONDS):
                await search.ended.wait()
            return
        search = _Search()
        self._searches[stream] = search
        self._metrics.count('stream.lookups')
        try:
            with trio.move_on_after(MAX_WAIT_SECONDS):
                await self._ask_until_ended(search, stream, service)
        finally:
            search.ended.set()
            self._searches.pop(stream)

    def count_unknown(self) -> None:
        """Count a stream that is refused: nobody knows its version."""
        self._metrics.count('stream.version_unknown')

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
            self._versions.may_confirm(pull.service, now),
            self._contact.answer_age(now),
        )
        self._transport.send(peer.hello.peer_address, push)

    def apply(self, push: StreamPush, now: float) -> None:
        """Record what another router knows of a stream."""
        evidence = Evidence(
            self._peers.name(push.sender), now, _heard_at(push, now)
        )
        self._versions.record_mixed(push.service, push.mixed_seconds, now)
        if push.is_confirmed:
            self._versions.record_confirmation(push.service, evidence)
        if push.version is not None:
            self._versions.record(push.stream, push.version, evidence)
        search = self._searches.get(push.stream)
        if search is not None:
            search.record_answer(
                push.sender, is_version_known=push.version is not None
            )

    def apply_told(self, update: RouterUpdate, now: float) -> None:
        """Record the versions of streams that another router tells unasked."""
        heard_seconds = decode_seconds(update.store_answer_age_deciseconds)
        evidence = Evidence(
            self._peers.name(update.sender), now, now - heard_seconds
        )
        for stream, version in update.stream_versions:
            self._versions.record(stream, version, evidence)

    async def _ask_until_ended(
        self, search: _Search, stream: int, service: str
    ) -> None:
        """Ask routers until one knows the version or all have answered."""
        pull = StreamPull(self._peers.own.sender, stream, service)
        while not search.ended.is_set():
            asked = [
                peer.wire_id
                for peer in self._to_ask(stream, trio.current_time())
                if self._ask(peer, pull, search)
            ]
            search.set_asked(asked)
            with trio.move_on_after(ASK_SECONDS):
                await search.ended.wait()

    def _ask(self, peer: Peer, pull: StreamPull, search: _Search) -> bool:
        """Return whether an answer of this router may still come."""
        if peer.wire_id in search.answered:
            return True
        is_sent = self._transport.send(peer.hello.peer_address, pull)
        # One that was never heard may be about to be connected.
        return is_sent or peer.last_received_at < 0

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


def _heard_at(push: StreamPush, now: float) -> float | None:
    """Return when the store last answered the sender, if it tells."""
    if push.store_heard_seconds is None:
        return None
    return now - push.store_heard_seconds
