"""Streams whose target may have another software version than its entry.

The version that began such a stream is unknown until the entry is known to have
held when the first event came. If it did not hold, it stays unknown.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from peridotwell.domain.target import Target
from peridotwell.forwarding.targets.restart_watch import RestartWatch

__all__ = ('UnprovenStart', 'UnprovenStarts')

# Longer than a stream and its caller's attempts to resume it last.
MEMORY_SECONDS = 30.0
MAX_STARTS = 10_000


@dataclass(frozen=True)
class UnprovenStart:
    """A stream, its service, and the entry of the target that began it.

    `found_at` is when the process was found that sent the first event.
    """

    stream: int
    service: str
    target: Target
    found_at: float


class UnprovenStarts:
    """The streams that this router began and whose version is unknown."""

    def __init__(self, restarts: RestartWatch) -> None:
        self._restarts = restarts
        self._starts: dict[int, UnprovenStart] = {}

    def __contains__(self, stream: int) -> bool:
        """Return whether the version of a stream is not known yet."""
        return stream in self._starts

    def record(self, start: UnprovenStart) -> bool:
        """Keep a start if its target may have restarted; return whether so."""
        if not self._restarts.may_have_restarted(start.target):
            return False
        if len(self._starts) >= MAX_STARTS:
            self._starts.pop(next(iter(self._starts)))
        self._starts[start.stream] = start
        return True

    def pop_proven(self, now: float) -> Iterator[UnprovenStart]:
        """Remove and yield the streams whose version is known by now."""
        for start in tuple(self._starts.values()):
            if now - start.found_at > MEMORY_SECONDS:
                self._starts.pop(start.stream)
            elif self._restarts.has_held(start.target, start.found_at):
                yield self._starts.pop(start.stream)
