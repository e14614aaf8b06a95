"""Asks other routers which software version began a stream.

Routers tell it once, while several versions serve. A router that does not know
it asks when a caller takes up the stream: for the version, and whether another
one than it knows may have begun to serve. Only answers to what was asked after
the stream was taken up show that there is none. Right after a start, the
connections to other routers are not open yet: it asks again until they are.
"""

import math
from collections.abc import Iterator
from dataclasses import replace
from itertools import count

import trio

from peridotwell.fleet.relays.relay_topology import RelayTopology
from peridotwell.fleet.relays.stream_search import StreamSearch, StreamSearches
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.fleet.replica.store_contact import decode_seconds
from peridotwell.fleet.transport.frames import (
    RouterUpdate,
    StreamPull,
    StreamPush,
)
from peridotwell.fleet.transport.peer_transport import PeerTransport
from peridotwell.fleet.transport.peers import Peer, Peers
from peridotwell.metrics import Metrics
from peridotwell.policy.placement.rendezvous import first_by_score
from peridotwell.policy.updates.relays import needs_relays
from peridotwell.policy.versions.service_versions import ServiceVersions
from peridotwell.policy.versions.stream_versions import (
    Provenance,
    StreamVersions,
)
from peridotwell.policy.versions.version_belief import (
    KnownVersions,
    VersionBelief,
    decide,
)

__all__ = ('StreamLookup',)

# Time for which a caller waits for the answers of other routers.
MAX_WAIT_SECONDS = 0.2
# The same for an answer of the store, which others may have to ask.
MAX_STORE_WAIT_SECONDS = 0.4
# A question is given up after so many turns if none of those that have
# answered hears the store, and neither does this router.
UNHEARD_TURNS = 2
# A router hears the store if it has answered within this time.
HEARD_SECONDS = 1.5
# A router that has not answered is asked again after this time.
ASK_SECONDS = 0.05
MAX_ROUTERS_ASKED = 3
# Other routers that ask the store for this one.
MAX_STORE_ROUTERS = 2
# Whoever asked for an answer that is current has left after this time.
OWED_SECONDS = 0.5


