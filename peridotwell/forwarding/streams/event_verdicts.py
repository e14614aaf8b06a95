"""What this router concludes from the ids of events, and its log of that."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from peridotwell.domain.target import Target
from peridotwell.logs import log_event, log_failure
from peridotwell.policy.evidence.event_steps import EventSteps, Finding
from peridotwell.policy.evidence.step_records import Evidence, StepRecord

__all__ = ('EventStep', 'EventVerdicts')

# Events of a stream that go up by one, before a step over an id is taken for a
# missing event where nothing is known of the service.
MIN_EVENTS_BY_ONE = 2


@dataclass(frozen=True)
class EventStep:
    """A step over an id: the events before and after it, and who sent them.

    `by_one` is the number of events of the stream that went up by one from its
    beginning on.
    """

    request_id: str
    service: str
    target: Target
    last_id: str
    next_id: str
    by_one: int

    @property
    def looks_missing(self) -> bool:
        """Whether the stream itself tells that an event is missing."""
        return self.by_one >= MIN_EVENTS_BY_ONE

    def log_fields(self) -> dict[str, object]:
        """Return the fields of the log."""
        return {
            'request': self.request_id,
            'target': self.target.name,
            'last': self.last_id,
            'next': self.next_id,
        }


class EventVerdicts:
    """Records how ids go up, and logs each verdict with its evidence.

    `share` tells other routers records of what is known.
    """

    def __init__(
        self, steps: EventSteps, share: Callable[[Iterable[StepRecord]], None]
    ) -> None:
        self._steps = steps
        self._share = share

    def record_by_one(self, service: str, target: Target, now: float) -> None:
        """Record a complete stream whose ids went up by one."""
        before = self._steps.finding(service, target, now)
        self._steps.record_by_one(service, target)
        self._log_change(service, target, before, now)

    def record_step(self, step: EventStep, now: float) -> None:
        """Record a stream with a step over an id, once for each target."""
        before = self._steps.finding(step.service, step.target, now)
        records = self._steps.record_step(
            step.service,
            step.target,
            now,
            from_start=not step.looks_missing,
        )
        self._share(records)
        self._log_change(step.service, step.target, before, now)

    def learn(
        self, step: EventStep, refused: Target, evidence: Evidence, now: float
    ) -> None:
        """Take in what a target shows after a refused step of another one."""
        before = self._steps.finding(step.service, step.target, now)
        self._share(
            self._steps.learn(
                step.service, (refused, step.target), evidence, now
            )
        )
        log_failure(
            'event.compared',
            **step.log_fields(),
            evidence=evidence.name,
            refused=refused.name,
            service=step.service,
        )
        self._log_change(step.service, step.target, before, now)

    def is_missing(
        self, step: EventStep, now: float, *, has_jumped: bool
    ) -> bool:
        """Return whether an event is missing at a step over an id.

        It is logged, and so is the first step of a stream (`has_jumped` is not
        set) where it is not known that ids jump.
        """
        finding = self._steps.finding(step.service, step.target, now)
        if finding is Finding.jumping:
            return False
        is_missing = finding is Finding.by_one or (
            step.looks_missing and not has_jumped
        )
        if is_missing or not has_jumped:
            log_failure(
                'event.step',
                **step.log_fields(),
                missing=is_missing,
                finding=finding.value,
                by_one=step.by_one,
                **self._evidence(step.service, step.target, now),
            )
        return is_missing

    def _log_change(
        self, service: str, target: Target, before: Finding, now: float
    ) -> None:
        finding = self._steps.finding(service, target, now)
        if finding is not before:
            log_event(
                'event_ids.learned',
                finding=finding.value,
                before=before.value,
                target=target.name,
                **self._evidence(service, target, now),
            )

    def _evidence(
        self, service: str, target: Target, now: float
    ) -> dict[str, object]:
        return {
            'service': service,
            'software': target.software,
            **self._steps.log_fields(service, target, now),
        }
