"""Which software version began each stream, while several versions serve.

Pattern: version affinity during a rolling upgrade. What two versions of a
target's software write does not fit together, so a stream is resumed only at
the version that began it.
"""

import math
from collections.abc import Iterator, Mapping

__all__ = ('StreamVersions',)

# Longer than a stream and its caller's attempts to resume it last.
MEMORY_SECONDS = 30.0
MAX_STREAMS = 50_000

# Wire ids of a stream and of the software version that began it.
StreamVersion = tuple[int, int]


class StreamVersions:
    """Remembers the versions of recent streams, own ones and those of peers.

    Streams and versions are identified by their wire ids.
    """

    def __init__(self) -> None:
        self._versions: dict[int, tuple[int, float]] = {}
        self._serving: dict[str, frozenset[int]] = {}
        self._mixed_until: dict[str, float] = {}
        # From then on this router has learned of all streams.
        self._complete_at = math.inf

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
            previous = self._serving.get(service, serving)
            if len(previous | serving) > 1:
                has_become_mixed |= not self.is_mixed(service, now)
                self._mixed_until[service] = now + MEMORY_SECONDS
        # A service without targets keeps its last versions.
        self._serving.update(versions)
        return has_become_mixed

    def is_mixed(self, service: str, now: float) -> bool:
        """Return whether streams of several versions may be resumed."""
        return self.mixed_seconds(service, now) > 0

    def mixed_seconds(self, service: str, now: float) -> float:
        """Return for how long streams of several versions may be resumed."""
        if len(self._serving.get(service, ())) > 1:
            return MEMORY_SECONDS
        return max(self._mixed_until.get(service, 0) - now, 0)

    def record_mixed(self, service: str, seconds: float, now: float) -> None:
        """Record that streams of several versions may be resumed so long."""
        if seconds > 0:
            until = now + min(seconds, MEMORY_SECONDS)
            known = self._mixed_until.get(service, until)
            self._mixed_until[service] = max(until, known)

    def may_lack(self, service: str, now: float) -> bool:
        """Return whether a version that matters may be known elsewhere."""
        return now < self._complete_at or self.is_mixed(service, now)

    def record(self, stream: int, version: int, now: float) -> None:
        """Record which version began a stream, unless that is known."""
        if stream in self._versions:
            return
        self._remove_expired(now)
        if len(self._versions) >= MAX_STREAMS:
            self._versions.pop(next(iter(self._versions)))
        self._versions[stream] = (version, now + MEMORY_SECONDS)

    def version(self, stream: int, now: float) -> int | None:
        """Return the version that began a stream, or None if unknown."""
        version, expires_at = self._versions.get(stream, (None, now))
        return version if now < expires_at else None

    def recent(self, now: float) -> Iterator[StreamVersion]:
        """Yield the streams that are remembered."""
        for stream, (version, expires_at) in self._versions.items():
            if now < expires_at:
                yield stream, version

    def _remove_expired(self, now: float) -> None:
        """Remove expired streams; the oldest ones come first."""
        while self._versions:
            stream = next(iter(self._versions))
            if now < self._versions[stream][1]:
                return
            self._versions.pop(stream)
