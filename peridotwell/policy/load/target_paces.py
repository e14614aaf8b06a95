"""Estimates of how long work takes on targets, from what they report.

A pace is a multiple of the normal time for work. Targets share their machines,
so it changes many times a second. Reported paces are averaged by their
logarithm: short changes up and down cancel out. The average counts only once
it differs clearly from the pace in use, and then until it has settled
(hysteresis), so that the fluctuation which is left moves nothing.

Routers that hear little from a target learn its pace from those that hear more.
A pace is told when it differs clearly from the one last told by anyone. Only
routers that have heard from the target themselves repeat it: an age that is
passed on by others would become younger on the way. A pace that is not renewed
decays to the normal one.
"""

import math
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from types import MappingProxyType

import msgspec

from peridotwell.domain.target import Target
from peridotwell.policy.updates.soft_state import SoftState

__all__ = ('NO_PACES', 'PaceRecord', 'TargetPaces', 'relative_speeds')

# Paces of targets that report none.
NO_PACES: Mapping[str, float] = MappingProxyType({})
NORMAL_PERCENT = 100
DECISECONDS_PER_SECOND = 10
# Time constant of the average.
AVERAGE_SECONDS = 1.0
# Largest weight of one report: where reports are rare, a single one says
# little.
MAX_WEIGHT = 0.06
# Differences of logarithms. From this one on (a factor of 1.35) the average is
# followed, until reports of the weight FOLLOWED_WEIGHT together have arrived.
FOLLOW_DIFFERENCE = 0.3
FOLLOWED_WEIGHT = 4.0
# A settled pace as near to the normal one as this is the normal one.
NORMAL_DIFFERENCE = 0.1
# A pace in use is told if it differs by this much from the one last told.
TELL_DIFFERENCE = 0.1
MIN_TELL_SECONDS = 0.5
# A pace counts in full for this time after a report, and half as much, in
# logarithms, after each further DECAY_SECONDS. It is forgotten after
# TTL_SECONDS.
FULL_SECONDS = 20.0
DECAY_SECONDS = 5.0
TTL_SECONDS = 60.0
MAX_TARGETS = 16_384


class PaceRecord(msgspec.Struct, frozen=True, array_like=True):
    """The pace of a target incarnation, in percent of the normal time.

    Target and incarnation are wire ids. `age_deciseconds` tells how many
    tenths of a second ago the target last reported a pace.
    """

    target: int
    incarnation: int
    percent: int
    age_deciseconds: int = 0

    @property
    def key(self) -> int:
        """The target."""
        return self.target


@dataclass
class _Estimate:
    """The pace of a target, as logarithms: the average, in use, and told."""

    incarnation: int
    reported_at: float
    own_report_at: float | None = None
    average: float = 0
    used: float = 0
    told: float = 0
    told_at: float = -math.inf
    followed_weight: float = 0

    def add(self, pace: float, now: float) -> None:
        """Add a report of the target to the average."""
        weight = self._weight(now)
        self.average += (math.log(pace) - self.average) * weight
        self.reported_at = self.own_report_at = now
        if abs(self.average - self.used) > FOLLOW_DIFFERENCE:
            self.followed_weight = FOLLOWED_WEIGHT
        if self.followed_weight <= 0:
            return
        self.followed_weight -= weight
        self.used = self.average
        if self.followed_weight <= 0 and abs(self.used) < NORMAL_DIFFERENCE:
            self.used = 0

    def replace(self, pace: float, reported_at: float, now: float) -> None:
        """Take over what another router knows."""
        told = math.log(pace)
        if abs(told - self.used) > TELL_DIFFERENCE:
            self.followed_weight = FOLLOWED_WEIGHT
        self.average = self.used = self.told = told
        self.reported_at = reported_at
        self.told_at = now

    def must_tell(self, now: float) -> bool:
        return (
            abs(self.used - self.told) > TELL_DIFFERENCE
            and now - self.told_at >= MIN_TELL_SECONDS
        )

    def pace(self, now: float) -> float:
        overdue = now - self.reported_at - FULL_SECONDS
        if overdue <= 0:
            return math.exp(self.used)
        return math.exp(self.used * 2 ** (-overdue / DECAY_SECONDS))

    def _weight(self, now: float) -> float:
        """Return the weight of a report that arrives now."""
        if self.own_report_at is None:
            return MAX_WEIGHT
        seconds = max(now - self.own_report_at, 0)
        return min(seconds / AVERAGE_SECONDS, MAX_WEIGHT)

    def is_expired(self, now: float) -> bool:
        return now - self.reported_at >= TTL_SECONDS


