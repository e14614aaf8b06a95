"""Which routers relay for the others of a large fleet.

Updates from every router to every other cost each of them work that grows
with the fleet. Above a size, the routers of a data centre send theirs to one
of them instead, the relay, which passes them on in bundles. Nobody appoints
it: all routers share one order of preference, and each takes the first one
that answers.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from peridotwell.policy.rendezvous import rendezvous_score

__all__ = ('GroupMember', 'RelayMonitor', 'needs_relays', 'make_relay_groups')

# Up to this size every router tells every other itself, which is faster.
DIRECT_ROUTERS = 16
# A relay sends each bundle so often.
GROUP_ROUTERS = 32
# A relay sends several bundles in this time.
SILENT_SECONDS = 0.5
# A relay that does not answer is tried again after this time.
DOUBT_SECONDS = 3.0
# While none has answered, so many are tried at once.
TRIED_RELAYS = 2


@dataclass(frozen=True)
class GroupMember:
    """A router by its wire id, with where it stands."""

    router: int
    data_centre: str


def needs_relays(routers: int) -> bool:
    """Whether a fleet of so many routers needs relays."""
    return routers > DIRECT_ROUTERS


def make_relay_groups(members: Iterable[GroupMember]) -> list[tuple[int, ...]]:
    """Return the routers that share a relay, in their order of preference.

    A group stands in one data centre. Routers that know the same members
    make the same groups.
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
    """Which relays answer, as seen by one router."""

    def __init__(self) -> None:
        self._heard: dict[int, float] = {}
        self._asked: dict[int, float] = {}
        self._doubted: dict[int, float] = {}

    def record_sent(self, relay: int, now: float) -> None:
        """Book a bundle sent to a relay; the first unanswered one counts."""
        self._asked.setdefault(relay, now)

    def record_received(self, relay: int, now: float) -> None:
        """Book a bundle that came from a relay."""
        self._heard[relay] = now
        self._asked.pop(relay, None)
        self._doubted.pop(relay, None)

    def is_responsive(self, relay: int, now: float) -> bool:
        """Whether a relay was heard just now."""
        heard_at = self._heard.get(relay)
        return heard_at is not None and now - heard_at <= SILENT_SECONDS

    def choose_relays(
        self,
        group: Sequence[int],
        own: int,
        now: float,
    ) -> tuple[int, ...]:
        """Return the relays of a group to send to, the preferred one first.

        Empty for the router `own` if it is the relay itself.
        """
        chosen: list[int] = []
        for router in group:
            if router == own or len(chosen) == TRIED_RELAYS:
                break
            if self._is_doubted(router, now):
                continue
            chosen.append(router)
            if self.is_responsive(router, now):
                break
        return tuple(chosen)

    def _is_doubted(self, relay: int, now: float) -> bool:
        asked_at = self._asked.get(relay)
        if asked_at is not None and now - asked_at > SILENT_SECONDS:
            self._asked.pop(relay)
            self._doubted[relay] = now + DOUBT_SECONDS
        return self._doubted.get(relay, now) > now


def _preference(router: int) -> int:
    return rendezvous_score('relay', str(router))
