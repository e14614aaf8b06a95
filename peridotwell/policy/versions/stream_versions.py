"""Which software version began each stream, while several versions serve.

Pattern: version affinity during a rolling upgrade. What two versions of a
target's software write does not fit together, so a stream is resumed only at
the version that began it.
"""

import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

__all__ = ('Evidence', 'StreamVersions')

# Longer than a stream and its caller's attempts to resume it last.
MEMORY_SECONDS = 30.0
MAX_STREAMS = 50_000

# Wire ids of a stream and of the software version that began it.
StreamVersion = tuple[int, int]

# Sources of evidence besides other routers, which are named.
OWN = 'own'
STORE_RECORD = 'store_record'
FOLLOWED = 'followed'


@dataclass(frozen=True)
class Evidence:
    """From where, and when, this router has learned a fact.

    `source_heard_at` is when the store last answered the source, by this
    router's clock, None if it does not tell.
    """

    source: str
    learned_at: float
    source_heard_at: float | None = None

    def age_seconds(self, now: float) -> float:
        """Return how long ago it has learned the fact."""
        return round(max(now - self.learned_at, 0), 3)

    def source_heard_seconds(self, now: float) -> float | None:
        """Return how long ago the store answered its source, if it tells."""
        if self.source_heard_at is None:
            return None
        return round(max(now - self.source_heard_at, 0), 3)


@dataclass(frozen=True)
class _KnownVersion:
    """The version that began a stream."""

    version: int
    evidence: Evidence

    @property
    def expires_at(self) -> float:
        return self.evidence.learned_at + MEMORY_SECONDS


class StreamVersions:
    """Remembers the versions of recent streams, own ones and those of peers.

    Streams and versions are identified by their wire ids. Shortly after the
    start, the versions that have left before are unknown. A service counts as
    confirmed when this router has learned them from a record or from a peer, or
    has followed the service for as long as streams last.
    """

    def __init__(self) -> None:
        self._versions: dict[int, _KnownVersion] = {}
        self._serving: dict[str, frozenset[int]] = {}
        # All versions of mixed services, also those that have left.
        self._mixed: dict[str, frozenset[int]] = {}
        self._mixed_until: dict[str, float] = {}
        # Until then, versions that only other routers know may matter.
        self._unknown_until: dict[str, float] = {}
        self._confirmed: dict[str, Evidence] = {}
        self._nothing_served = False
        # From then on this router has learned of all streams.
        self._complete_at = math.inf

    def record_earlier(
        self, versions: Mapping[str, frozenset[int]], now: float = 0
    ) -> None:
        """Record, by service, the versions that served before the start."""
        self._serving.update(versions)
        for service in versions:
            self._confirmed[service] = Evidence(STORE_RECORD, now)

    def record_nothing_earlier(self) -> None:
        """Record that nothing has served before all routers started."""
        self._nothing_served = True

    def set_serving(
        self, versions: Mapping[str, frozenset[int]], now: float
    ) -> bool:
        """Set the versions that serve, by service.

        Returns whether a service has just got several versions.
        """
        if self._complete_at == math.inf:
            self._complete_at = now + MEMORY_SECONDS
        has_become_mixed = False
        for service, serving in versions.items():
            served = self._serving.get(service, serving) | serving
            if len(served) > 1:
                was_mixed = self.is_mixed(service, now)
                has_become_mixed |= not was_mixed
                earlier = self._mixed.get(service) if was_mixed else None
                self._mixed[service] = served | (earlier or frozenset())
                self._mixed_until[service] = now + MEMORY_SECONDS
        # A service without targets keeps its last versions.
        self._serving.update(versions)
        return has_become_mixed

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

    def record_confirmation(self, service: str, evidence: Evidence) -> None:
        """Record that another router has told all versions of a service."""
        self._confirmed[service] = evidence

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

    def confirmation(self, service: str, now: float) -> Evidence | None:
        """Return what shows that all recent versions are known, or None."""
        if service in self._confirmed:
            return self._confirmed[service]
        if now >= self._complete_at:
            return Evidence(FOLLOWED, self._complete_at)
        return None

    def may_lack(self, service: str, now: float) -> bool:
        """Return whether a version that matters may be known elsewhere."""
        return not self.is_confirmed(service, now) or self.is_mixed(
            service, now
        )

    def record_own(self, stream: int, version: int, now: float) -> None:
        """Record which version began a stream at this router."""
        self.record(stream, version, Evidence(OWN, now))

    def record(self, stream: int, version: int, evidence: Evidence) -> None:
        """Record which version began a stream, unless that is known."""
        if stream in self._versions:
            return
        self._remove_expired(evidence.learned_at)
        if len(self._versions) >= MAX_STREAMS:
            self._versions.pop(next(iter(self._versions)))
        self._versions[stream] = _KnownVersion(version, evidence)

    def version(self, stream: int, now: float) -> int | None:
        """Return the version that began a stream, or None if unknown."""
        known = self._versions.get(stream)
        return known.version if known and now < known.expires_at else None

    def evidence(self, stream: int, now: float) -> Evidence | None:
        """Return what the version of a stream is known from, or None."""
        known = self._versions.get(stream)
        return known.evidence if known and now < known.expires_at else None

    def recent(self, now: float) -> Iterator[StreamVersion]:
        """Yield the streams that are remembered."""
        for stream, known in self._versions.items():
            if now < known.expires_at:
                yield stream, known.version

    def _remove_expired(self, now: float) -> None:
        """Remove expired streams; the oldest ones come first."""
        while self._versions:
            stream = next(iter(self._versions))
            if now < self._versions[stream].expires_at:
                return
            self._versions.pop(stream)
