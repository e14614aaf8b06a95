"""Defers the removal of targets shortly after an outage of the store.

Leases may expire while the store is unavailable. Live targets register again
shortly after its return and are kept until then. A removal that the store
executes after its return is mostly of a target that has left: it is deferred
for a shorter time, in which a target whose lease had nearly ended registers
again.
"""

import math
from collections.abc import Collection

from peridotwell.domain.store_order import StoreOrder

__all__ = (
    'LATER_REMOVAL_SECONDS',
    'REREGISTRATION_SECONDS',
    'DeferredRemovals',
)

# Live targets register again within this time after an outage of the store.
REREGISTRATION_SECONDS = 2.2
# Longest time that a later removal is deferred: half of the time in which a
# target that has left must be out of use.
LATER_REMOVAL_SECONDS = 1.0


class DeferredRemovals:
    """Deleted keys whose targets are kept, with the end of the grace period."""

    def __init__(self) -> None:
        self._grace_ends_at = -math.inf
        # Removals up to this revision may have fallen into the outage.
        self._outage_revision: float = -math.inf
        self._keys: dict[str, float] = {}
        # Names of targets, by key.
        self._names: dict[str, str] = {}

    def start_grace_period(
        self, seconds: float, now: float, revision: float = math.inf
    ) -> None:
        """Start or extend the grace period for keys that are deleted.

        Removals up to `revision` may have fallen into the outage; those of the
        store's next answer, if that is not known yet.
        """
        if self._grace_ends_at <= now:
            self._outage_revision = -math.inf
        self._grace_ends_at = max(self._grace_ends_at, now + seconds)
        self._outage_revision = max(self._outage_revision, revision)

    def record_answer(self, revision: StoreOrder) -> None:
        """Record that the store has told its removals up to a revision."""
        self._outage_revision = min(self._outage_revision, revision)

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

    def defer(
        self, key: str, revision: StoreOrder, now: float, name: str = ''
    ) -> float:
        """Defer the removal of a key that was deleted at a revision.

        Returns for how many seconds, until the grace period ends at most.
        """
        until = self._grace_ends_at
        if revision > self._outage_revision:
            until = min(until, now + LATER_REMOVAL_SECONDS)
        self._names[key] = name
        return self._keys.setdefault(key, until) - now

    def cancel(self, key: str) -> None:
        """Cancel the removal of a key that is registered again."""
        self._keys.pop(key, None)
        self._names.pop(key, None)

    @property
    def names(self) -> Collection[str]:
        """The names of the targets whose removal is deferred."""
        return self._names.values()

    def pop_expired(self, now: float) -> list[str]:
        """Remove and return the keys whose grace period has ended."""
        expired = [
            key for key, deadline in self._keys.items() if deadline <= now
        ]
        for key in expired:
            self.cancel(key)
        return expired
