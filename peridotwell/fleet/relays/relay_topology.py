"""The relays of a large fleet as one router sees them.

Routers of a data centre form groups. Each router knows the groups, which relay
it uses, which routers have chosen it as theirs, and which routers are the
relays of the other groups.
"""

import math
from dataclasses import dataclass

from peridotwell.domain.store_order import StoreOrder
from peridotwell.fleet.transport.frames import Hello, UpdateBatch
from peridotwell.fleet.transport.peers import Peers
from peridotwell.logs import log_event
from peridotwell.policy.updates.relays import (
    GroupMember,
    RelayMonitor,
    make_relay_groups,
)
from peridotwell.policy.updates.update_delay import UpdateDelay

__all__ = ('BatchSource', 'RelayTopology')

# Routers that have sent this router a batch within this time receive batches
# from it.
RECENT_SECONDS = 2.0
# Minimum time between two computations of the groups. A router that joins or
# leaves may change the groups this much later.
REGROUP_SECONDS = 0.5
# A relay is left if own updates take longer to return from it.
MAX_UPDATE_DELAY_SECONDS = 1.0


@dataclass
class BatchSource:
    """A router that has sent a batch: a member, or another group's relay."""

    received_at: float
    follows_store: bool
    revision: StoreOrder


class RelayTopology:
    """The groups, and the routers that send batches to this router."""

    def __init__(self, peers: Peers) -> None:
        # The relay of this router; None if it is a relay itself.
        self.relay: int | None = None
        # The time that own updates take to return from the relay.
        self.update_delay = UpdateDelay()
        self._peers = peers
        self._own = peers.own.sender
        self._monitor = RelayMonitor()
        self._sources: dict[int, BatchSource] = {}
        self._group: tuple[int, ...] = (self._own,)
        self._other_groups: list[tuple[int, ...]] = []
        self._grouped_at = -math.inf
        # The value of `Peers.membership_changes` for which the groups hold.
        self._grouped_changes: int | None = None

    def record_received(self, batch: UpdateBatch, now: float) -> None:
        """Record a batch from a member or from a relay."""
        self._monitor.record_received(batch.sender, now)
        self._sources[batch.sender] = BatchSource(
            now, batch.follows_store, batch.revision
        )

    def record_sent(self, relay: int, now: float) -> None:
        """Record a batch sent to a relay."""
        self._monitor.record_sent(relay, now)

    def responsive_relay(self, now: float) -> BatchSource | None:
        """Return the last batch of this router's relay.

        Returns None without a relay, and if the relay does not respond.
        """
        if self.relay is None:
            return None
        if not self._monitor.is_responsive(self.relay, now):
            return None
        return self._sources.get(self.relay)

    def members(self, now: float) -> list[int]:
        """Return the routers of this group that have chosen this router."""
        return [
            router
            for router in self._recent_senders(now)
            if self.is_member(router)
        ]

    def is_member(self, router: int) -> bool:
        """Return whether a router may choose this router as its relay.

        It may if it comes later in the order of the group.
        """
        return router in self._group[self._group.index(self._own) :]

    def other_relays(self, now: float) -> set[int]:
        """Return the relays of the other groups."""
        chosen = {
            relay
            for group in self._other_groups
            for relay in self._monitor.choose_relays(group, self._own, now)
        }
        return chosen.union(
            router
            for router in self._recent_senders(now)
            if router not in self._group
        )

    def choose_relays(self, now: float) -> tuple[int, ...]:
        """Return the relays of this router; none if it is a relay itself."""
        if now - self._grouped_at >= REGROUP_SECONDS:
            self._regroup(now)
        self._leave_late_relay(now)
        chosen = self._monitor.choose_relays(self._group, self._own, now)
        relay = chosen[0] if chosen else None
        if relay != self.relay:
            self.relay = relay
            self.update_delay.clear()
            log_event('relay.chosen', router=self._name(relay))
        return chosen

    def _leave_late_relay(self, now: float) -> None:
        """Avoid the relay if what it sends is late.

        Batches that have waited before a slow link arrive all the time, so
        their arrival does not show how old they are.
        """
        delay = self.update_delay.seconds(now)
        if self.relay is None or delay <= MAX_UPDATE_DELAY_SECONDS:
            return
        if self._monitor.avoid(self.relay, now):
            log_event(
                'relay.late',
                router=self._name(self.relay),
                delay_seconds=round(delay, 3),
            )

    def _name(self, router: int | None) -> str:
        peer = self._peers.peer(router or self._own)
        return peer.hello.name if peer else self._peers.own.name

    def _recent_senders(self, now: float) -> list[int]:
        return [
            router
            for router, source in self._sources.items()
            if now - source.received_at <= RECENT_SECONDS
        ]

    def _regroup(self, now: float) -> None:
        self._grouped_at = now
        self._sources = {
            router: self._sources[router]
            for router in self._recent_senders(now)
        }
        if self._grouped_changes != self._peers.membership_changes:
            self._grouped_changes = self._peers.membership_changes
            self._make_groups()

    def _make_groups(self) -> None:
        members = [
            _group_member(peer.hello)
            for peer in self._peers.known_peers()
            if not peer.is_leaving
        ]
        own = _group_member(self._peers.own)
        groups = make_relay_groups((*members, own))
        self._group = next(group for group in groups if self._own in group)
        self._other_groups = [
            group for group in groups if group is not self._group
        ]


def _group_member(hello: Hello) -> GroupMember:
    return GroupMember(
        hello.sender, hello.data_centre, hello.link_bytes_per_second
    )
