"""Static shares of a number among routers, without messages.

All routers that know the same routers rank them alike for each target, by
rendezvous hashing. A share depends on the rank alone, so the shares of all
routers add up to the whole, also while some are cut off or stand still.
"""

from collections.abc import Collection

from peridotwell.policy.placement.rendezvous import rendezvous_score

__all__ = ('RouterRanks', 'share')

MAX_TARGETS = 4096


def share(total: int, members: int, rank: int) -> int:
    """Return the part of `total` of the member with this rank, from 0 on."""
    each, rest = divmod(total, members)
    return each + (rank < rest)


class RouterRanks:
    """The rank of this router, `own`, among all known ones, by target."""

    def __init__(self, own: int) -> None:
        self._own = own
        self._routers = frozenset((own,))
        self._ranks: dict[int, int] = {}

    @property
    def count(self) -> int:
        """The number of routers, this one included."""
        return len(self._routers)

    def set_routers(self, others: Collection[int]) -> None:
        """Set the other routers that are known."""
        routers = frozenset((self._own, *others))
        if routers != self._routers:
            self._routers = routers
            self._ranks.clear()

    def rank(self, target_id: int) -> int:
        """Return the rank of this router for a target, from 0 on."""
        rank = self._ranks.get(target_id)
        if rank is None:
            own_score = self._score(target_id, self._own)
            rank = sum(
                self._score(target_id, router) > own_score
                for router in self._routers
            )
            if len(self._ranks) >= MAX_TARGETS:
                self._ranks.clear()
            self._ranks[target_id] = rank
        return rank

    def _score(self, target_id: int, router: int) -> int:
        return rendezvous_score(str(target_id), str(router))
