"""The attempts of one forwarded request and whether to make another."""

from collections.abc import Collection, Iterator
from enum import Enum

from peridotwell.attempt_errors import (
    AttemptError,
    ConnectionFailed,
    RouterUnable,
    TargetLeft,
)
from peridotwell.forwarding.adapters import RoutedRequest
from peridotwell.policy.retries.retry_window import RetryWindow

__all__ = ('RetryDecision', 'Attempts')

# Number of attempts that no target ran after which the router gives up and the
# caller has to retry. The first limit applies if the last target refused the
# request, the second if it could not be reached.
MAX_REFUSED_ATTEMPTS = 2
MAX_UNREACHABLE_ATTEMPTS = 3
# A silent target is left only if the request may go on elsewhere and, if nobody
# takes it there, return.
RETRIES_TO_LEAVE = 2


class RetryDecision(Enum):
    """What follows a failed attempt."""

    other_target = 'elsewhere'
    give_up = 'give_up'


class TriedTargets(Collection[str]):
    """The names of the targets that a request must not be sent to again.

    After `allow_only`, these are all but one.
    """

    def __init__(self) -> None:
        self._names: set[str] = set()
        self._allowed = ''

    def __contains__(self, name: object) -> bool:
        """Return whether a target is excluded."""
        if self._allowed:
            return name != self._allowed
        return name in self._names

    def __iter__(self) -> Iterator[str]:
        """Yield the targets that the request was sent to."""
        return iter(self._names)

    def __len__(self) -> int:
        """Return the number of targets that the request was sent to."""
        return len(self._names)

    def add(self, name: str) -> None:
        """Add a target that the request is sent to."""
        self._names.add(name)

    def allow_only(self, name: str) -> None:
        """Exclude all targets but this one."""
        self._allowed = name


class Attempts:
    """Counts a request's attempts and applies the limits on retries."""

    def __init__(
        self,
        request: RoutedRequest,
        window: RetryWindow,
        routers: int,
    ) -> None:
        self.tried = TriedTargets()
        self.number = 0
        self.may_have_run = False
        self._request = request
        self._window = window
        self._routers = routers
        self._run_attempts = 0
        self._not_run_attempts = 0
        self._is_retry_reserved = False
        self._left_target = ''
        self._has_left = False

    @property
    def runs_left(self) -> int:
        """The number of targets that may still run the request."""
        return self._request.route.max_attempts - self._run_attempts

    def may_retry_after_run(self, now: float) -> bool:
        """Return whether a target that may run the request may be left."""
        if self._has_left or not self._request.route.may_repeat:
            return False
        return (
            self.runs_left > 1
            and now < self._request.deadline_at
            and self._window.allows_retry(now, self._routers, RETRIES_TO_LEAVE)
        )

    def leave(self, target: str, now: float) -> None:
        """Reserve the retries with which a silent target is left."""
        self._is_retry_reserved = True
        self._has_left = True
        self._left_target = target
        for _ in range(RETRIES_TO_LEAVE):
            self._window.record_retry(now)

    def may_return(self, now: float) -> bool:
        """Return whether the request goes back to the target that it left.

        It does once, if nobody else has taken it: that target may have been
        silent only for a moment. All other targets are excluded then.
        """
        if not self._left_target or now >= self._request.deadline_at:
            return False
        self.tried.allow_only(self._left_target)
        self._left_target = ''
        return True

    def begin(self, target: str) -> int:
        """Record an attempt on a target and return its number."""
        self.tried.add(target)
        self.number += 1
        return self.number

    def after_failure(self, failure: AttemptError, now: float) -> RetryDecision:
        """Return the decision after a failed attempt.

        Only a retry of a request that reached a target counts in the window.
        """
        return self._or_return(self._after_failure(failure, now), now)

    def after_run(self, now: float) -> RetryDecision:
        """Return the decision after a target ran the request and failed."""
        return self._or_return(self._after_run(now), now)

    def _or_return(self, decision: RetryDecision, now: float) -> RetryDecision:
        if decision is RetryDecision.give_up and self.may_return(now):
            return RetryDecision.other_target
        return decision

    def _after_failure(
        self, failure: AttemptError, now: float
    ) -> RetryDecision:
        if failure.may_have_run:
            return self._after_run(now)
        if isinstance(failure, RouterUnable | TargetLeft):
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

    def _after_run(self, now: float) -> RetryDecision:
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
