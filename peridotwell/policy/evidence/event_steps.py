"""Whether the ids of the events of a service go up by one.

Ids need only increase, but they count events unless something tells that they
jump: a step over an id is an event that a target has left out. A fault may not
be taken for usual because there is much of it, so streams with a step never
weigh against streams that go up by one, and what is known is kept apart by
software version and incarnation of the target. Ids jump if other targets of
the version, asked for the rest of a stream, begin at the same later id, or if
nearly all streams of all its targets have steps.

What was learned under dispute is soft state: a router that has just started
has it from the others. Nothing is told while no stream has a step.
"""

from collections.abc import Iterable, Iterator
from enum import Enum

from peridotwell.domain.target import Target
from peridotwell.policy.evidence.step_records import (
    Evidence,
    Known,
    StepRecord,
    version_id,
)
from peridotwell.policy.evidence.target_steps import VersionSteps
from peridotwell.policy.updates.soft_state import SoftState

__all__ = ('EventSteps', 'Finding')

MAX_VERSIONS = 1024
# What streams show is told again after this time, if it still matters.
RETELL_SECONDS = 60.0


class Finding(Enum):
    """How the ids of a software version go up."""

    unknown = 'unknown'
    by_one = 'by_one'
    jumping = 'jumping'


class EventSteps(SoftState[StepRecord]):
    """How the ids of events go up, by service and software version."""

    def __init__(self) -> None:
        self._versions: dict[int, VersionSteps] = {}
        self._known: dict[int, Known] = {}

    def finding(self, service: str, target: Target, now: float) -> Finding:
        """Return how the ids of the software version of a target go up."""
        version = version_id(service, target)
        known = self._in_force(version, now)
        if known is not None:
            is_step = known.evidence is Evidence.same_step
            return Finding.jumping if is_step else Finding.by_one
        steps = self._versions.get(version)
        if steps is None:
            return Finding.unknown
        steps.forget_earlier(target)
        if steps.are_by_one:
            return Finding.by_one
        return Finding.jumping if steps.are_jumping else Finding.unknown

    def record_by_one(self, service: str, target: Target) -> None:
        """Record a complete stream whose ids went up by one."""
        self._steps(service, target).record_by_one(target)

    def record_step(
        self, service: str, target: Target, now: float, *, from_start: bool
    ) -> tuple[StepRecord, ...]:
        """Record a stream with a step over an id, once.

        Returns records that other routers should have now.
        """
        steps = self._steps(service, target)
        steps.record_step(target, from_start=from_start)
        if not steps.are_by_one:
            return ()
        version = version_id(service, target)
        known = self._in_force(version, now)
        if known is not None and known.is_certain:
            return ()
        shown = Known(Evidence.streams, now)
        if known is not None and now - known.seen_at < RETELL_SECONDS:
            return ()
        self._set(version, shown)
        return (shown.record(version, now),)

    def learn(
        self,
        service: str,
        targets: tuple[Target, Target],
        evidence: Evidence,
        now: float,
    ) -> tuple[StepRecord, ...]:
        """Take in what two targets of a version have shown together.

        Returns records to tell. One pair alone does not show that ids jump
        where streams of other targets are known.
        """
        version = version_id(service, targets[0])
        steps = self._steps(service, targets[0])
        if evidence is Evidence.had_event:
            steps.record_different()
        elif not steps.record_same(*targets):
            return ()
        known = Known(evidence, now)
        self._set(version, known)
        return (known.record(version, now),)

    def merge(
        self, records: Iterable[StepRecord], now: float
    ) -> Iterable[StepRecord]:
        """Merge records of another router; this one changes none in turn."""
        for record in records:
            known = record.known(now)
            if known is None or known.is_expired(now):
                continue
            if self._contradicts(record.version, known):
                continue
            if known.outweighs(self._in_force(record.version, now)):
                self._set(record.version, known)
        return ()

    def to_repeat(self, now: float) -> Iterator[StepRecord]:
        """Yield the records in force that other routers may lack."""
        for version, known in self._known.items():
            if not known.is_expired(now):
                yield known.record(version, now)

    def expire(self, now: float) -> None:
        """Remove what has expired."""
        for version in list(self._known):
            self._in_force(version, now)

    def log_fields(
        self, service: str, target: Target, now: float
    ) -> dict[str, object]:
        """Return the log fields for what the finding on a version goes by.

        `told_by` is evidence that routers tell each other, None if there is
        none. For each target, the streams whose ids go up by one and those
        with a step.
        """
        version = version_id(service, target)
        known = self._in_force(version, now)
        steps = self._versions.get(version)
        return {
            'told_by': known.evidence.name if known else None,
            'by_target': steps.counts() if steps else '',
        }

    def _contradicts(self, version: int, known: Known) -> bool:
        """Whether streams at this router show that ids do not jump.

        The router that tells so may know two faulty targets only.
        """
        steps = self._versions.get(version)
        is_sound = steps is not None and steps.are_by_one
        return is_sound and known.evidence is Evidence.same_step

    def _in_force(self, version: int, now: float) -> Known | None:
        known = self._known.get(version)
        if known is not None and known.is_expired(now):
            self._known.pop(version)
            return None
        return known

    def _set(self, version: int, known: Known) -> None:
        self._known.pop(version, None)
        while len(self._known) >= MAX_VERSIONS:
            self._known.pop(next(iter(self._known)))
        self._known[version] = known

    def _steps(self, service: str, target: Target) -> VersionSteps:
        version = version_id(service, target)
        steps = self._versions.get(version)
        if steps is None:
            while len(self._versions) >= MAX_VERSIONS:
                self._versions.pop(next(iter(self._versions)))
            steps = VersionSteps()
            self._versions[version] = steps
        return steps
