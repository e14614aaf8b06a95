"""Tracks the other routers: which are live, and which lend credits."""

import math
from collections.abc import Iterable, Set
from dataclasses import dataclass, field

import msgspec
import xxhash

from peridotwell.domain.store_order import NO_ORDER, StoreOrder
from peridotwell.domain.target import Pool, Target, wire_id
from peridotwell.fleet.transport.frames import Heartbeat, Hello, RouterUpdate
from peridotwell.policy.placement.rendezvous import rendezvous_score

__all__ = ('Peer', 'Peers', 'choose_lender', 'choose_peer', 'make_hello')

VIEW_MASK = 0xFFFFFFFF
# Upper bound of one router's updates that relays hold at a time.
MAX_UPDATES_IN_TRANSIT = 1000


@dataclass
class Peer:
    """Another router and the state that it last reported.

    `version` is its configuration version. A forwarding router tells instead
    the order up to which it knows the store, and, as `table_version`, the
    number of the configuration in force, 0 if it is not known.
    """

    hello: Hello
    last_received_at: float = -1
    version: int = 0
    known_revision: StoreOrder = NO_ORDER
    view_hash: int = 0
    view_changed_at: float = -1
    state_digest: int = 0
    state_pulled_at: float = -math.inf
    is_leaving: bool = False
    last_sequence: int | None = None
    pool_requests: dict[int, int] = field(default_factory=dict)
    customer_requests: dict[int, int] = field(default_factory=dict)
    unreachable_targets: frozenset[int] = frozenset()
    table_version: int = 0

    @property
    def wire_id(self) -> int:
        """The number that identifies this router in messages."""
        return self.hello.sender

    def is_stale_update(self, sequence: int) -> bool:
        """Return whether an update is not newer than the last one.

        A much lower number comes from a restart with a different clock and
        counts as newer.
        """
        return (
            self.last_sequence is not None
            and self.last_sequence - MAX_UPDATES_IN_TRANSIT
            < sequence
            <= self.last_sequence
        )

    def total_requests(self) -> int:
        """Return the router's number of outstanding requests for all pools."""
        return sum(self.pool_requests.values())


