"""Records what targets say of themselves in their answers."""

import trio

from peridotwell.domain.target import Target
from peridotwell.fleet.relays.update_exchange import UpdateExchange
from peridotwell.logs import log_event
from peridotwell.metrics import Metrics
from peridotwell.policy.brittle.brittleness import Brittleness
from peridotwell.policy.health.target_notices import (
    NO_NOTICE,
    Departure,
    TargetNotice,
)

__all__ = ('NoticeRecorder',)


class NoticeRecorder:
    """Keeps notices of targets; tells other routers what concerns them.

    That is which targets leave, which name limits and which are brittle. A
    pause concerns this router alone, and the others are not told.
    """

    def __init__(
        self, update_exchange: UpdateExchange, metrics: Metrics
    ) -> None:
        self._update_exchange = update_exchange
        self._notices = update_exchange.state.target_notices
        self._limits = update_exchange.state.target_limits
        self._brittle = update_exchange.state.brittle_targets
        self._metrics = metrics

    def record(
        self, target: Target, notice: TargetNotice, sent_at: float
    ) -> None:
        """Record a notice that has arrived now.

        The request that it answers was sent at `sent_at`: an answer may be held
        up, and say what held then.
        """
        self._record_limit(target, notice.limit_per_second, sent_at)
        self._record_brittleness(target, notice.brittleness, sent_at)
        if notice is NO_NOTICE:
            return
        incarnation = target.incarnation_id
        now = trio.current_time()
        if notice.is_leaving and self._notices.record_leaving(incarnation, now):
            departure = Departure(*incarnation)
            self._update_exchange.departure_sync.share((departure,))
            self._metrics.count('target.leaving.answer')
            log_event('target.departed', source='answer', target=target.name)
        if notice.pause_seconds and self._notices.record_pause(
            incarnation, notice.pause_seconds, now
        ):
            self._metrics.count('target.paused')
            log_event(
                'target.paused',
                target=target.name,
                seconds=notice.pause_seconds,
            )

    def _record_brittleness(
        self,
        target: Target,
        brittleness: Brittleness | None,
        sent_at: float,
    ) -> None:
        notices = self._brittle.notices
        if brittleness is None and notices.is_empty:
            return
        previous = notices.max_rejections(target)
        changed = self._brittle.record_answer(
            target, brittleness, trio.current_time(), sent_at
        )
        if brittleness is not None and brittleness.is_rejection:
            self._metrics.count('target.brittle.rejection')
        if changed is None:
            return
        self._update_exchange.brittle_sync.share((changed,))
        if previous == changed.max_rejections_per_second:
            return
        self._metrics.count('target.brittle')
        log_event(
            'target.brittle',
            target=target.name,
            max_rejections_per_second=changed.max_rejections_per_second,
        )

    def _record_limit(
        self, target: Target, per_second: float | None, sent_at: float
    ) -> None:
        if per_second is None and self._limits.is_empty:
            return
        changed = self._limits.record(
            target, per_second, trio.current_time(), sent_at
        )
        if changed is None:
            return
        self._update_exchange.limit_sync.share((changed,))
        self._metrics.count('target.limited')
        log_event('target.limited', target=target.name, per_second=per_second)
