"""Second sends as a bounded share of requests, over all routers.

Each router spends its part: the ratio of its own requests, and an equal part
of the slack. So the sum keeps the bound without any message.
"""

from collections import deque

__all__ = ('RetryWindow',)

# Leaves room for routers that this one does not see, and for the edges of
# windows.
SAFETY = 0.7


class RetryWindow:
    """Requests and second sends of one service in a sliding window."""

    def __init__(self, ratio: float, slack: float, seconds: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._seconds = seconds
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def set_bounds(self, ratio: float, slack: float) -> None:
        """Keep another bound; what was counted stays."""
        self._ratio = ratio
        self._slack = slack

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)
        self._forget(now)

    def allows_retry(self, now: float, routers: int) -> bool:
        """Whether one more second send keeps the bound."""
        self._forget(now)
        allowed = self._ratio * len(self._requests) + self._slack / routers
        return len(self._retries) + 1 <= SAFETY * allowed

    def record_retry(self, now: float) -> None:
        """Count a second send."""
        self._retries.append(now)

    def _forget(self, now: float) -> None:
        start = now - self._seconds
        for times in (self._requests, self._retries):
            while times and times[0] < start:
                times.popleft()
