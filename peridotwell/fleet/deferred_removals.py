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
        self._grace_ends_at = -math.inf
        self._keys: dict[str, float] = {}

    def start_grace_period(self, seconds: float, now: float) -> None:
        """Doubt for a time what vanishes."""
        self._grace_ends_at = max(self._grace_ends_at, now + seconds)

    def remaining_seconds(self, now: float) -> float:
        """Return the time for which what vanishes is doubted."""
        return max(0, self._grace_ends_at - now)

    def defer(self, key: str) -> None:
        """Keep a key until the time is up."""
        self._keys.setdefault(key, self._grace_ends_at)

    def cancel(self, key: str) -> None:
        """Book that a key is there again."""
        self._keys.pop(key, None)

    def pop_expired(self, now: float) -> list[str]:
        """Return the keys whose time is up, once."""
        expired = [
            key for key, deadline in self._keys.items() if deadline <= now
        ]
        for key in expired:
            self._keys.pop(key)
        return expired
