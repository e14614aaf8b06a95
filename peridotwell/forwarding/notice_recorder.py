"""Records what targets say of themselves in their answers."""

import trio

from peridotwell.domain.target import Target
from peridotwell.fleet.relays.update_exchange import UpdateExchange
from peridotwell.logs import log_event
from peridotwell.metrics import Metrics
from peridotwell.policy.target_notices import TargetNotice

__all__ = ('NoticeRecorder',)


class NoticeRecorder:
    """Keeps notices of targets; tells other routers which targets leave.

    A pause concerns this router alone, and the others are not told.
    """

    def __init__(
        self, update_exchange: UpdateExchange, metrics: Metrics
    ) -> None:
        self._update_exchange = update_exchange
        self._notices = update_exchange.state.target_notices
        self._metrics = metrics

    def record(self, target: Target, notice: TargetNotice) -> None:
        """Record a notice that has arrived now."""
        incarnation = target.incarnation_id
        if notice.is_leaving and self._notices.record_leaving(incarnation):
            self._update_exchange.share_departed(incarnation)
            self._metrics.count('target.leaving.answer')
            log_event('target.departed', source='answer', target=target.name)
        if notice.pause_seconds and self._notices.record_pause(
            incarnation, notice.pause_seconds, trio.current_time()
        ):
            self._metrics.count('target.paused')
            log_event(
                'target.paused',
                target=target.name,
                seconds=notice.pause_seconds,
            )
