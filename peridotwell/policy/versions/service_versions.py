"""Which software versions of each service have served lately.

Pattern: version affinity during a rolling upgrade. Versions are identified by
their wire ids. A version counts for as long after its last target has left as
streams that began there may be resumed.
"""

import math
from collections.abc import Iterable, Mapping

from peridotwell.policy.versions.stream_versions import (
    MEMORY_SECONDS,
    Provenance,
)

__all__ = ('ServiceVersions',)

# In less time, no version comes and goes.
MAX_UNSEEN_SECONDS = 1.0
# A source of evidence besides other routers, which are named.
STORE_RECORD = 'store_record'


class ServiceVersions:
    """Remembers the versions that have served lately, by service.

    Shortly after the start, the versions that have left before are unknown. A
    service counts as confirmed when this router has learned them from a record
    or from a peer, or has followed the service for as long as streams last.
    """

    def __init__(self) -> None:
        self._serving: dict[str, frozenset[int]] = {}
        # All versions of mixed services, also those that have left.
        self._mixed: dict[str, frozenset[int]] = {}
        self._mixed_until: dict[str, float] = {}
        # Until then, versions that only other routers know may matter.
        self._unknown_until: dict[str, float] = {}
        self._confirmed: dict[str, Provenance] = {}
        self._nothing_served = False
        # From then on this router has followed all services for long enough.
        self._complete_at = math.inf
        # Until then, versions may have come and gone unseen.
        self._unseen_until = -math.inf
        # From then on it has been up for as long as streams last; before, it
        # remembers only services whose earlier versions it was told.
        self._remembers_from = math.inf
        self._remembered: set[str] = set()

    def record_earlier(
        self, versions: Mapping[str, frozenset[int]], now: float = 0
    ) -> None:
        """Record, by service, the versions that served before the start."""
        self._serving.update(versions)
        for service in versions:
            self._confirmed[service] = Provenance(STORE_RECORD, now)
            self._remembered.add(service)

    def record_nothing_earlier(self) -> None:
        """Record that nothing has served before all routers started."""
        self._nothing_served = True
        self._remembers_from = -math.inf

    def record_gap(self, now: float) -> None:
        """Record that versions may have come and gone unseen until `now`."""
        self._confirmed.clear()
        self._nothing_served = False
        self._complete_at = now + MEMORY_SECONDS
        self._unseen_until = now

    def set_serving(
        self, versions: Mapping[str, frozenset[int]], now: float
    ) -> bool:
        """Set the versions that serve, by service.

        Returns whether a service has just got several versions.
        """
        if self._complete_at == math.inf:
            self._complete_at = now + MEMORY_SECONDS
            self._unseen_until = now
        if self._remembers_from == math.inf:
            self._remembers_from = now + MEMORY_SECONDS
        has_become_mixed = self.record_seen(versions, now)
        # A service without targets keeps its last versions.
        self._serving.update(versions)
        return has_become_mixed

    def record_seen(
        self, versions: Mapping[str, frozenset[int]], now: float
    ) -> bool:
        """Record versions of targets, which may have left again since.

        Returns whether a service has just got several versions.
        """
        has_become_mixed = False
        for service, seen in versions.items():
            served = self._serving.setdefault(service, seen) | seen
            if len(served) > 1:
                was_mixed = self.is_mixed(service, now)
                has_become_mixed |= not was_mixed
                earlier = self._mixed.get(service) if was_mixed else None
                self._mixed[service] = served | (earlier or frozenset())
                self._mixed_until[service] = now + MEMORY_SECONDS
        return has_become_mixed

    def only_version(self, service: str, now: float) -> int | None:
        """Return the version of a service if it is the only one lately.

        Returns None if there are several, or none is known.
        """
        serving = self._serving.get(service, frozenset())
        if self.is_mixed(service, now) or not serving:
            return None
        return next(iter(serving))

    def recent_versions(
        self, services: Iterable[str], now: float
    ) -> dict[str, frozenset[int]]:
        """Return the versions whose streams may be resumed, by service.

        Services of which not all are known are left out.
        """
        recent = {}
        for service in services:
            if self._unknown_until.get(service, now) > now:
                continue
            versions = self._serving.get(service, frozenset())
            if self.is_mixed(service, now):
                versions |= self._mixed.get(service, frozenset())
            if versions:
                recent[service] = versions
        return recent

    def is_mixed(self, service: str, now: float) -> bool:
        """Return whether streams of several versions may be resumed."""
        return self.mixed_seconds(service, now) > 0

    def mixed_seconds(self, service: str, now: float) -> float:
        """Return for how long streams of several versions may be resumed."""
        if len(self._serving.get(service, ())) > 1:
            return MEMORY_SECONDS
        return max(self._mixed_until.get(service, 0) - now, 0)

    def record_confirmation(
        self,
        service: str,
        evidence: Provenance,
        known_until: float | None = None,
    ) -> None:
        """Record that another router has told all versions of a service.

        It knows them up to `known_until`, by default that of the evidence. One
        that may have missed the same as this router confirms nothing.
        """
        if known_until is None:
            known_until = evidence.learned_at
        if known_until + MAX_UNSEEN_SECONDS < self._unseen_until:
            return
        self._confirmed[service] = evidence
        self._remembered.add(service)

    def record_mixed(
        self, service: str, mixed_seconds: float, now: float
    ) -> None:
        """Record for how long streams of several versions may be resumed."""
        if not mixed_seconds > 0:
            return
        until = now + min(mixed_seconds, MEMORY_SECONDS)
        if not self.is_mixed(service, now):
            self._unknown_until[service] = until
        known = self._mixed_until.get(service, until)
        self._mixed_until[service] = max(until, known)

    def is_confirmed(self, service: str, now: float) -> bool:
        """Return whether all versions that have served lately are known."""
        return now >= self._complete_at or service in self._confirmed

    def may_confirm(self, service: str, now: float) -> bool:
        """Return whether this router may tell others all versions.

        It may after the first start of all routers: it knows all since then.
        """
        return self._nothing_served or self.is_confirmed(service, now)

    def remembers(self, service: str, now: float) -> bool:
        """Return whether this router knows all versions that it has seen.

        That is also those of its process before, if it has just started.
        """
        return service in self._remembered or now >= self._remembers_from
