"""Which targets are brittle, from their answers, told to all routers.

A brittle target falls over when it has to reject more requests in a second,
from all routers together, than it names. A target of which nothing is known
counts as brittle while another one of its service is: it has just started, or
has not been asked lately. Therefore routers also tell each other which targets
have answered without a number meanwhile: a router that may not ask any target
learns it from the others alone.
"""

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from functools import cached_property, lru_cache

import msgspec

from peridotwell.domain.target import Target, wire_id
from peridotwell.policy.soft_state import SoftState

__all__ = (
    'BrittleNotices',
    'BrittleRecord',
    'Brittleness',
    'Terms',
    'parse_max_rejections',
    'service_id',
)

# The time ends with an answer that names no number, if the last one that named
# it is older by this time, and arrived before the request was sent: answers
# that overtake each other, or are held up, do not end it.
END_DELAY_SECONDS = 1.0
# A target that has not been heard for this time does not speak for its service
# any more if another one has said since that it is not brittle.
SILENCE_SECONDS = 3.0
# An answer without a number, beside another target that is brittle, counts for
# this time after its request was sent: less than a target that becomes brittle
# gives its callers to learn it.
DENIAL_SECONDS = 2.0
# While such answers arrive, the other routers are told this often.
DENIAL_REPEAT_SECONDS = 1.0
# A notice that no answer has confirmed for this time is forgotten.
TTL_SECONDS = 20.0
MAX_NOTICES = 4096
MAX_SERVICE_IDS = 4096
DECISECONDS_PER_SECOND = 10
# A target that bears more rejections in a second is not brittle.
MAX_REJECTIONS_PER_SECOND = 10_000.0
NO_REJECTION = -1


@dataclass(frozen=True)
class Brittleness:
    """What an answer of a brittle target says of it.

    `is_rejection` tells whether it has rejected the request. `running` and
    `waiting` are the numbers of its requests, `slots` how many it can run at
    once; they are None if the answer does not tell.
    """

    max_rejections_per_second: float
    is_rejection: bool = False
    running: int | None = None
    waiting: int | None = None
    slots: int | None = None


@dataclass(frozen=True)
class Terms:
    """What holds for a brittle target; `slots` is 0 if unknown."""

    max_rejections_per_second: float
    slots: int


class BrittleRecord(msgspec.Struct, frozen=True, array_like=True):
    """What a target incarnation last said, by wire ids.

    `max_rejections_per_second` is None if it is not brittle, or not any more.
    `full_requests` is the number of requests that it had when it last rejected
    one, or -1. Ages are in tenths of a second.
    """

    target: int
    incarnation: int
    service: int
    max_rejections_per_second: float | None
    slots: int = 0
    age_deciseconds: int = 0
    full_requests: int = NO_REJECTION
    rejection_age_deciseconds: int = 0

    @property
    def key(self) -> int:
        """The target."""
        return self.target


@dataclass(frozen=True)
class _Notice:
    """The last answer of a target, and its last rejection.

    `named_at` is the time of the last answer that named a number. An answer
    that names none is as old as its request.
    """

    incarnation: int
    service: int
    max_rejections_per_second: float | None
    slots: int
    said_at: float
    named_at: float
    full_requests: int = NO_REJECTION
    rejected_at: float = 0

    @cached_property
    def terms(self) -> Terms | None:
        """What the target has named, None if it is not brittle."""
        if self.max_rejections_per_second is None:
            return None
        return Terms(self.max_rejections_per_second, self.slots)

    def is_expired(self, now: float) -> bool:
        return now - self.said_at >= TTL_SECONDS

    def is_brittle(self, now: float) -> bool:
        is_named = self.max_rejections_per_second is not None
        return is_named and not self.is_expired(now)

    def speaks_for_target(self, now: float) -> bool:
        """Whether the answer is recent enough for what it says."""
        if self.max_rejections_per_second is None:
            return now - self.said_at < DENIAL_SECONDS
        return not self.is_expired(now)

    def with_rejection_of(self, other: '_Notice | None') -> '_Notice':
        """Return this notice with the later rejection of both."""
        if other is None or other.incarnation != self.incarnation:
            return self
        if other.full_requests == NO_REJECTION or (
            self.full_requests != NO_REJECTION
            and self.rejected_at >= other.rejected_at
        ):
            return self
        return replace(
            self,
            full_requests=other.full_requests,
            rejected_at=other.rejected_at,
        )


