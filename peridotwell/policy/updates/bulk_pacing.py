"""Pacing of large messages, so that small urgent ones do not wait for them."""

import math

__all__ = ('BulkPacer',)

# Share of a link that large messages to other routers may use.
BULK_LINK_SHARE = 0.3
# Messages may be sent this much ahead of the rate, because batches are sent at
# intervals.
BURST_SECONDS = 0.1


class BulkPacer:
    """Limits the bytes of large messages to a share of the link's rate."""

    def __init__(self, link_bytes_per_second: float) -> None:
        """Make a pacer; a rate of 0 is unknown and sets no limit."""
        self._bytes_per_second = link_bytes_per_second * BULK_LINK_SHARE
        self._next_at = -math.inf

    def may_send(self, now: float) -> bool:
        """Return whether a large message may be sent."""
        return self._next_at <= now + BURST_SECONDS

    def record_sent(self, sent_bytes: int, now: float) -> None:
        """Record a message, or all copies of one; the next one must wait."""
        if self._bytes_per_second:
            seconds = sent_bytes / self._bytes_per_second
            self._next_at = max(self._next_at, now) + seconds
