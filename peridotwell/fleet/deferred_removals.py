"""Targets that vanished right after an outage of the store.

Leases may lapse while the store is away, and live targets register again
within moments of its return: until then they are kept.
"""

import math

__all__ = ('REREGISTRATION_SECONDS', 'DeferredRemovals')

# Live targets register again within this time after an outage.
REREGISTRATION_SECONDS = 2.2


class DeferredRemovals:
    """The keys that have vanished, with the time until they are kept."""

    def __init__(self) -> None:
        self._until = -math.inf
        self._keys: dict[str, float] = {}

    def start_grace_period(self, seconds: float, now: float) -> None:
        """Doubt for a time what vanishes."""
        self._until = max(self._until, now + seconds)

    def remaining_seconds(self, now: float) -> float:
        """Return the time for which what vanishes is doubted."""
        return max(0, self._until - now)

    def defer(self, key: str) -> None:
        """Keep a key until the time is up."""
        self._keys.setdefault(key, self._until)

    def cancel(self, key: str) -> None:
        """Book that a key is there again."""
        self._keys.pop(key, None)

    def pop_expired(self, now: float) -> list[str]:
        """Return the keys whose time is up, once."""
        over = [key for key, until in self._keys.items() if until <= now]
        for key in over:
            self._keys.pop(key)
        return over
