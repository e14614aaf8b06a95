"""Measures how long updates take to reach the other routers of a group.

A relay forwards the updates of a group to all its members, so a router's own
updates return to it. The time until then is the age of the counts that it gets
from the other members, whether the relay, its links or this router are slow.
"""

import math
from collections import deque

__all__ = ('UpdateDelay',)

# Updates that wait for their return; older ones count as lost.
MAX_PENDING_UPDATES = 500


class UpdateDelay:
    """The time between the sending of own updates and their return."""

    def __init__(self) -> None:
        self._pending: deque[tuple[int, float]] = deque(
            maxlen=MAX_PENDING_UPDATES
        )
        self._last_seconds = float(0)
        self._is_measured = False
        # Updates that were sent before do not count as a measurement.
        self._measured_from = -math.inf

    def record_sent(self, sequence: int, now: float) -> None:
        """Record that the update with this sequence number is sent."""
        self._pending.append((sequence, now))

    def record_returned(self, sequence: int, now: float) -> None:
        """Record that an own update has returned.

        Earlier updates that have not returned are lost. An update that
        returns again, from another relay, is ignored.
        """
        if sequence not in (pending for pending, _ in self._pending):
            return
        while True:
            pending, sent_at = self._pending.popleft()
            if pending == sequence:
                self._last_seconds = now - sent_at
                self._is_measured |= sent_at >= self._measured_from
                return

    def clear(self) -> None:
        """Forget all updates; a router that is a relay gets none back."""
        self._pending.clear()
        self._last_seconds = 0
        self._is_measured = False

    def measure_again(self, now: float) -> None:
        """Let only updates that are sent from now on count as a measurement.

        What arrived while this router stood still has waited since.
        """
        self._is_measured = False
        self._measured_from = now

    def measured_seconds(self, now: float) -> float | None:
        """Return the delay; None before an update has returned."""
        return self.seconds(now) if self._is_measured else None

    def seconds(self, now: float) -> float:
        """Return the last delay, or the age of the oldest pending update.

        The larger of the two is returned, so that the delay also grows while
        nothing returns.
        """
        if not self._pending:
            return self._last_seconds
        return max(self._last_seconds, now - self._pending[0][1])
