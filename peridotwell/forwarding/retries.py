"""The attempts of one forwarded request and whether to make another."""

from enum import Enum

from peridotwell.attempt_errors import (
    AttemptError,
    ConnectionFailed,
    RouterUnable,
)
from peridotwell.forwarding.adapters import RoutedRequest
from peridotwell.policy.retry_window import RetryWindow

__all__ = ('RetryDecision', 'Attempts')

# Number of attempts that no target ran after which the router gives up and the
# caller has to retry. The first limit applies if the last target refused the
# request, the second if it could not be reached.
MAX_REFUSED_ATTEMPTS = 2
MAX_UNREACHABLE_ATTEMPTS = 3


class RetryDecision(Enum):
    """What follows a failed attempt."""

    other_target = 'elsewhere'
    give_up = 'give_up'


class Attempts:
    """Counts a request's attempts and applies the limits on retries."""

    def __init__(
        self,
        request: RoutedRequest,
        window: RetryWindow,
        routers: int,
    ) -> None:
        self.tried: set[str] = set()
        self.number = 0
        self.may_have_run = False
        self._request = request
        self._window = window
        self._routers = routers
        self._run_attempts = 0
        self._not_run_attempts = 0
        self._is_retry_reserved = False

    @property
    def runs_left(self) -> int:
        """The number of targets that may still run the request."""
        return self._request.route.max_attempts - self._run_attempts

    def may_retry_after_run(self, now: float) -> bool:
        """Return whether a target that may run the request may be left."""
        route = self._request.route
        return self._is_retry_reserved or (
            route.may_repeat
            and self.runs_left > 1
            and now < self._request.deadline_at
            and self._window.allows_retry(now, self._routers)
        )

    def reserve_retry(self, now: float) -> None:
        """Reserve the next retry: the target of this attempt is left."""
        if not self._is_retry_reserved:
            self._is_retry_reserved = True
            self._window.record_retry(now)

    def begin(self, target: str) -> int:
        """Record an attempt on a target and return its number."""
        self.tried.add(target)
        self.number += 1
        return self.number

    def after_failure(self, failure: AttemptError, now: float) -> RetryDecision:
        """Return the decision after a failed attempt.

        Only a retry of a request that reached a target counts in the window.
        """
        if failure.may_have_run:
            return self.after_run(now)
        if isinstance(failure, RouterUnable):
            return RetryDecision.other_target
        reached_target = not isinstance(failure, ConnectionFailed)
        self._not_run_attempts += 1
        limit = (
            MAX_REFUSED_ATTEMPTS if reached_target else MAX_UNREACHABLE_ATTEMPTS
        )
        if self._not_run_attempts >= limit:
            return RetryDecision.give_up
        return (
            self._decide_retry(now)
            if reached_target
            else RetryDecision.other_target
        )

    def after_run(self, now: float) -> RetryDecision:
        """Return the decision after a target ran the request and failed."""
        self.may_have_run = True
        self._run_attempts += 1
        route = self._request.route
        if not route.may_repeat or self._run_attempts >= route.max_attempts:
            return RetryDecision.give_up
        return self._decide_retry(now)

    def _decide_retry(self, now: float) -> RetryDecision:
        if now >= self._request.deadline_at:
            return RetryDecision.give_up
        if self._is_retry_reserved:
            self._is_retry_reserved = False
            return RetryDecision.other_target
        if not self._window.allows_retry(now, self._routers):
            return RetryDecision.give_up
        self._window.record_retry(now)
        return RetryDecision.other_target
