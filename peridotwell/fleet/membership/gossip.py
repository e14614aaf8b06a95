"""Exchanges heartbeats, observations and initial state between routers.

Messages are handled one at a time in the order of their arrival. A message
that cannot be decoded is counted and ignored.
"""

from dataclasses import dataclass

import xxhash

from peridotwell.decoding import DECODING_ERRORS
from peridotwell.fleet.lending.credit_exchange import CreditExchange
from peridotwell.fleet.lending.load_tracker import LoadTracker
from peridotwell.fleet.membership.target_membership import (
    TargetMembership,
    decode_listing,
)
from peridotwell.fleet.transport.frames import (
    Frame,
    FrameError,
    Heartbeat,
    Hello,
    Observations,
    StatePull,
    StatePush,
    decode_frame,
)
from peridotwell.fleet.transport.peer_discovery import PeerDiscovery
from peridotwell.fleet.transport.peer_transport import PeerTransport
from peridotwell.fleet.transport.peers import Peers
from peridotwell.logs import log_event
from peridotwell.metrics import Metrics
from peridotwell.policy.crashes.quarantine import Quarantine
from peridotwell.store.configuration import ConfigurationStore

__all__ = ('SharedState', 'Gossip')

# Minimum time between two requests for a peer's state, which are sent when its
# digest has differed from this router's for two heartbeats.
PULL_INTERVAL_SECONDS = 2


@dataclass(frozen=True)
class SharedState:
    """The state that routers exchange."""

    peers: Peers
    membership: TargetMembership
    loads: LoadTracker
    credit: CreditExchange
    quarantine: Quarantine
    configuration_store: ConfigurationStore


class Gossip:
    """Sends this router's state to its peers and applies theirs."""

    def __init__(
        self, state: SharedState, transport: PeerTransport, metrics: Metrics
    ) -> None:
        self.listing = b''
        self.discovery = PeerDiscovery(state.peers, transport)
        self._state = state
        self._transport = transport
        self._metrics = metrics
        self._own = state.peers.own

    def send_heartbeat(self, now: float, *, leaving: bool) -> None:
        """Send a heartbeat to every known router."""
        peers = self._state.peers
        heartbeat = Heartbeat(
            self._own.sender,
            self._state.configuration_store.current.version,
            peers.view_hash(self._own.data_centre, now),
            self._digest(),
            leaving,
            self._state.loads.reported_pools(now),
            self._state.loads.reported_customers(now),
        )
        for peer in peers.known_peers():
            # The hello is repeated until the peer is heard: it may not know
            # this router yet, or the connection was not open.
            if not peers.is_live(peer, now):
                self.discovery.send_hello(peer.hello.peer_address)
            self._transport.send(peer.hello.peer_address, heartbeat)

    def broadcast(self, frame: Frame) -> None:
        """Send a message to every known router."""
        for peer in self._state.peers.known_peers():
            self._transport.send(peer.hello.peer_address, frame)

    def broadcast_configuration(self) -> None:
        """Send the configuration in force to every known router."""
        document = self._state.configuration_store.document
        self.broadcast(StatePush(self._own.sender, document))

    def receive(self, content: bytes, now: float, unix_now: float) -> None:
        """Decode and handle one message.

        `unix_now` is the time in seconds since the epoch.
        """
        try:
            frame = decode_frame(content)
        except FrameError as exc:
            self._metrics.count('peer.garbage')
            log_event('peer.garbage', error=str(exc))
            return
        match frame:
            case Hello():
                self.discovery.answer(frame)
            case Heartbeat():
                self._handle_heartbeat(frame, now)
            case Observations():
                self._apply_observations(frame, unix_now)
            case StatePull():
                self._push_state(frame)
            case StatePush():
                self._apply_state(frame)
            case _:
                self._state.credit.receive(frame, now)

    def _handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        peer = self._state.peers.peer(heartbeat.sender)
        if peer is None:
            self._metrics.count('peer.unknown')
            return
        was_silent = not self._state.peers.is_live(peer, now)
        lacks_observations = (
            heartbeat.state_digest == peer.state_digest
            and heartbeat.state_digest != self._digest()
        )
        self._state.peers.record_heartbeat(heartbeat, now)
        if was_silent:
            log_event('router.live', router=peer.hello.name)
        is_due = now - peer.state_pulled_at >= PULL_INTERVAL_SECONDS
        if self._is_behind(heartbeat) or (lacks_observations and is_due):
            peer.state_pulled_at = now
            self._transport.send(
                peer.hello.peer_address, StatePull(self._own.sender)
            )

    def _digest(self) -> int:
        """Return a hash of the observations that routers must not miss."""
        observations = (
            self._state.membership.digest,
            self._state.quarantine.summary(),
        )
        return xxhash.xxh32_intdigest(repr(observations).encode())

    def _is_behind(self, heartbeat: Heartbeat) -> bool:
        return (
            heartbeat.configuration_version
            > self._state.configuration_store.current.version
            or not self._state.configuration_store.is_loaded
            or not self.listing
        )

    def _apply_observations(
        self, observations: Observations, unix_now: float
    ) -> None:
        for observation in observations.targets:
            self._state.membership.apply_observation(observation)
        self._state.quarantine.merge(observations.crash_records, unix_now)

    def _push_state(self, pull: StatePull) -> None:
        peer = self._state.peers.peer(pull.sender)
        if peer is None or not self._state.configuration_store.is_loaded:
            return
        address = peer.hello.peer_address
        document = self._state.configuration_store.document
        push = StatePush(self._own.sender, document, self.listing)
        self._transport.send(address, push)
        observations = Observations(
            self._own.sender,
            self._state.membership.observations(),
            self._state.quarantine.records(),
        )
        self._transport.send(address, observations)

    def _apply_state(self, push: StatePush) -> None:
        try:
            self._state.configuration_store.apply(push.configuration)
            if push.listing and not self.listing:
                listed = decode_listing(push.listing)
                self._state.membership.apply_listing(listed)
                self.listing = push.listing
        except DECODING_ERRORS:
            self._metrics.count('peer.garbage')
