"""This router's counts by target, and which have changed since last told."""

from collections import Counter

__all__ = ('OwnCounts',)

Pairs = tuple[tuple[int, int], ...]


class OwnCounts:
    """Counts by the wire ids of targets."""

    def __init__(self) -> None:
        self._counts: Counter[int] = Counter()
        self._changed: set[int] = set()

    @property
    def has_changed(self) -> bool:
        """Whether there is something to tell."""
        return bool(self._changed)

    def add(self, target: int, amount: int) -> None:
        """Change a target's count."""
        self._counts[target] += amount
        self._changed.add(target)

    def count(self, target: int) -> int:
        """Return a target's count."""
        return self._counts[target]

    def take_counts(self, *, everything: bool) -> Pairs:
        """Return the counts to tell, all or those that have changed."""
        named = self._counts.keys() if everything else self._changed
        pairs = tuple((target, self._counts[target]) for target in named)
        self._counts = +self._counts
        self._changed.clear()
        return pairs