class TargetPaces(SoftState[PaceRecord]):
    """The paces of targets. Times are in seconds of this router's clock."""

    def __init__(self) -> None:
        self._estimates: dict[int, _Estimate] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no target has reported a pace lately."""
        return not self._estimates

    def record(
        self, target: Target, pace: float, now: float
    ) -> PaceRecord | None:
        """Record a pace that a target reports.

        Returns the record if the other routers should know it at once.
        """
        estimate = self._estimate(*target.incarnation_id, now)
        estimate.add(pace, now)
        if not estimate.must_tell(now):
            return None
        estimate.told = estimate.used
        estimate.told_at = now
        return _make_record(target.wire_id, estimate)

    def merge(
        self, records: Iterable[PaceRecord], now: float
    ) -> Iterable[PaceRecord]:
        """Merge the records of another router; the latest report counts."""
        for record in records:
            reported_at = now - record.age_deciseconds / DECISECONDS_PER_SECOND
            known = self._estimates.get(record.target)
            if record.percent > 0 and (
                known is None or known.reported_at < reported_at
            ):
                estimate = self._estimate(
                    record.target, record.incarnation, reported_at
                )
                pace = record.percent / NORMAL_PERCENT
                estimate.replace(pace, reported_at, now)
        return ()

    def to_repeat(self, now: float) -> Iterator[PaceRecord]:
        """Yield the paces of targets that this router has heard from."""
        for target_id, estimate in self._estimates.items():
            own_report_at = estimate.own_report_at
            if (
                estimate.used
                and own_report_at is not None
                and now - own_report_at < FULL_SECONDS
            ):
                age = max(now - own_report_at, 0)
                yield _make_record(target_id, estimate, age)

    def expire(self, now: float) -> None:
        """Remove what has expired."""
        self._estimates = {
            target_id: estimate
            for target_id, estimate in self._estimates.items()
            if not estimate.is_expired(now)
        }

    def pace(self, target: Target, now: float) -> float:
        """Return the pace of a target, 1.0 if it is unknown."""
        target_id, incarnation = target.incarnation_id
        estimate = self._estimates.get(target_id)
        if estimate is None or estimate.incarnation != incarnation:
            return 1.0
        return estimate.pace(now)

    def paces(
        self, targets: Sequence[Target], now: float
    ) -> Mapping[str, float]:
        """Return the paces of targets by name; none if all are equal."""
        if not self._estimates:
            return NO_PACES
        paces = {target.name: self.pace(target, now) for target in targets}
        return paces if len(set(paces.values())) > 1 else NO_PACES

    def _estimate(
        self, target_id: int, incarnation: int, now: float
    ) -> _Estimate:
        estimate = self._estimates.get(target_id)
        if estimate is None or estimate.incarnation != incarnation:
            self._estimates.pop(target_id, None)
            while len(self._estimates) >= MAX_TARGETS:
                self._estimates.pop(next(iter(self._estimates)))
            estimate = _Estimate(incarnation, now)
            self._estimates[target_id] = estimate
        return estimate


def relative_speeds(
    names: Sequence[str], paces: Mapping[str, float]
) -> Sequence[float]:
    """Return the speeds of targets at their paces; their mean is 1.0."""
    speeds = [1 / paces[name] for name in names]
    mean = sum(speeds) / len(speeds)
    return [speed / mean for speed in speeds]


def _make_record(
    target_id: int, estimate: _Estimate, age_seconds: float = 0
) -> PaceRecord:
    return PaceRecord(
        target_id,
        estimate.incarnation,
        max(round(math.exp(estimate.used) * NORMAL_PERCENT), 1),
        int(age_seconds * DECISECONDS_PER_SECOND),
    )
