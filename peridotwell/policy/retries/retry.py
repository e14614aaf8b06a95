"""Retry policy: whether and where a failed request is sent again.

A request that a target may have run is sent again only if it is idempotent,
to at most one other target, and within a retry budget that keeps retries a
small fraction of first attempts.
"""

from enum import Enum

from peridotwell.attempt_errors import AttemptError, ResponseTimeout

__all__ = ('RetryBudget', 'RetryStep', 'RetryPolicy')

# Retries in a new budget. They let a router with few requests retry all that it
# had in flight on one lost engine.
INITIAL_RETRIES = 20
MAX_RETRIES = 100
# Number of attempts that no target has run after which the router gives up.
MAX_NOT_RUN_ATTEMPTS = 4


class RetryBudget:
    """A token bucket that first attempts fill and retries drain."""

    def __init__(self, initial_retries: int = INITIAL_RETRIES) -> None:
        self._tokens = float(initial_retries)

    def earn(self, fraction: float) -> None:
        """Record a first attempt, which adds `fraction` of a retry."""
        self._tokens = min(MAX_RETRIES, self._tokens + fraction)

    def spend(self) -> bool:
        """Take one retry from the budget; return False if it has none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class RetryStep(Enum):
    """The next step after a failed attempt."""

    same_target = 'same_target'
    other_target = 'other_target'
    give_up = 'give_up'


class RetryPolicy:
    """The retry decisions for one request."""

    def __init__(self, budget: RetryBudget, *, idempotent: bool) -> None:
        self._budget = budget
        self._idempotent = idempotent
        self._not_run_attempts = 0
        self._resumed = False
        self._retried = False

    def next_step(
        self, failure: AttemptError, received_tokens: int
    ) -> RetryStep:
        """Return the next step after `failure`.

        `received_tokens` counts the stream tokens received so far.
        """
        if not failure.may_have_run:
            return self._after_not_run()
        if not self._idempotent:
            return RetryStep.give_up
        if isinstance(failure, ResponseTimeout) and received_tokens:
            return self._after_timeout()
        return self._retry_elsewhere()

    def _after_not_run(self) -> RetryStep:
        self._not_run_attempts += 1
        if self._not_run_attempts >= MAX_NOT_RUN_ATTEMPTS:
            return RetryStep.give_up
        return RetryStep.other_target

    def _after_timeout(self) -> RetryStep:
        """Resume once on the same target, which has the context cached.

        The attempt uses a new connection.
        """
        if self._resumed:
            return self._retry_elsewhere()
        self._resumed = True
        return RetryStep.same_target

    def _retry_elsewhere(self) -> RetryStep:
        if self._retried or not self._budget.spend():
            return RetryStep.give_up
        self._retried = True
        return RetryStep.other_target
