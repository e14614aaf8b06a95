"""Limits on the wait for a target that sends nothing on any connection.

A wait that expires while this process does not run is extended once by that
time: what a target sent meanwhile is not read yet.
"""

import math
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import trio

__all__ = ('SilenceLimits',)

# A process that wakes up later than this after the time that it had set did not
# run meanwhile.
MAX_WAKE_DELAY_SECONDS = 0.05


@dataclass(eq=False)
class _Wait:
    scope: trio.CancelScope
    max_seconds: float
    deadline: float
    is_extended: bool = False


class SilenceLimits:
    """The waits for responses, by target name.

    A wait is cancelled after its time without data from the target. Data on any
    connection to the target starts the time again: an engine that works on
    other requests is alive and has a queue.
    """

    def __init__(self) -> None:
        self._waits: dict[str, set[_Wait]] = {}
        self._next_deadline = math.inf
        self._is_earlier = trio.Event()

    @contextmanager
    def limit(
        self, target: str, max_seconds: float
    ) -> Iterator[trio.CancelScope]:
        """Cancel the block after `max_seconds` without data from a target."""
        deadline = trio.current_time() + max_seconds
        with trio.CancelScope() as scope:
            wait = _Wait(scope, max_seconds, deadline)
            if deadline < self._next_deadline:
                self._is_earlier.set()
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
            wait.deadline = now + wait.max_seconds
            wait.is_extended = False

    async def run(self) -> None:
        """Cancel the waits whose time has passed, until cancelled."""
        while True:
            self._is_earlier = trio.Event()
            self._next_deadline = min(
                (wait.deadline for wait in self._all_waits()), default=math.inf
            )
            with trio.move_on_at(self._next_deadline):
                await self._is_earlier.wait()
            self._cancel_expired(trio.current_time())

    def _cancel_expired(self, now: float) -> None:
        delay = now - self._next_deadline
        expired = [wait for wait in self._all_waits() if wait.deadline <= now]
        for wait in expired:
            if delay > MAX_WAKE_DELAY_SECONDS and not wait.is_extended:
                wait.deadline = now + min(delay, wait.max_seconds)
                wait.is_extended = True
            else:
                wait.scope.cancel()
                wait.deadline = math.inf

    def _all_waits(self) -> Iterator[_Wait]:
        for waits in self._waits.values():
            yield from waits