class StreamLookup:
    """Asks for the versions of streams, and answers other routers."""

    def __init__(
        self,
        peers: Peers,
        transport: PeerTransport,
        topology: RelayTopology,
        versions: StreamVersions,
        services: ServiceVersions,
        directory: ServiceDirectory,
        metrics: Metrics,
    ) -> None:
        self.belief = VersionBelief()
        self._peers = peers
        self._transport = transport
        self._topology = topology
        self._versions = versions
        self._services = services
        self._directory = directory
        self._metrics = metrics
        self._searches = StreamSearches()
        # Questions that are answered once more after the store's answer, and
        # when they came.
        self._owed: list[tuple[StreamPull, float]] = []
        directory.belief.on_evidence(self._handle_evidence)

    async def find(
        self, stream: int, service: str, taken_up_at: float | None = None
    ) -> None:
        """Learn the version of a stream if another router knows it.

        Learn too whether the service has had one version up to `taken_up_at`.
        """
        now = trio.current_time()
        search = self._searches.joined(stream, service, taken_up_at)
        if search is not None:
            with trio.move_on_after(MAX_WAIT_SECONDS):
                await search.ended.wait()
            return
        search = StreamSearch(stream, service, now, taken_up_at)
        self._searches.add(search)
        self._metrics.count('stream.lookups')
        try:
            with trio.move_on_after(_wait_seconds(search)):
                await self._ask_until_ended(search)
        finally:
            self._searches.end(search)

    def is_shown(self, service: str, taken_up_at: float, now: float) -> bool:
        """Return whether a service is known to have had one version.

        That is up to `taken_up_at`, by the store or by other routers.
        """
        return decide(self.known_versions(service, now), taken_up_at).goes_on

    def known_versions(self, service: str, now: float) -> KnownVersions:
        """Return what is known of the versions of a service."""
        return KnownVersions(
            None,
            self._services.only_version(service, now),
            self.belief.told_until(service),
            self._directory.belief.answered_until,
            self._services.is_confirmed(service, now),
        )

    def count_unknown(self) -> None:
        """Count a stream that is refused: nobody knows its version."""
        self._metrics.count('stream.version_unknown')

    def answer(self, pull: StreamPull, now: float) -> None:
        """Tell another router what is known of a stream."""
        self._send_answer(pull, now, now)
        belief = self._directory.belief
        if pull.wants_current and not belief.is_away():
            belief.require(now)
            self._owed = [
                *(owed for owed in self._owed if now - owed[1] < OWED_SECONDS),
                (pull, now),
            ]

    def apply(self, push: StreamPush, now: float) -> None:
        """Record what another router knows of a stream."""
        evidence = Provenance(
            self._peers.name(push.sender), now, _heard_at(push, now)
        )
        self._services.record_mixed(push.service, push.mixed_seconds, now)
        if push.only_version is not None:
            self._services.record_seen(
                {push.service: frozenset((push.only_version,))}, now
            )
        if push.version is not None:
            self._versions.record(push.stream, push.version, evidence)
        for search in self._searches.answered(push):
            search.answers[push.sender] = push
            self._believe(search, push, evidence)
            self._end_if_over(search, now)

    def apply_told(self, update: RouterUpdate, now: float) -> None:
        """Record the versions of streams that another router tells unasked."""
        heard_seconds = decode_seconds(update.store_answer_age_deciseconds)
        evidence = Provenance(
            self._peers.name(update.sender), now, now - heard_seconds
        )
        for stream, version in update.stream_versions:
            self._versions.record(stream, version, evidence)

    def _believe(
        self, search: StreamSearch, push: StreamPush, evidence: Provenance
    ) -> None:
        """Record up to when an answer shows that there is one version.

        A router that hears the store shows it alone. Without the store, it
        takes all of them: each knows the versions at which it began streams.
        """
        now = evidence.learned_at
        service = search.service
        known_until = search.known_until(push)
        if push.is_confirmed:
            self._services.record_confirmation(service, evidence, known_until)
        only = self._services.only_version(service, now)
        if only is None or not push.question:
            return
        if push.is_confirmed and push.only_version == only:
            self.belief.record(
                service, replace(evidence, learned_at=known_until)
            )
        routers = [peer.wire_id for peer in self._peers.known_peers()]
        if self._services.remembers(service, now) and search.names_only(
            only, routers
        ):
            self.belief.record(
                service, replace(evidence, learned_at=search.asked_at)
            )

    async def _ask_until_ended(self, search: StreamSearch) -> None:
        """Ask routers, and the store, until there is nothing more to learn."""
        for turn in count():
            now = trio.current_time()
            search.set_asked(self._ask_all(search, turn, now))
            if search.taken_up_at is not None and self._needs_store(turn):
                self._directory.belief.require(search.taken_up_at)
            self._end_if_over(search, now)
            if self._is_in_vain(search, turn, now):
                return
            with trio.move_on_after(ASK_SECONDS):
                await search.ended.wait()
                return

    def _is_in_vain(self, search: StreamSearch, turn: int, now: float) -> bool:
        """Return whether a question is given up at a turn.

        While several versions serve, the store can't tell that of the stream,
        nor can it tell anything if nobody hears it.
        """
        if search.taken_up_at is None or turn < UNHEARD_TURNS:
            return False
        is_away = self._directory.belief.is_away()
        if self._services.only_version(search.service, now) is None:
            return is_away or now - search.asked_at >= MAX_WAIT_SECONDS
        return is_away and not search.hears_store(HEARD_SECONDS)

    def _needs_store(self, turn: int) -> bool:
        """Return whether the store itself is to be asked.

        It is if other routers have not shown enough: in a small fleet, not all
        have answered; in a large one, the relay has not, or there is none.
        """
        routers = self._peers.known_count()
        if not needs_relays(routers):
            return turn >= 1 or routers == 1
        return turn >= 2 or self._topology.relay is None

    def _ask_all(
        self, search: StreamSearch, turn: int, now: float
    ) -> list[int]:
        """Ask all routers that have not answered.

        Returns those whose answers come, or have come.
        """
        live = self._peers.live_ids(now)
        asked = []
        for peer in self._to_ask(search.stream, now):
            if peer.wire_id in search.answers:
                asked.append(peer.wire_id)
                continue
            is_relay = peer.wire_id == self._topology.relay
            if self._ask(peer, search, wants_current=is_relay) and (
                not live or peer.wire_id in live
            ):
                asked.append(peer.wire_id)
        if turn == 1:
            self._ask_for_store(search)
        return asked

    def _ask_for_store(self, search: StreamSearch) -> None:
        """Have some routers that have answered ask the store.

        They may hear it if this router does not.
        """
        for router in tuple(search.answers)[:MAX_STORE_ROUTERS]:
            peer = self._peers.peer(router)
            if peer is not None:
                self._ask(peer, search, wants_current=True)

    def _ask(
        self, peer: Peer, search: StreamSearch, *, wants_current: bool
    ) -> bool:
        """Return whether an answer of this router may come."""
        pull = search.pull(
            self._peers.own.sender,
            trio.current_time(),
            wants_current=wants_current,
        )
        self._searches.record_question(search, pull.question)
        is_sent = self._transport.send(peer.hello.peer_address, pull)
        # One that was never heard may be about to be connected.
        return is_sent or peer.last_received_at < 0

    def _to_ask(self, stream: int, now: float) -> Iterator[Peer]:
        """Yield all routers of a small fleet.

        In a large one, yield this router's relay, if it has one, and some
        others.
        """
        if not needs_relays(self._peers.known_count()):
            yield from self._peers.known_peers()
            return
        relay = self._topology.relay
        routers = {
            peer.wire_id: peer
            for peer in self._peers.live_peers(now) or self._peers.known_peers()
        }
        if relay in routers:
            yield routers.pop(relay)
        for router in first_by_score(str(stream), routers, MAX_ROUTERS_ASKED):
            yield routers[router]

    def _end_if_over(self, search: StreamSearch, now: float) -> None:
        """End a search whose answer is known, or that nobody can answer."""
        if search.knows_version or self._is_settled(search, now):
            search.ended.set()

    def _is_settled(self, search: StreamSearch, now: float) -> bool:
        only = self._services.only_version(search.service, now)
        if search.taken_up_at is None or only is None:
            return search.is_answered
        return self.is_shown(search.service, search.taken_up_at, now)

    def _handle_evidence(self, now: float) -> None:
        """Go on with what has waited for an answer of the store."""
        answered_until = self._directory.belief.answered_until
        waiting = []
        for pull, since in self._owed:
            if answered_until >= since:
                self._send_answer(pull, since, now)
            else:
                waiting.append((pull, since))
        self._owed = waiting
        for search in self._searches:
            self._end_if_over(search, now)

    def _send_answer(
        self, pull: StreamPull, asked_at: float, now: float
    ) -> None:
        """Send what is known, and its age when the question came."""
        peer = self._peers.peer(pull.sender)
        if peer is None:
            return
        age = max(asked_at - self._directory.belief.answered_until, 0)
        push = StreamPush(
            self._peers.own.sender,
            pull.stream,
            pull.service,
            self._versions.version(pull.stream, now),
            self._services.mixed_seconds(pull.service, now),
            self._services.may_confirm(pull.service, now),
            self._directory.store_contact.answer_age(now),
            pull.question,
            self._services.only_version(pull.service, now),
            self._services.remembers(pull.service, now),
            age if math.isfinite(age) else None,
        )
        self._transport.send(peer.hello.peer_address, push)


def _heard_at(push: StreamPush, now: float) -> float | None:
    """Return when the store last answered the sender, if it tells."""
    if push.store_heard_seconds is None:
        return None
    return now - push.store_heard_seconds


def _wait_seconds(search: StreamSearch) -> float:
    if search.taken_up_at is None:
        return MAX_WAIT_SECONDS
    return MAX_STORE_WAIT_SECONDS
