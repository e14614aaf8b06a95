"""Defers the removal of targets shortly after an outage of the store.

Leases may expire while the store is unavailable. Live targets register again
shortly after its return and are kept until then.
"""

import math

__all__ = ('REREGISTRATION_SECONDS', 'DeferredRemovals')

# Live targets register again within this time after an outage of the store.
REREGISTRATION_SECONDS = 2.2


class DeferredRemovals:
    """Deleted keys whose targets are kept, with the end of the grace period."""

    def __init__(self) -> None:
        self._grace_ends_at = -math.inf
        self._keys: dict[str, float] = {}

    def start_grace_period(self, seconds: float, now: float) -> None:
        """Start or extend the grace period for keys that are deleted."""
        self._grace_ends_at = max(self._grace_ends_at, now + seconds)

    def end_grace_period(self, now: float) -> None:
        """End the grace period, also for the keys that are deferred."""
        self._grace_ends_at = min(self._grace_ends_at, now)
        self._keys = {
            key: min(deadline, now) for key, deadline in self._keys.items()
        }

    def is_active(self, now: float) -> bool:
        """Return whether there is a grace period, or a deferred key."""
        return bool(self._keys) or self._grace_ends_at > now

    def remaining_seconds(self, now: float) -> float:
        """Return the rest of the grace period, in seconds."""
        return max(0, self._grace_ends_at - now)

    def defer(self, key: str) -> None:
        """Defer the removal of a key until the grace period ends."""
        self._keys.setdefault(key, self._grace_ends_at)

    def cancel(self, key: str) -> None:
        """Cancel the removal of a key that is registered again."""
        self._keys.pop(key, None)

    def pop_expired(self, now: float) -> list[str]:
        """Remove and return the keys whose grace period has ended."""
        expired = [
            key for key, deadline in self._keys.items() if deadline <= now
        ]
        for key in expired:
            self._keys.pop(key)
        return expired
