"""What is known of the process that sent a response."""

from dataclasses import dataclass
from enum import Enum

__all__ = (
    'HAS_ENDED',
    'NO_EVIDENCE',
    'ProcessEvidence',
    'ResponseTimes',
    'TargetSign',
)

# A target that begins its response later was slow to do so.
MAX_WAIT_SECONDS = 0.25


class TargetSign(Enum):
    """What shows whether the process of a target still serves."""

    # A connection from before is still open.
    same_process = 'same_process'
    # The connections to the process that sent the response have ended, and
    # another one serves.
    replaced = 'replaced'
    # All connections from before have ended in one moment.
    ended_together = 'ended_together'
    # The answers to a status check on a new connection, of some process.
    answered = 'answered'
    silent = 'silent'
    closed = 'closed'
    refused = 'refused'
    unreachable = 'unreachable'


HAS_ENDED = frozenset(
    (
        TargetSign.replaced,
        TargetSign.ended_together,
        TargetSign.closed,
        TargetSign.refused,
    )
)


@dataclass(frozen=True)
class ProcessEvidence:
    """What is known of the process that sent a response.

    `is_burst` tells whether all of its responses have ended in one moment.
    """

    sign: TargetSign | None = None
    is_burst: bool = False

    @property
    def is_same(self) -> bool:
        """Whether the process still serves that sent the response."""
        return self.sign is TargetSign.same_process


NO_EVIDENCE = ProcessEvidence()


@dataclass(frozen=True)
class ResponseTimes:
    """When a request was sent, and when the head of its response came."""

    sent_at: float
    seen_at: float

    @property
    def has_waited(self) -> bool:
        """Whether the target was slow to begin the response."""
        return self.seen_at - self.sent_at > MAX_WAIT_SECONDS
