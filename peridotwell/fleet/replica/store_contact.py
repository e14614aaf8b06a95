"""How long the store has answered a router without interruption.

After an outage of the store, live targets register again within about two
seconds. A router that has been in contact for longer shows that an entry that
is missing now is gone, also to routers that were cut off from the store alone.
"""

import math
from dataclasses import dataclass

from peridotwell.fleet.replica.deferred_removals import REREGISTRATION_SECONDS

__all__ = (
    'StoreContact',
    'StoreContactReport',
    'decode_seconds',
    'encode_seconds',
)

# Contact is interrupted by a longer time without an answer: leases may have
# expired in it. Calls that wait for changes take up to two seconds.
MAX_GAP_SECONDS = 2.4
# An outage after an answer of this age is too short for leases to expire.
MAX_ANSWER_AGE_SECONDS = 1.5
DECISECONDS = 10
MAX_DECISECONDS = 255


@dataclass(frozen=True)
class StoreContactReport:
    """How long the contact lasted up to the last answer, and its age."""

    contact_seconds: float
    answer_age_seconds: float

    @property
    def shows_gone(self) -> bool:
        """Whether entries that are missing are gone, not about to return."""
        return (
            self.contact_seconds >= REREGISTRATION_SECONDS
            and self.answer_age_seconds <= MAX_ANSWER_AGE_SECONDS
        )


class StoreContact:
    """The uninterrupted contact of this router with the store."""

    def __init__(self) -> None:
        # When the store itself, not a peer, last answered.
        self.answered_at = -math.inf
        self._since = math.inf
        # When a call that reads nothing, such as a renewal, last succeeded.
        self._called_at = -math.inf

    def record_answer(self, now: float) -> None:
        """Record an answer of the store."""
        if now - self.answered_at > MAX_GAP_SECONDS:
            self._since = now
        self.answered_at = now

    def record_call(self, now: float) -> None:
        """Record that the store has executed a call that reads nothing."""
        self._called_at = now

    def may_have_ended_leases(self, now: float) -> bool:
        """Return whether leases may have expired since the last success.

        One call that fails, such as a watch that is cut, shows no outage.
        """
        heard_at = max(self.answered_at, self._called_at)
        return now - heard_at > MAX_ANSWER_AGE_SECONDS

    def interrupt(self, now: float) -> None:
        """Start anew: a call has failed, or the store was restored."""
        self._since = now

    def report(self, now: float) -> StoreContactReport:
        """Return what peers are told."""
        return StoreContactReport(
            max(0, self.answered_at - self._since), now - self.answered_at
        )


def encode_seconds(seconds: float) -> int:
    """Return seconds as tenths, as they are in messages."""
    return int(min(seconds * DECISECONDS, MAX_DECISECONDS))


def decode_seconds(deciseconds: int) -> float:
    """Return the seconds of a message."""
    return deciseconds / DECISECONDS
