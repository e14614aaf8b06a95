"""What one target has last said of how many rejections it bears."""

import math
from dataclasses import dataclass, replace
from functools import cached_property

from peridotwell.domain.target import Target
from peridotwell.policy.brittle.brittle_records import (
    NO_REJECTION,
    BrittleRecord,
    age_of,
    service_id,
    time_of,
)
from peridotwell.policy.brittle.brittleness import Brittleness

__all__ = ('BrittleNotice', 'Rejection', 'Terms', 'make_notice', 'unheard')

# A notice that no answer has confirmed for this time is forgotten.
TTL_SECONDS = 20.0
# An answer without a number, beside another target that is brittle, counts for
# this time after its request was sent: less than a target that becomes brittle
# gives its callers to learn it.
SOUND_SECONDS = 2.0


@dataclass(frozen=True)
class Terms:
    """What holds for a brittle target; `slots` is 0 if unknown."""

    max_rejections_per_second: float
    slots: int


@dataclass(frozen=True)
class Rejection:
    """When a target last rejected a request, and how many it had then."""

    full_requests: int
    at: float


@dataclass(frozen=True)
class BrittleNotice:
    """The last answer of a target, and its last rejection.

    `max_rejections_per_second` is None if the answer named no number, and the
    answer is then as old as its request. `named_at` is the time of the last
    answer that named one.
    """

    incarnation: int
    service: int
    max_rejections_per_second: float | None
    slots: int
    said_at: float
    named_at: float
    rejection: Rejection | None = None

    @classmethod
    def from_record(cls, record: BrittleRecord, now: float) -> 'BrittleNotice':
        """Return what another router has told."""
        said_at = time_of(record.age_deciseconds, now)
        rejection = None
        if record.full_requests != NO_REJECTION:
            rejection = Rejection(
                record.full_requests,
                time_of(record.rejection_age_deciseconds, now),
            )
        return cls(
            record.incarnation,
            record.service,
            record.max_rejections_per_second,
            record.slots,
            said_at=said_at,
            named_at=said_at,
            rejection=rejection,
        )

    def to_record(self, target_id: int, now: float) -> BrittleRecord:
        """Return what other routers are told."""
        rejection = self.rejection
        return BrittleRecord(
            target_id,
            self.incarnation,
            self.service,
            self.max_rejections_per_second,
            self.slots,
            age_of(self.said_at, now),
            rejection.full_requests if rejection else NO_REJECTION,
            age_of(rejection.at, now) if rejection else 0,
        )

    @cached_property
    def terms(self) -> Terms | None:
        """What the target has named, None if it is not brittle."""
        if self.max_rejections_per_second is None:
            return None
        return Terms(self.max_rejections_per_second, self.slots)

    def is_expired(self, now: float) -> bool:
        """Return whether the answer is too old to count."""
        return now - self.said_at >= TTL_SECONDS

    def is_brittle(self, now: float) -> bool:
        """Return whether the target has named a number lately."""
        is_named = self.max_rejections_per_second is not None
        return is_named and not self.is_expired(now)

    def speaks_for_target(self, now: float) -> bool:
        """Return whether the answer is recent enough for what it says."""
        if self.max_rejections_per_second is None:
            return now - self.said_at < SOUND_SECONDS
        return not self.is_expired(now)

    def with_rejection_of(
        self, other: 'BrittleNotice | None'
    ) -> 'BrittleNotice':
        """Return this notice with the later rejection of both."""
        if other is None or other.incarnation != self.incarnation:
            return self
        if other.rejection is None or (
            self.rejection is not None
            and self.rejection.at >= other.rejection.at
        ):
            return self
        return replace(self, rejection=other.rejection)


def make_notice(
    target: Target,
    answer: Brittleness,
    known: BrittleNotice | None,
    now: float,
) -> BrittleNotice:
    """Return what an answer says, with what is `known` of the target."""
    slots = answer.slots
    if slots is None:
        slots = known.slots if known else 0
    notice = BrittleNotice(
        target.incarnation_id[1],
        service_id(target.pool.name),
        answer.max_rejections_per_second,
        slots,
        said_at=now,
        named_at=now,
    )
    if not answer.is_rejection:
        return notice.with_rejection_of(known)
    full_requests = slots // 2
    if answer.running is not None:
        full_requests = answer.running + (answer.waiting or 0)
    return replace(notice, rejection=Rejection(full_requests, now))


def unheard(target: Target) -> BrittleNotice:
    """Return what is known of a target before its first answer."""
    return BrittleNotice(
        target.incarnation_id[1],
        service_id(target.pool.name),
        None,
        0,
        said_at=-math.inf,
        named_at=-math.inf,
    )
