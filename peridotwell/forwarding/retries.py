"""The attempts of one forwarded request, and whether one more is made."""

from enum import Enum

from peridotwell.attempt_errors import AttemptError, ConnectionFailed
from peridotwell.forwarding.adapters import RoutedRequest
from peridotwell.policy.retry_window import RetryWindow

__all__ = ('RetryDecision', 'Attempts')

# Sends that targets refuse to run, before the caller is told to come back.
MAX_REFUSED = 2
MAX_UNREACHABLE = 3


class RetryDecision(Enum):
    """What follows a failed attempt."""

    elsewhere = 'elsewhere'
    give_up = 'give_up'


class Attempts:
    """Counts one request's attempts against its route and the budget."""

    def __init__(
        self,
        call: RoutedRequest,
        window: RetryWindow,
        routers: int,
    ) -> None:
        self.tried: set[str] = set()
        self.number = 0
        self.may_have_run = False
        self._call = call
        self._window = window
        self._routers = routers
        self._ran = 0
        self._unsent = 0

    def begin(self, target: str) -> int:
        """Count an attempt on a target and return its number."""
        self.tried.add(target)
        self.number += 1
        return self.number

    def after_failure(self, failure: AttemptError, now: float) -> RetryDecision:
        """Decide after a failed attempt.

        Sending a request again that a target saw counts as a second send.
        """
        if failure.may_have_run:
            return self.after_run(now)
        was_sent = not isinstance(failure, ConnectionFailed)
        self._unsent += 1
        limit = MAX_REFUSED if was_sent else MAX_UNREACHABLE
        if self._unsent >= limit:
            return RetryDecision.give_up
        return self._spend(now) if was_sent else RetryDecision.elsewhere

    def after_run(self, now: float) -> RetryDecision:
        """Decide after a target ran the request without a good answer."""
        self.may_have_run = True
        self._ran += 1
        route = self._call.route
        if not route.may_repeat or self._ran >= route.max_attempts:
            return RetryDecision.give_up
        return self._spend(now)

    def _spend(self, now: float) -> RetryDecision:
        if now >= self._call.deadline_at:
            return RetryDecision.give_up
        if not self._window.allows_retry(now, self._routers):
            return RetryDecision.give_up
        self._window.record_retry(now)
        return RetryDecision.elsewhere
