"""Whether and where a call is tried again after a failure.

Work that a target may have run is never sent again unless it is idempotent;
idempotent work is sent to one other target at most, within a budget that
keeps retries a small fraction of first attempts.
"""

from enum import Enum

from peridotwell.attempt_errors import AttemptError, ResponseTimeout

__all__ = ('RetryBudget', 'RetryStep', 'RetryPolicy')

# Lets a quiet router retry all that it had in flight on one lost engine.
RESERVE = 20
CAPACITY = 100
# Targets tried in a row that did not take the request.
MAX_UNTAKEN = 4


class RetryBudget:
    """Tokens earned by first attempts and spent by retries."""

    def __init__(self, reserve: int = RESERVE) -> None:
        self._tokens = float(reserve)

    def earn(self, fraction: float) -> None:
        """Book a first attempt, which earns `fraction` of a retry."""
        self._tokens = min(CAPACITY, self._tokens + fraction)

    def spend(self) -> bool:
        """Take one retry; False when the budget is used up."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class RetryStep(Enum):
    """What follows a failed attempt."""

    same_target = 'same_target'
    other_target = 'other_target'
    give_up = 'give_up'


class RetryPolicy:
    """The attempts of one call."""

    def __init__(self, budget: RetryBudget, *, idempotent: bool) -> None:
        self._budget = budget
        self._idempotent = idempotent
        self._untaken = 0
        self._resumed = False
        self._retried = False

    def next_step(self, failure: AttemptError, received: int) -> RetryStep:
        """Decide after `failure`, with `received` tokens of a stream."""
        if not failure.may_have_run:
            return self._after_untaken()
        if not self._idempotent:
            return RetryStep.give_up
        if isinstance(failure, ResponseTimeout) and received:
            return self._after_silence()
        return self._elsewhere()

    def _after_untaken(self) -> RetryStep:
        self._untaken += 1
        if self._untaken >= MAX_UNTAKEN:
            return RetryStep.give_up
        return RetryStep.other_target

    def _after_silence(self) -> RetryStep:
        """Resume where the context is cached, on a new connection."""
        if self._resumed:
            return self._elsewhere()
        self._resumed = True
        return RetryStep.same_target

    def _elsewhere(self) -> RetryStep:
        if self._retried or not self._budget.spend():
            return RetryStep.give_up
        self._retried = True
        return RetryStep.other_target
