"""Limits on the wait for a target that sends nothing on any connection."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import trio

__all__ = ('SilenceLimits',)


@dataclass(frozen=True, eq=False)
class _Wait:
    scope: trio.CancelScope
    max_seconds: float


class SilenceLimits:
    """The waits for responses, by target name.

    A wait is cancelled after its time without data from the target. Data on any
    connection to the target starts the time again: an engine that works on
    other requests is alive and has a queue.
    """

    def __init__(self) -> None:
        self._waits: dict[str, set[_Wait]] = {}

    @contextmanager
    def limit(
        self, target: str, max_seconds: float
    ) -> Iterator[trio.CancelScope]:
        """Cancel the block after `max_seconds` without data from a target."""
        deadline = trio.current_time() + max_seconds
        with trio.CancelScope(deadline=deadline) as scope:
            wait = _Wait(scope, max_seconds)
            waits = self._waits.setdefault(target, set())
            waits.add(wait)
            try:
                yield scope
            finally:
                waits.discard(wait)
                if not waits:
                    self._waits.pop(target, None)

    def record_activity(self, target: str, now: float) -> None:
        """Record that data arrived from a target."""
        for wait in self._waits.get(target, ()):
            wait.scope.deadline = now + wait.max_seconds
