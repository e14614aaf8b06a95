"""Which requests may lie unread at a target.

A target that stands still, or whose path is held, reads later what was sent to
it. Data from a target show that it ran then, and has read what had been sent a
moment before.
"""

from dataclasses import dataclass

__all__ = ('RequestProgress', 'is_read', 'seconds_between')

# A target that has just sent data may not have read the latest requests yet:
# they were on their way, or in its queue of connections.
READ_SECONDS = 0.5


@dataclass(frozen=True)
class RequestProgress:
    """How far a request to a target has come.

    `sent_at` is None until there is a connection and the request is sent;
    `last_sign_at` is when the target last sent data on any connection, None if
    it has not while requests to it were outstanding. `has_begun` tells whether
    the response has begun.
    """

    sent_at: float | None
    last_sign_at: float | None
    has_begun: bool

    @property
    def has_sign_since_sent(self) -> bool:
        """Whether the target has sent data since the request was sent."""
        if self.sent_at is None or self.last_sign_at is None:
            return False
        return self.last_sign_at > self.sent_at


def is_read(progress: RequestProgress) -> bool:
    """Return whether the target has read a request, or none was sent."""
    if progress.has_begun or progress.sent_at is None:
        return True
    if progress.last_sign_at is None:
        return False
    return progress.last_sign_at >= progress.sent_at + READ_SECONDS


def seconds_between(earlier: float | None, now: float) -> float | None:
    """Return the time since an event in seconds, None if there was none."""
    return None if earlier is None else round(now - earlier, 3)
