"""A router's planned stop: which requests it still takes, and when all end.

Pattern: graceful shutdown. The load balancer takes some time to notice that a
router is not ready; until then, all requests are served. Later ones come on
connections that were open before, and are served only if they end in time. The
others are refused at once as not run: their callers lose nothing elsewhere.
Shortly before the process is killed, the callers of what still runs are
answered.
"""

import math
from collections.abc import Iterator
from contextlib import contextmanager

import trio

from peridotwell.errors import InstanceStopping

__all__ = ('PlannedStop',)


class PlannedStop:
    """Limits requests to the time before the process ends."""

    def __init__(self) -> None:
        self._refuse_from = math.inf
        # When all requests must have been answered.
        self._end_at = math.inf
        self._running: set[trio.CancelScope] = set()

    def begin(self, refuse_from: float, end_at: float) -> None:
        """Begin the stop; running requests end at `end_at` at the latest.

        From `refuse_from` on, requests are refused that may last longer.
        """
        self._refuse_from = refuse_from
        self._end_at = end_at
        for scope in self._running:
            scope.deadline = min(scope.deadline, end_at)

    def check(self, deadline_at: float, now: float) -> None:
        """Raise InstanceStopping if a request must not be taken `now`."""
        if now >= self._refuse_from and deadline_at > self._end_at:
            raise InstanceStopping(
                'This instance stops and may not finish the request: send it '
                'again at once, on a new connection.',
                retry_after_seconds=0,
            )

    @contextmanager
    def limit(self, deadline_at: float) -> Iterator[None]:
        """Run a request; raise trio.TooSlowError if it does not end in time."""
        with trio.fail_at(min(deadline_at, self._end_at)) as scope:
            self._running.add(scope)
            try:
                yield
            finally:
                self._running.discard(scope)
