"""Which targets were listed at all, and when some may have been missed.

The store's change feed tells each target that registers, also one that has left
again since. What a peer or a snapshot tells leaves those out.
"""

from collections.abc import Callable

from peridotwell.domain.target import Target

__all__ = ('TargetSightings',)

# In a longer time without news, a target may register, serve and leave.
MAX_GAP_SECONDS = 1.0


class TargetSightings:
    """The targets that were listed since they were last taken."""

    def __init__(self) -> None:
        self._seen: list[Target] = []
        self._listeners: list[Callable[[], None]] = []

    def on_gap(self, listener: Callable[[], None]) -> None:
        """Call `listener` when targets may have come and gone unseen."""
        self._listeners.append(listener)

    def record(self, target: Target) -> None:
        """Record a target that is listed."""
        self._seen.append(target)

    def record_listing(self, news_age_seconds: float) -> None:
        """Record that a listing comes so long after the last news."""
        if news_age_seconds > MAX_GAP_SECONDS:
            for listener in self._listeners:
                listener()

    def take(self) -> tuple[Target, ...]:
        """Return the targets, including those that have been removed."""
        seen = tuple(self._seen)
        self._seen.clear()
        return seen
