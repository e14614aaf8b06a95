"""Limits on the wait for a target that sends nothing.

A wait ends only if the request may be sent to another target: a sound target
may be silent for a moment. Time in which this process does not run does not
count, once a wait: what a target sent meanwhile is not read yet.
"""

import math
from collections.abc import Callable, Hashable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import trio

from peridotwell.serving.event_stream import MayGiveUp, always
from peridotwell.serving.target_response import ReadObserver

__all__ = ('SilenceLimits', 'SilenceWait')

# While a wait may expire, the process wakes up after this time to find out
# whether it runs.
WAKE_SECONDS = 0.05
# A process that wakes up later than this after the time that it had set did not
# run meanwhile.
MAX_WAKE_DELAY_SECONDS = 0.05
# A wait that has expired and may not end is checked again after this time.
RECHECK_SECONDS = 0.25
# Shortest time between two searches for expired waits, of which there may be
# many at a silent target.
MIN_SEARCH_SECONDS = 0.03


@dataclass(eq=False)
class SilenceWait(ReadObserver):
    """One wait for data; it is suspended while nothing is being read."""

    scope: trio.CancelScope
    max_seconds: float
    deadline: float
    may_give_up: MayGiveUp
    # Called with each deadline that is set, and the present time.
    schedule: Callable[[float, float], None]
    is_extended: bool = False

    def before_read(self) -> None:
        """Start the time again."""
        self.restart(trio.current_time())

    def after_read(self) -> None:
        """Suspend the wait until the next read."""
        self.deadline = math.inf

    def restart(self, now: float) -> None:
        """Start the time again `now`."""
        self.deadline = now + self.max_seconds
        self.is_extended = False
        self.schedule(self.deadline, now)

    def extend(self, stopped_seconds: float, now: float) -> None:
        """Do not count, once, the time in which the process did not run."""
        if self.is_extended:
            return
        self.is_extended = True
        self.deadline = max(
            self.deadline + stopped_seconds,
            now + min(stopped_seconds, self.max_seconds),
        )


class SilenceLimits:
    """The waits for responses, by source of the data.

    A wait is cancelled after its time without data from its source, if it may
    be given up. The source is the name of a target if data on any connection to
    it starts the time again: an engine that works on other requests is alive
    and has a queue. Else the source is an object of the wait's own.
    """

    def __init__(self) -> None:
        self._waits: dict[Hashable, set[SilenceWait]] = {}
        self._next_deadline = math.inf
        # Set, with its time, when an earlier deadline than the next one is set.
        self._is_earlier = trio.Event()
        self._earlier_set_at = math.inf

    @contextmanager
    def limit(
        self,
        source: Hashable,
        max_seconds: float,
        may_give_up: MayGiveUp = always,
    ) -> Iterator[SilenceWait]:
        """Cancel the block after `max_seconds` without data from a source."""
        now = trio.current_time()
        deadline = now + max_seconds
        with trio.CancelScope() as scope:
            wait = SilenceWait(
                scope, max_seconds, deadline, may_give_up, self._schedule
            )
            self._schedule(deadline, now)
            waits = self._waits.setdefault(source, set())
            waits.add(wait)
            try:
                yield wait
            finally:
                waits.discard(wait)
                if not waits:
                    self._waits.pop(source, None)

    def record_activity(self, source: Hashable, now: float) -> None:
        """Record that data arrived from a source."""
        for wait in self._waits.get(source, ()):
            wait.restart(now)

    def end_waits(self, target: str, started_at: float, now: float) -> None:
        """End the waits for a target without data since a time, if they may.

        Nothing can arrive from it: no connection to it can be made.
        """
        for source, waits in self._waits.items():
            if target not in {source, getattr(source, 'target_name', None)}:
                continue
            for wait in waits:
                if wait.deadline - wait.max_seconds < started_at:
                    wait.deadline = now
                    wait.is_extended = True
                    self._schedule(now, now)

    async def run(self) -> None:
        """Cancel the waits whose time has passed, until cancelled."""
        while True:
            self._is_earlier = trio.Event()
            self._earlier_set_at = math.inf
            self._next_deadline = min(
                (wait.deadline for wait in self._all_waits()), default=math.inf
            )
            await self._wait_for_deadline()
            self._cancel_expired(trio.current_time())
            search_at = trio.current_time() + MIN_SEARCH_SECONDS
            await trio.sleep_until(search_at)
            self._record_wake(search_at, trio.current_time())

    def _schedule(self, deadline: float, now: float) -> None:
        if deadline < self._next_deadline and not self._is_earlier.is_set():
            self._earlier_set_at = now
            self._is_earlier.set()

    async def _wait_for_deadline(self) -> None:
        """Wait for the next deadline, or until an earlier one is set."""
        now = trio.current_time()
        while now < self._next_deadline and not self._is_earlier.is_set():
            wake_at = self._next_deadline
            if wake_at < math.inf:
                wake_at = min(wake_at, now + WAKE_SECONDS)
            with trio.move_on_at(wake_at):
                await self._is_earlier.wait()
            now = trio.current_time()
            self._record_wake(min(wake_at, self._earlier_set_at), now)

    def _record_wake(self, due_at: float, now: float) -> None:
        """Record that the process, due to wake up at a time, does so now."""
        stopped_seconds = now - due_at
        if stopped_seconds > MAX_WAKE_DELAY_SECONDS:
            for wait in self._all_waits():
                wait.extend(stopped_seconds, now)

    def _cancel_expired(self, now: float) -> None:
        expired = [wait for wait in self._all_waits() if wait.deadline <= now]
        for wait in expired:
            if wait.may_give_up(now):
                wait.scope.cancel()
                wait.deadline = math.inf
            else:
                wait.deadline = now + RECHECK_SECONDS

    def _all_waits(self) -> Iterator[SilenceWait]:
        for waits in self._waits.values():
            yield from waits