class BrittleNotices(SoftState[BrittleRecord]):
    """The targets that say they are brittle, or have ceased to say so.

    Times are in seconds of this router's clock.
    """

    def __init__(self) -> None:
        self._notices: dict[int, _Notice] = {}
        # By service: when a target last named no number.
        self._denied_at: dict[int, float] = {}
        # By service: its terms at a moment.
        self._terms: dict[int, tuple[float, Terms | None]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no target has been brittle lately."""
        return not self._notices

    def record(
        self,
        target: Target,
        answer: Brittleness | None,
        now: float,
        sent_at: float | None = None,
    ) -> BrittleRecord | None:
        """Record what an answer of a target says, None if nothing.

        `sent_at` is when its request was sent, by default `now`. Returns the
        record if the other routers should know it at once.
        """
        known = self._known(target)
        if answer is None:
            said_at = now if sent_at is None else sent_at
            return self._record_none(target, known, said_at, now)
        notice = _make_notice(target, answer, known, now)
        self._set(target.wire_id, notice)
        is_news = (
            known is None
            or answer.is_rejection
            or known.slots != notice.slots
            or known.max_rejections_per_second
            != notice.max_rejections_per_second
        )
        return _make_record(target.wire_id, notice, now) if is_news else None

    def merge(
        self, records: Iterable[BrittleRecord], now: float
    ) -> Iterable[BrittleRecord]:
        """Merge the records of another router; the latest answer counts."""
        for record in records:
            notice = _read_record(record, now)
            known = self._notices.get(record.target)
            if known is not None and known.said_at >= notice.said_at:
                merged = known.with_rejection_of(notice)
            else:
                merged = notice.with_rejection_of(known)
            self._set(record.target, merged)
            if notice.max_rejections_per_second is None:
                self._record_denial(notice.service, notice.said_at)
        return ()

    def to_repeat(self, now: float) -> Iterator[BrittleRecord]:
        """Yield what targets have said lately."""
        for target_id, notice in self._notices.items():
            if not notice.is_expired(now):
                yield _make_record(target_id, notice, now)

    def expire(self, now: float) -> None:
        """Remove what has expired."""
        self._notices = {
            target_id: notice
            for target_id, notice in self._notices.items()
            if not notice.is_expired(now)
        }
        services = {notice.service for notice in self._notices.values()}
        self._denied_at = {
            service: denied_at
            for service, denied_at in self._denied_at.items()
            if service in services
        }
        self._terms.clear()

    def terms(self, target: Target, now: float) -> Terms | None:
        """Return what holds for a target, or None if it is not brittle."""
        notice = self._known(target)
        if notice is None or not notice.speaks_for_target(now):
            return self.service_terms(service_id(target.pool.name), now)
        return notice.terms

    def service_terms(self, service: int, now: float) -> Terms | None:
        """Return the strictest terms of a service's targets, or None."""
        cached = self._terms.get(service)
        if cached is not None and cached[0] == now:
            return cached[1]
        heard_from = self._denied_at.get(service, -math.inf) - SILENCE_SECONDS
        notices = [
            notice
            for notice in self._notices.values()
            if notice.service == service
            and notice.is_brittle(now)
            and notice.said_at >= heard_from
        ]
        terms = _strictest(notices) if notices else None
        self._terms[service] = (now, terms)
        return terms

    def max_rejections(self, target: Target) -> float | None:
        """Return what a target last said that it bears, or None."""
        notice = self._known(target)
        return notice.max_rejections_per_second if notice else None

    def rejection(self, target: Target) -> tuple[int, float] | None:
        """Return how many requests a target had when it last rejected one.

        Returns None if it has rejected none, else that number and the time.
        """
        notice = self._known(target)
        if notice is None or notice.full_requests == NO_REJECTION:
            return None
        return notice.full_requests, notice.rejected_at

    def _known(self, target: Target) -> _Notice | None:
        target_id, incarnation = target.incarnation_id
        notice = self._notices.get(target_id)
        if notice is None or notice.incarnation != incarnation:
            return None
        return notice

    def _record_none(
        self,
        target: Target,
        known: _Notice | None,
        said_at: float,
        now: float,
    ) -> BrittleRecord | None:
        """Record an answer that names no number, said at `said_at` or later."""
        service = service_id(target.pool.name)
        self._record_denial(service, said_at)
        if known is None:
            is_news = self._has_brittle(service, now)
            known = _unheard(target)
        elif known.max_rejections_per_second is None:
            repeat_at = known.said_at + DENIAL_REPEAT_SECONDS
            is_news = said_at >= repeat_at and self._has_brittle(service, now)
        else:
            named_for = now - known.named_at
            is_news = (
                named_for >= END_DELAY_SECONDS and said_at >= known.named_at
            )
        if not is_news:
            return None
        notice = replace(known, max_rejections_per_second=None, said_at=said_at)
        self._set(target.wire_id, notice)
        return _make_record(target.wire_id, notice, now)

    def _has_brittle(self, service: int, now: float) -> bool:
        """Return whether any target of a service has named a number lately."""
        return any(
            notice.service == service and notice.is_brittle(now)
            for notice in self._notices.values()
        )

    def _record_denial(self, service: int, denied_at: float) -> None:
        known_at = self._denied_at.get(service, denied_at)
        self._denied_at[service] = max(known_at, denied_at)

    def _set(self, target_id: int, notice: _Notice) -> None:
        self._notices.pop(target_id, None)
        while len(self._notices) >= MAX_NOTICES:
            self._notices.pop(next(iter(self._notices)))
        self._notices[target_id] = notice
        self._terms.pop(notice.service, None)


@lru_cache(maxsize=MAX_SERVICE_IDS)
def service_id(name: str) -> int:
    """Return the id of a service in messages between routers."""
    return wire_id(name)


def parse_max_rejections(text: str) -> float | None:
    """Return the rejections in a second that a target bears, from its text.

    Returns None if it is not a number from 0 on, or restricts nothing.
    """
    try:
        per_second = float(text)
    except ValueError:
        return None
    return per_second if 0 <= per_second < MAX_REJECTIONS_PER_SECOND else None


def _make_notice(
    target: Target, answer: Brittleness, known: _Notice | None, now: float
) -> _Notice:
    slots = answer.slots
    if slots is None:
        slots = known.slots if known else 0
    notice = _Notice(
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
    return replace(notice, full_requests=full_requests, rejected_at=now)


def _unheard(target: Target) -> _Notice:
    """Return what is known of a target before its first answer."""
    return _Notice(
        target.incarnation_id[1],
        service_id(target.pool.name),
        None,
        0,
        said_at=-math.inf,
        named_at=-math.inf,
    )


def _make_record(target_id: int, notice: _Notice, now: float) -> BrittleRecord:
    record = BrittleRecord(
        target_id,
        notice.incarnation,
        notice.service,
        notice.max_rejections_per_second,
        notice.slots,
        _age(notice.said_at, now),
    )
    if notice.full_requests == NO_REJECTION:
        return record
    return msgspec.structs.replace(
        record,
        full_requests=notice.full_requests,
        rejection_age_deciseconds=_age(notice.rejected_at, now),
    )


def _read_record(record: BrittleRecord, now: float) -> _Notice:
    said_at = now - record.age_deciseconds / DECISECONDS_PER_SECOND
    return _Notice(
        record.incarnation,
        record.service,
        record.max_rejections_per_second,
        record.slots,
        said_at=said_at,
        named_at=said_at,
        full_requests=record.full_requests,
        rejected_at=now
        - record.rejection_age_deciseconds / DECISECONDS_PER_SECOND,
    )


def _age(then: float, now: float) -> int:
    return int(max(now - then, 0) * DECISECONDS_PER_SECOND)


def _strictest(notices: Iterable[_Notice]) -> Terms:
    known = tuple(notices)
    return Terms(
        min(
            notice.max_rejections_per_second
            for notice in known
            if notice.max_rejections_per_second is not None
        ),
        min((notice.slots for notice in known if notice.slots), default=0),
    )
