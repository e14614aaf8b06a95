"""Sums of the counts that the other routers report for each target."""

from collections import Counter
from collections.abc import Iterable, Mapping

__all__ = ('PeerCounts',)


class PeerCounts:
    """Counts of other routers by target id, with their sums."""

    def __init__(self) -> None:
        self._by_router: dict[int, dict[int, int]] = {}
        self._sums: Counter[int] = Counter()

    def update(self, router: int, counts: Mapping[int, int]) -> None:
        """Replace the counts of a router for the targets in `counts`."""
        known = self._by_router.setdefault(router, {})
        for target, count in counts.items():
            self._sums[target] += count - known.get(target, 0)
            known[target] = count

    def remove_router(self, router: int) -> None:
        """Remove the counts of a router."""
        for target, count in self._by_router.pop(router, {}).items():
            self._sums[target] -= count

    def routers(self) -> frozenset[int]:
        """Return the routers whose counts are included."""
        return frozenset(self._by_router)

    def outstanding(self, target: int) -> int:
        """Return the sum of the other routers' counts for a target id."""
        return self._sums.get(target, 0)

    def outstanding_of(self, targets: Iterable[int]) -> list[int]:
        """Return the sums of the other routers' counts for target ids."""
        sums = self._sums
        return [sums.get(target, 0) for target in targets]