class Peers:
    """All known routers; `own` is this router."""

    def __init__(self, own: Hello, dead_after_seconds: float) -> None:
        self.own = own
        self.own_is_leaving = False
        self.dead_after_seconds = dead_after_seconds
        # Counts the routers that were added, restarted or removed, and those
        # that began or ceased to leave.
        self.membership_changes = 0
        self._peers: dict[int, Peer] = {}
        # When the routers that may be live were heard, the longest silent
        # one first.
        self._heard_at: dict[int, float] = {}

    def add(self, hello: Hello) -> bool:
        """Add a router; return whether it is new or has restarted."""
        if hello.sender == self.own.sender:
            return False
        known = self._peers.get(hello.sender)
        if known and known.hello.incarnation >= hello.incarnation:
            return False
        # A hello that is forwarded to others must not request replies.
        plain = msgspec.structs.replace(hello, wants_reply=False)
        self._peers[hello.sender] = Peer(plain)
        self._heard_at.pop(hello.sender, None)
        self.membership_changes += 1
        return True

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record a heartbeat; return False if its sender is unknown."""
        peer = self._peers.get(heartbeat.sender)
        if peer is None:
            return False
        self._record_received(peer, now, is_leaving=heartbeat.is_leaving)
        peer.version = heartbeat.configuration_version
        if peer.view_hash != heartbeat.view_hash:
            peer.view_hash = heartbeat.view_hash
            peer.view_changed_at = now
        peer.state_digest = heartbeat.state_digest
        peer.pool_requests.update(heartbeat.pool_requests)
        peer.customer_requests = dict(heartbeat.customer_requests)
        return True

    def record_update(self, update: RouterUpdate, now: float) -> bool:
        """Record an update; return False if it is stale or its sender unknown.

        An update may arrive twice, forwarded by different relays.
        """
        peer = self._peers.get(update.sender)
        if peer is None or peer.is_stale_update(update.sequence):
            return False
        peer.last_sequence = update.sequence
        self._record_received(peer, now, is_leaving=update.is_leaving)
        peer.known_revision = update.revision
        peer.table_version = update.table_version
        if update.unreachable_targets is not None:
            peer.unreachable_targets = frozenset(update.unreachable_targets)
        return True

    def peer(self, sender: int) -> Peer | None:
        """Return a known router."""
        return self._peers.get(sender)

    def name(self, sender: int) -> str:
        """Return the name of a known router, else its wire id as text."""
        peer = self.peer(sender)
        return peer.hello.name if peer else str(sender)

    def known_count(self) -> int:
        """Return the number of known routers, this one included."""
        return len(self._peers) + 1

    def known_peers(self) -> tuple[Peer, ...]:
        """Return every known router but this one."""
        return tuple(self._peers.values())

    def remove(self, sender: int) -> None:
        """Remove a router."""
        if self._peers.pop(sender, None) is not None:
            self.membership_changes += 1
        self._heard_at.pop(sender, None)

    def is_live(self, peer: Peer, now: float) -> bool:
        """Return whether the router is live.

        It is if it has sent a heartbeat or an update within
        `dead_after_seconds`.
        """
        return (
            peer.last_received_at >= 0
            and now - peer.last_received_at <= self.dead_after_seconds
        )

    def live_peers(self, now: float) -> tuple[Peer, ...]:
        """Return the other routers that are live."""
        return tuple(
            peer for peer in self._peers.values() if self.is_live(peer, now)
        )

    def live_ids(self, now: float) -> Set[int]:
        """Return the wire ids of the other routers that are live.

        Costs by what has changed, not by the routers. `now` may not go back.
        """
        while self._heard_at:
            longest_silent = next(iter(self._heard_at))
            silence = now - self._heard_at[longest_silent]
            if silence <= self.dead_after_seconds:
                break
            self._heard_at.pop(longest_silent)
        return self._heard_at.keys()

    def lenders(self, data_centre: str, now: float) -> dict[int, Hello]:
        """Return the routers that may lend in a data centre, by wire id.

        Routers that are leaving lend only when there are no others.
        """
        live = [
            (peer.hello, peer.is_leaving)
            for peer in self._peers.values()
            if peer.hello.data_centre == data_centre and self.is_live(peer, now)
        ]
        if self.own.data_centre == data_centre:
            live.append((self.own, self.own_is_leaving))
        staying = [hello for hello, leaving in live if not leaving]
        chosen = staying or [hello for hello, _ in live]
        return {hello.sender: hello for hello in chosen}

    def view_hash(self, data_centre: str, now: float) -> int:
        """Return a hash of a data centre's lenders, as seen by this router."""
        lenders = self.lenders(data_centre, now).values()
        identity = sorted(
            (hello.sender, hello.incarnation) for hello in lenders
        )
        return xxhash.xxh3_64_intdigest(repr(identity).encode()) & VIEW_MASK

    def live_identities(self, now: float) -> frozenset[tuple[int, int, bool]]:
        """Return (wire id, incarnation, is leaving) of each live router.

        These determine the lenders.
        """
        return frozenset(
            (peer.wire_id, peer.hello.incarnation, peer.is_leaving)
            for peer in self.live_peers(now)
        )

    def pool_requests(self, pool: Pool, now: float) -> int:
        """Return the outstanding requests of the other routers for a pool."""
        pool_id = pool.wire_id
        return sum(
            peer.pool_requests.get(pool_id, 0) for peer in self.live_peers(now)
        )

    def _record_received(
        self, peer: Peer, now: float, *, is_leaving: bool
    ) -> None:
        peer.last_received_at = now
        if peer.is_leaving != is_leaving:
            peer.is_leaving = is_leaving
            self.membership_changes += 1
        self._heard_at.pop(peer.wire_id, None)
        self._heard_at[peer.wire_id] = now


def choose_lender(target: Target, lenders: Iterable[int]) -> int | None:
    """Return the lender of a target by rendezvous hashing, or None."""
    return max(
        lenders,
        key=lambda router: rendezvous_score(str(router), target.name),
        default=None,
    )


def choose_peer(own: int, peers: Iterable[Peer]) -> Peer | None:
    """Choose a peer by rendezvous hashing, or return None.

    Different routers choose different peers.
    """
    return max(
        peers,
        key=lambda peer: rendezvous_score(str(own), str(peer.wire_id)),
        default=None,
    )


def make_hello(
    name: str,
    data_centre: str,
    peer_address: str,
    operator_address: str,
    incarnation: int,
    link_bytes_per_second: int = 0,
    handover_address: str = '',
) -> Hello:
    """Return the message with a router's identity and addresses."""
    return Hello(
        sender=wire_id(name),
        name=name,
        data_centre=data_centre,
        peer_address=peer_address,
        operator_address=operator_address,
        incarnation=incarnation,
        link_bytes_per_second=link_bytes_per_second,
        handover_address=handover_address,
        takes_large_changes=True,
    )
