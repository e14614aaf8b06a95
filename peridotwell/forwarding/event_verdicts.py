"""What this router concludes from the ids of events, and its log of that."""

from dataclasses import dataclass

from peridotwell.domain.target import Target
from peridotwell.logs import log_event, log_failure
from peridotwell.policy.event_steps import EventSteps

__all__ = ('EventStep', 'EventVerdicts')


@dataclass(frozen=True)
class EventStep:
    """A step over an id: the events before and after it, and who sent them."""

    request_id: str
    service: str
    target: Target
    last_id: str
    next_id: str


class EventVerdicts:
    """Records how ids go up, and logs each verdict with its evidence."""

    def __init__(self, steps: EventSteps) -> None:
        self._steps = steps

    def are_by_one(self, service: str) -> bool:
        """Return whether a step over an id in a service is a missing event."""
        return self._steps.are_by_one(service)

    def record(self, service: str, target: Target, *, is_by_one: bool) -> None:
        """Record a stream of a target, complete or with a step over an id."""
        before = self._steps.are_by_one(service)
        self._steps.record(service, is_by_one=is_by_one, target=target.name)
        if self._steps.are_by_one(service) != before:
            log_event(
                'event_ids.learned',
                service=service,
                by_one=not before,
                target=target.name,
                software=target.software,
                **self._steps.evidence(service),
            )

    def is_missing(self, step: EventStep, *, may_log: bool) -> bool:
        """Return whether an event is missing at a step over an id.

        It is logged, or if `may_log`: the first step of a stream tells enough
        where ids jump.
        """
        is_missing = self._steps.are_by_one(step.service)
        if is_missing or may_log:
            self._log(step, is_missing=is_missing)
        return is_missing

    def _log(self, step: EventStep, *, is_missing: bool) -> None:
        log_failure(
            'event.step',
            request=step.request_id,
            target=step.target.name,
            last=step.last_id,
            next=step.next_id,
            missing=is_missing,
            service=step.service,
            software=step.target.software,
            **self._steps.evidence(step.service),
        )
