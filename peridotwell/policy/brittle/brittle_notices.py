"""Which targets are brittle, from their answers, told to all routers.

A brittle target falls over when it has to reject more requests in a second,
from all routers together, than it names. A target of which nothing is known
counts as brittle while another one of its service is: it has just started, or
has not been asked lately. Therefore routers also tell each other which targets
have answered without a number meanwhile: a router that may not ask any target
learns it from the others alone.
"""

from collections.abc import Iterable, Iterator
from dataclasses import replace

from peridotwell.domain.target import Target
from peridotwell.policy.brittle.brittle_notice import (
    BrittleNotice,
    Rejection,
    Terms,
    make_notice,
    unheard,
)
from peridotwell.policy.brittle.brittle_records import BrittleRecord, service_id
from peridotwell.policy.brittle.brittleness import Brittleness
from peridotwell.policy.brittle.service_terms import ServiceTerms
from peridotwell.policy.updates.soft_state import SoftState

__all__ = ('BrittleNotices',)

# Brittleness ends with an answer that names no number, if the last one that
# named it is older by this time, and arrived before the request was sent:
# answers that overtake each other, or are held up, do not end it.
END_DELAY_SECONDS = 1.0
# While answers without a number arrive beside another target that is brittle,
# the other routers are told this often.
SOUND_REPEAT_SECONDS = 1.0
MAX_NOTICES = 4096


class BrittleNotices(SoftState[BrittleRecord]):
    """The targets that say they are brittle, or have ceased to say so.

    Times are in seconds of this router's clock.
    """

    def __init__(self) -> None:
        self._notices: dict[int, BrittleNotice] = {}
        self._services = ServiceTerms()

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
        notice = make_notice(target, answer, known, now)
        self._set(target.wire_id, notice)
        is_news = (
            known is None or answer.is_rejection or known.terms != notice.terms
        )
        return notice.to_record(target.wire_id, now) if is_news else None

    def merge(
        self, records: Iterable[BrittleRecord], now: float
    ) -> Iterable[BrittleRecord]:
        """Merge the records of another router; the latest answer counts."""
        for record in records:
            notice = BrittleNotice.from_record(record, now)
            known = self._notices.get(record.target)
            if known is not None and known.said_at >= notice.said_at:
                merged = known.with_rejection_of(notice)
            else:
                merged = notice.with_rejection_of(known)
            self._set(record.target, merged)
            if notice.max_rejections_per_second is None:
                self._services.record_sound(notice.service, notice.said_at)
        return ()

    def to_repeat(self, now: float) -> Iterator[BrittleRecord]:
        """Yield what targets have said lately."""
        for target_id, notice in self._notices.items():
            if not notice.is_expired(now):
                yield notice.to_record(target_id, now)

    def expire(self, now: float) -> None:
        """Remove what has expired."""
        self._notices = {
            target_id: notice
            for target_id, notice in self._notices.items()
            if not notice.is_expired(now)
        }
        self._services.expire(
            {notice.service for notice in self._notices.values()}
        )

    def terms(self, target: Target, now: float) -> Terms | None:
        """Return what holds for a target, or None if it is not brittle."""
        notice = self._known(target)
        if notice is None or not notice.speaks_for_target(now):
            return self.service_terms(service_id(target.pool.name), now)
        return notice.terms

    def service_terms(self, service: int, now: float) -> Terms | None:
        """Return the strictest terms of a service's targets, or None."""
        return self._services.find(service, self._notices.values(), now)

    def max_rejections(self, target: Target) -> float | None:
        """Return what a target last said that it bears, or None."""
        notice = self._known(target)
        return notice.max_rejections_per_second if notice else None

    def rejection(self, target: Target) -> Rejection | None:
        """Return the last rejection of a target, None if there is none."""
        notice = self._known(target)
        return notice.rejection if notice else None

    def _known(self, target: Target) -> BrittleNotice | None:
        target_id, incarnation = target.incarnation_id
        notice = self._notices.get(target_id)
        if notice is None or notice.incarnation != incarnation:
            return None
        return notice

    def _record_none(
        self,
        target: Target,
        known: BrittleNotice | None,
        said_at: float,
        now: float,
    ) -> BrittleRecord | None:
        """Record an answer that names no number, said at `said_at` or later."""
        service = service_id(target.pool.name)
        self._services.record_sound(service, said_at)
        if known is None:
            is_news = self._has_brittle(service, now)
            known = unheard(target)
        elif known.max_rejections_per_second is None:
            repeat_at = known.said_at + SOUND_REPEAT_SECONDS
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
        return notice.to_record(target.wire_id, now)

    def _has_brittle(self, service: int, now: float) -> bool:
        """Return whether any target of a service has named a number lately."""
        return any(
            notice.service == service and notice.is_brittle(now)
            for notice in self._notices.values()
        )

    def _set(self, target_id: int, notice: BrittleNotice) -> None:
        self._notices.pop(target_id, None)
        while len(self._notices) >= MAX_NOTICES:
            self._notices.pop(next(iter(self._notices)))
        self._notices[target_id] = notice
        self._services.record_change(notice.service)
