"""When this router last had data from each target.

Data show that the path to a target is whole; its absence shows nothing.
"""

import math
from collections.abc import Iterable

__all__ = ('ContactTimes',)

# Time without data after which the path to a target is not known to be whole.
RECENT_SECONDS = 0.2


class ContactTimes:
    """The time of the last data from each target, by name."""

    def __init__(self) -> None:
        self._heard_at: dict[str, float] = {}

    def record(self, name: str, now: float) -> None:
        """Record data from a target."""
        self._heard_at[name] = now

    def is_recent(self, name: str, now: float) -> bool:
        """Return whether data came from a target a moment ago."""
        return now - self._heard_at.get(name, -math.inf) <= RECENT_SECONDS

    def is_old(self, name: str, now: float) -> bool:
        """Return whether data came from a target, but not lately."""
        return name in self._heard_at and not self.is_recent(name, now)

    def keep_only(self, names: Iterable[str]) -> None:
        """Remove the times of targets that are not in `names`."""
        kept = set(names)
        self._heard_at = {
            name: heard_at
            for name, heard_at in self._heard_at.items()
            if name in kept
        }
