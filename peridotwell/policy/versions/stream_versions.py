"""Which software version began each stream that may be resumed.

What two versions of a target's software write does not fit together, so a
stream is resumed only at the version that began it.
"""

from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ('MEMORY_SECONDS', 'STORE', 'Provenance', 'StreamVersions')

# Longer than a stream and its caller's attempts to resume it last.
MEMORY_SECONDS = 30.0
MAX_STREAMS = 50_000

# Wire ids of a stream and of the software version that began it.
StreamVersion = tuple[int, int]

# Sources of evidence besides other routers, which are named.
OWN = 'own'
STORE = 'store'


@dataclass(frozen=True)
class Provenance:
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
    evidence: Provenance

    @property
    def expires_at(self) -> float:
        return self.evidence.learned_at + MEMORY_SECONDS


class StreamVersions:
    """Remembers the versions of recent streams, own ones and those of peers.

    Streams and versions are identified by their wire ids.
    """

    def __init__(self) -> None:
        self._versions: dict[int, _KnownVersion] = {}

    def record_own(self, stream: int, version: int, now: float) -> None:
        """Record which version began a stream at this router."""
        self.record(stream, version, Provenance(OWN, now))

    def record(self, stream: int, version: int, evidence: Provenance) -> None:
        """Record which version began a stream, unless that is known."""
        self._remove_expired(evidence.learned_at)
        if self.version(stream, evidence.learned_at) is not None:
            return
        self._versions.pop(stream, None)
        if len(self._versions) >= MAX_STREAMS:
            self._versions.pop(next(iter(self._versions)))
        self._versions[stream] = _KnownVersion(version, evidence)

    def version(self, stream: int, now: float) -> int | None:
        """Return the version that began a stream, or None if unknown."""
        known = self._versions.get(stream)
        return known.version if known and now < known.expires_at else None

    def evidence(self, stream: int, now: float) -> Provenance | None:
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
