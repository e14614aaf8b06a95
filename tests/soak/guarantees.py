"""What callers and targets saw, held against what was promised."""

from collections import Counter
from dataclasses import dataclass, field

__all__ = ('Outcome', 'GuaranteeChecker')

PROMISES_NOT_RUN = frozenset((408, 421, 429, 503))
FIRST_SUCCESS, FIRST_REDIRECT = 200, 300
# Beyond the deadline, on a machine that also runs the tests.
ANSWER_SLACK_SECONDS = 1.0
# A request that crosses the close of its connection ends this soon.
CROSSING_SECONDS = 0.2


@dataclass(frozen=True)
class Outcome:
    """One request as its caller saw it; `status` 0 without an answer."""

    request: str
    kind: str
    router: str
    sent_at: float
    took_seconds: float
    status: int
    body: bytes = b''
    error: str = ''


@dataclass
class GuaranteeChecker:
    """Books runs and outcomes; `broken` says what did not hold."""

    deadline_seconds: float
    runs: Counter[str] = field(default_factory=Counter)
    outcomes: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    _refused: dict[str, Outcome] = field(default_factory=dict)
    _once: set[str] = field(default_factory=set)

    def record_sent(self, request: str, *, may_repeat: bool) -> None:
        """Book a request before it is sent."""
        if not may_repeat:
            self._once.add(request)

    def record_run(
        self, request: str, target: str, *, is_leaving: bool
    ) -> None:
        """Book that a target runs a request."""
        self.runs[request] += 1
        if request in self._once and self.runs[request] > 1:
            self.violations.append(f'{request} ran twice, now on {target}')
        if request in self._refused:
            self.violations.append(f'{request} ran on {target} after a refusal')
        if is_leaving:
            self.violations.append(f'{request} ran on {target}, which had left')

    def record_outcome(self, outcome: Outcome, *, is_disturbed: bool) -> None:
        """Book an outcome.

        `is_disturbed`: its router was killed or paused meanwhile, so that
        it could not answer in time.
        """
        self.outcomes[f'{outcome.kind} {outcome.status or outcome.error}'] += 1
        self._check_promise(outcome)
        self._check_body(outcome)
        limit = self.deadline_seconds + ANSWER_SLACK_SECONDS
        if outcome.took_seconds > limit and not is_disturbed:
            self.violations.append(f'{outcome} came too late')

    def record_cut(self, outcome: Outcome) -> None:
        """Book a request whose connection a planned stop has cut.

        One that crosses the close, and is not read any more, may be sent
        again by its caller: that is allowed.
        """
        was_read = self.runs[outcome.request] > 0
        if not was_read and outcome.took_seconds <= CROSSING_SECONDS:
            return
        self.violations.append(f'{outcome} was cut by a planned stop')

    def _check_promise(self, outcome: Outcome) -> None:
        if outcome.status not in PROMISES_NOT_RUN or outcome.kind == 'read':
            return
        self._refused[outcome.request] = outcome
        if self.runs[outcome.request]:
            self.violations.append(f'{outcome} said not run, and it ran')

    def _check_body(self, outcome: Outcome) -> None:
        if not FIRST_SUCCESS <= outcome.status < FIRST_REDIRECT:
            return
        if not outcome.body.endswith(outcome.request.encode()):
            self.violations.append(f'{outcome} is not the answer to it')
