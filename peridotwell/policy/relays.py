"""Choice of the relays of a large fleet.

If every router sends updates to every other, the work of each router grows
with the fleet. Above `DIRECT_ROUTERS`, the routers of a data centre send
their updates to one of them, the relay, which forwards them in batches. There
is no election: all routers share one order of preference, and each uses the
first relay that responds.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from peridotwell.policy.rendezvous import rendezvous_score

__all__ = ('GroupMember', 'RelayMonitor', 'needs_relays', 'make_relay_groups')

# Largest fleet in which routers send updates to each other directly, which is
# faster.
DIRECT_ROUTERS = 16
# Largest number of routers that share a relay. The relay sends each batch for
# its group once to each of them.
GROUP_ROUTERS = 32
# A relay counts as unresponsive after this time without a batch. A working
# relay sends several batches in this time.
SILENT_SECONDS = 0.5
# An unresponsive relay is tried again after this time.
RETRY_RELAY_SECONDS = 3.0
# Number of relays that get the updates while none has responded.
MAX_CONCURRENT_RELAYS = 2


@dataclass(frozen=True)
class GroupMember:
    """The wire id of a router and its data centre."""

    router: int
    data_centre: str


def needs_relays(routers: int) -> bool:
    """Return whether a fleet of this many routers uses relays."""
    return routers > DIRECT_ROUTERS


def make_relay_groups(members: Iterable[GroupMember]) -> list[tuple[int, ...]]:
    """Return the groups of routers that share a relay.

    The routers of a group are in one data centre and are sorted by preference
    as relay. Routers that know the same members get the same groups.
    """
    by_data_centre: dict[str, list[int]] = defaultdict(list)
    for member in members:
        by_data_centre[member.data_centre].append(member.router)
    groups: list[tuple[int, ...]] = []
    for name in sorted(by_data_centre):
        routers = sorted(by_data_centre[name], key=_preference)
        count = -(-len(routers) // GROUP_ROUTERS)
        groups.extend(tuple(routers[first::count]) for first in range(count))
    return groups


class RelayMonitor:
    """The responsiveness of relays as one router sees it."""

    def __init__(self) -> None:
        self._received_at: dict[int, float] = {}
        self._sent_at: dict[int, float] = {}
        self._skipped_until: dict[int, float] = {}

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
        sent_at = self._sent_at.get(relay)
        if sent_at is not None and now - sent_at > SILENT_SECONDS:
            self._sent_at.pop(relay)
            self._skipped_until[relay] = now + RETRY_RELAY_SECONDS
        return self._skipped_until.get(relay, now) > now


def _preference(router: int) -> int:
    return rendezvous_score('relay', str(router))
