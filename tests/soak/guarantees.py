"""Checks what callers and targets observe against the routers' guarantees."""

from collections import Counter
from dataclasses import dataclass, field

__all__ = ('Outcome', 'GuaranteeChecker')

# Statuses with which a router guarantees that no target ran the request.
STATUSES_NOT_RUN = frozenset((408, 421, 429, 503))
STREAM_KINDS = frozenset(('draft', 'ask'))
FIRST_SUCCESS_STATUS, FIRST_REDIRECT_STATUS = 200, 300
# Allowed delay after the deadline, because the machine also runs the tests.
RESPONSE_SLACK_SECONDS = 1.0
# A request that is sent while the router closes its connection fails this soon.
CLOSE_RACE_SECONDS = 0.2


@dataclass(frozen=True)
class Outcome:
    """One request as its caller saw it.

    Without a response, `status` is 0 and `error` is one of 'unreachable' (no
    connection), 'cut' (connection closed) and 'silent' (timeout). The time in
    which the caller's own process waited is no part of its duration.
    """

    request_id: str
    kind: str
    router: str
    sent_at: float
    duration_seconds: float
    status: int
    body: bytes = b''
    error: str = ''
    # Whether the body's end is marked; else another check judges the body.
    is_marked: bool = True


@dataclass
class GuaranteeChecker:
    """Records executions and outcomes and collects violations of guarantees.

    `run_counts` holds the executions of each request, `outcome_counts` the
    outcomes by kind of request and status or error.
    """

    deadline_seconds: float
    run_counts: Counter[str] = field(default_factory=Counter)
    outcome_counts: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    _refused_requests: dict[str, Outcome] = field(default_factory=dict)
    _at_most_once_requests: set[str] = field(default_factory=set)

    def record_sent(self, request_id: str, *, may_repeat: bool) -> None:
        """Record a request before it is sent."""
        if not may_repeat:
            self._at_most_once_requests.add(request_id)

    def record_run(
        self, request_id: str, target: str, *, has_left: bool
    ) -> None:
        """Record that a target executes a request.

        `has_left`: the target left the service so long ago that it must not
        get requests any more.
        """
        self.run_counts[request_id] += 1
        if (
            request_id in self._at_most_once_requests
            and self.run_counts[request_id] > 1
        ):
            self.violations.append(f'{request_id} ran twice, now on {target}')
        if request_id in self._refused_requests:
            self.violations.append(
                f'{request_id} ran on {target} after a refusal'
            )
        if has_left:
            self.violations.append(
                f'{request_id} ran on {target}, which had left'
            )

    def record_outcome(self, outcome: Outcome, *, is_disturbed: bool) -> None:
        """Record the outcome of a request and check it.

        `is_disturbed`: the router was killed or paused meanwhile, so that it
        could not respond in time.
        """
        self.outcome_counts[
            f'{outcome.kind} {outcome.status or outcome.error}'
        ] += 1
        self._check_not_run(outcome)
        self._check_body(outcome)
        limit = self.deadline_seconds + RESPONSE_SLACK_SECONDS
        if outcome.duration_seconds > limit and not is_disturbed:
            self.violations.append(f'{outcome} came too late')

    def record_handled(
        self, request_id: str, router: str, seconds: float
    ) -> None:
        """Record that a router had a request for so long, by its own log."""
        if seconds > self.deadline_seconds + RESPONSE_SLACK_SECONDS:
            self.violations.append(
                f'{request_id} was held by {router} for {seconds} s'
            )

    def record_cut(self, outcome: Outcome) -> None:
        """Record a request whose connection was closed by a planned stop.

        This is no violation if the request was sent while the router closed
        the connection and no target executed it: the caller may retry it.
        """
        was_executed = self.run_counts[outcome.request_id] > 0
        if not was_executed and outcome.duration_seconds <= CLOSE_RACE_SECONDS:
            return
        self.violations.append(f'{outcome} was cut by a planned stop')

    def _check_not_run(self, outcome: Outcome) -> None:
        if outcome.status not in STATUSES_NOT_RUN:
            return
        self._refused_requests[outcome.request_id] = outcome
        if self.run_counts[outcome.request_id]:
            self.violations.append(
                f'{outcome} said not run, but the request ran'
            )

    def _check_body(self, outcome: Outcome) -> None:
        if not FIRST_SUCCESS_STATUS <= outcome.status < FIRST_REDIRECT_STATUS:
            return
        if not outcome.is_marked:
            return
        if not outcome.body.endswith(_end_of_response(outcome)):
            self.violations.append(
                f'{outcome} is not the response to this request'
            )


def _end_of_response(outcome: Outcome) -> bytes:
    """Return how a whole response to this request ends."""
    request_id = outcome.request_id.encode()
    is_stream = outcome.kind in STREAM_KINDS
    return b': %b\n\n' % request_id if is_stream else request_id
