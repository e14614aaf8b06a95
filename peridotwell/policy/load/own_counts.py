"""This router's counts by target, and which of them are not sent yet."""

from collections import Counter
from collections.abc import Iterable

__all__ = ('OwnCounts',)

CountPairs = tuple[tuple[int, int], ...]


class OwnCounts:
    """Counts by target id, with the changes since they were last sent."""

    def __init__(self) -> None:
        self._counts: Counter[int] = Counter()
        self._changed: set[int] = set()

    @property
    def has_changed(self) -> bool:
        """Whether a count has changed since the counts were last sent."""
        return bool(self._changed)

    def add(self, target: int, amount: int) -> None:
        """Add `amount` to the count of a target."""
        self._counts[target] += amount
        self._changed.add(target)

    def count(self, target: int) -> int:
        """Return the count of a target."""
        return self._counts.get(target, 0)

    def counts(self, targets: Iterable[int]) -> list[int]:
        """Return the counts of targets."""
        counts = self._counts
        return [counts.get(target, 0) for target in targets]

    def take_counts(self, *, include_unchanged: bool) -> CountPairs:
        """Return the counts to send: all, or those that have changed.

        Marks all counts as sent and removes those that are not positive.
        """
        targets = self._counts.keys() if include_unchanged else self._changed
        pairs = tuple((target, self._counts[target]) for target in targets)
        self._counts = +self._counts
        self._changed.clear()
        return pairs
