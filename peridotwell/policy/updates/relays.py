"""Choice of the relays of a large fleet.

If every router sends updates to every other, the work of each router grows
with the fleet. Above `DIRECT_ROUTERS`, the routers of a data centre send
their updates to one of them, the relay, which forwards them in batches. There
is no election: all routers share one order of preference, and each uses the
first relay that responds. Routers with faster links come first. A relay sends
every update to each router of its group, so groups are only as large as the
link of their relay can serve.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from peridotwell.policy.placement.rendezvous import rendezvous_score

__all__ = ('GroupMember', 'RelayMonitor', 'needs_relays', 'make_relay_groups')

# Largest fleet in which routers send updates to each other directly, which is
# faster.
DIRECT_ROUTERS = 16
# Largest number of routers that share a relay. The relay sends each batch for
# its group once to each of them.
GROUP_ROUTERS = 32
# Share of its link that a relay may use for its group; callers and targets use
# the rest.
RELAY_LINK_SHARE = 0.5
# What a relay sends to each router of its group in a busy fleet.
MEMBER_BYTES_PER_SECOND = 60_000
# A relay counts as unresponsive after this time without a batch. A working
# relay sends several batches in this time.
SILENT_SECONDS = 0.5
# An unresponsive relay is tried again after this time.
RETRY_RELAY_SECONDS = 3.0
# A relay is not used for this time if what it sends is late.
AVOID_LATE_RELAY_SECONDS = 10.0
# Number of relays that get the updates while none has responded.
MAX_CONCURRENT_RELAYS = 2


@dataclass(frozen=True)
class GroupMember:
    """A router that may be a relay.

    `router` is its wire id, `link_bytes_per_second` the rate of its link, 0
    if that is unknown.
    """

    router: int
    data_centre: str
    link_bytes_per_second: int = 0

    @property
    def max_group_routers(self) -> int:
        """The largest group, including this router, that it can serve."""
        if not self.link_bytes_per_second:
            return GROUP_ROUTERS
        usable = self.link_bytes_per_second * RELAY_LINK_SHARE
        served = int(usable / MEMBER_BYTES_PER_SECOND)
        return min(max(served, 1) + 1, GROUP_ROUTERS)


def needs_relays(routers: int) -> bool:
    """Return whether a fleet of this many routers uses relays."""
    return routers > DIRECT_ROUTERS


def make_relay_groups(members: Iterable[GroupMember]) -> list[tuple[int, ...]]:
    """Return the groups of routers that share a relay.

    The routers of a group are in one data centre and are sorted by preference
    as relay. Routers that know the same members get the same groups.
    """
    by_data_centre: dict[str, list[GroupMember]] = defaultdict(list)
    for member in members:
        by_data_centre[member.data_centre].append(member)
    groups: list[tuple[int, ...]] = []
    for name in sorted(by_data_centre):
        ordered = sorted(by_data_centre[name], key=_preference)
        count = _group_count(ordered)
        routers = [member.router for member in ordered]
        groups.extend(tuple(routers[first::count]) for first in range(count))
    return groups


def _group_count(ordered: Sequence[GroupMember]) -> int:
    """Return the smallest number of groups that their relays can serve.

    Each group is led by one of the first routers in the order of preference.
    """
    for count, slowest_relay in enumerate(ordered, 1):
        largest_group = -(-len(ordered) // count)
        if largest_group <= slowest_relay.max_group_routers:
            return count
    return len(ordered)


class RelayMonitor:
    """The responsiveness of relays as one router sees it."""

    def __init__(self) -> None:
        self._received_at: dict[int, float] = {}
        self._sent_at: dict[int, float] = {}
        self._skipped_until: dict[int, float] = {}
        self._avoided_relay: int | None = None
        self._avoided_until = -math.inf

    def record_sent(self, relay: int, now: float) -> None:
        """Record a batch sent to a relay.

        Keeps the time of the first batch sent since the relay last responded.
        """
        self._sent_at.setdefault(relay, now)

    def record_received(self, relay: int, now: float) -> None:
        """Record a batch that was received from a relay."""
        self._received_at[relay] = now
        self._sent_at.pop(relay, None)
        self._skipped_until.pop(relay, None)

    def avoid(self, relay: int, now: float) -> bool:
        """Do not choose a late relay for some time, even if it responds.

        Returns False if another relay is avoided: if two are late, this
        router or its link is the cause.
        """
        if self._avoided_until > now:
            return False
        self._avoided_relay = relay
        self._avoided_until = now + AVOID_LATE_RELAY_SECONDS
        return True

    def is_responsive(self, relay: int, now: float) -> bool:
        """Return whether a batch from a relay was received recently."""
        received_at = self._received_at.get(relay)
        return received_at is not None and now - received_at <= SILENT_SECONDS

    def choose_relays(
        self,
        group: Sequence[int],
        own: int,
        now: float,
    ) -> tuple[int, ...]:
        """Return the relays of a group to send to, the preferred one first.

        The result is empty if the router `own` is the relay itself.
        """
        chosen: list[int] = []
        for router in group:
            if router == own or len(chosen) == MAX_CONCURRENT_RELAYS:
                break
            if self._is_skipped(router, now):
                continue
            chosen.append(router)
            if self.is_responsive(router, now):
                break
        return tuple(chosen)

    def _is_skipped(self, relay: int, now: float) -> bool:
        if relay == self._avoided_relay and self._avoided_until > now:
            return True
        sent_at = self._sent_at.get(relay)
        if sent_at is not None and now - sent_at > SILENT_SECONDS:
            self._sent_at.pop(relay)
            self._skipped_until[relay] = now + RETRY_RELAY_SECONDS
        return self._skipped_until.get(relay, now) > now


def _preference(member: GroupMember) -> tuple[int, int]:
    return (
        -member.max_group_routers,
        rendezvous_score('relay', str(member.router)),
    )
