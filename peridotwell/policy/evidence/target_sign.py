"""Signs of whether the process that sent something still serves."""

from enum import Enum

__all__ = ('HAS_ENDED', 'TargetSign')


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
