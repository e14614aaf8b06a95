"""Whether an end without a mark that nobody has checked is a whole one.

Such an end is that of the connection, in the ordinary way, and not within an
event. A process that lives ends its responses so when they are complete; the
marks of other responses tell nothing of this one.
"""

from dataclasses import dataclass
from enum import Enum

from peridotwell.policy.evidence.process_evidence import ProcessEvidence

__all__ = ('EndEvidence', 'EndVerdict')


class EndVerdict(Enum):
    """Why an end is taken for whole, or for a break."""

    # The target ends its responses so.
    habit = 'habit'
    # The process lives, and nothing speaks against it.
    same_process = 'same_process'
    # Breaks: it is not known which process ended the response, the process has
    # ended all of its responses in one moment, or some of late too early.
    unknown_process = 'unknown_process'
    burst = 'burst'
    early_ends = 'early_ends'

    @property
    def is_whole(self) -> bool:
        """Whether the response counts as whole."""
        return self in WHOLE


WHOLE = frozenset((EndVerdict.habit, EndVerdict.same_process))


@dataclass(frozen=True)
class EndEvidence:
    """What is known of an end without a mark.

    `is_habit` tells whether the target is known to end responses so,
    `has_early_ends` whether it has ended some too early of late.
    """

    process: ProcessEvidence
    is_habit: bool
    has_early_ends: bool

    def verdict(self) -> EndVerdict:
        """Return whether the end is whole, and why."""
        if self.is_habit:
            return EndVerdict.habit
        if not self.process.is_same:
            return EndVerdict.unknown_process
        if self.process.is_burst:
            return EndVerdict.burst
        if self.has_early_ends:
            return EndVerdict.early_ends
        return EndVerdict.same_process
