"""A limit on retries as a share of requests, over all routers.

Each router may use the ratio of its own requests plus an equal part of the
slack, so that the total over all routers keeps the limit without messages.
"""

from collections import deque

__all__ = ('RetryWindow',)

# Fraction of the limit that is used. The rest is a margin for routers that this
# router does not know and for the edges of windows.
SAFETY_FACTOR = 0.7


class RetryWindow:
    """The requests and retries of one service in a sliding time window."""

    def __init__(
        self, ratio: float, slack: float, window_seconds: float
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_seconds = window_seconds
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def set_bounds(self, ratio: float, slack: float) -> None:
        """Change the limit; the recorded requests and retries stay."""
        self._ratio = ratio
        self._slack = slack

    def record_request(self, now: float) -> None:
        """Record a request of a caller."""
        self._requests.append(now)
        self._remove_old(now)

    def allows_retry(self, now: float, routers: int, retries: int = 1) -> bool:
        """Return whether so many more retries keep the limit."""
        self._remove_old(now)
        allowed = self._ratio * len(self._requests) + self._slack / routers
        return len(self._retries) + retries <= SAFETY_FACTOR * allowed

    def record_retry(self, now: float) -> None:
        """Record a retry."""
        self._retries.append(now)

    def _remove_old(self, now: float) -> None:
        start = now - self._window_seconds
        for times in (self._requests, self._retries):
            while times and times[0] < start:
                times.popleft()
