"""Logs and counts what delays the state that routers tell each other."""

import math

from peridotwell.fleet.peer_transport import PeerTransport
from peridotwell.logs import log_failure
from peridotwell.metrics import Metrics
from peridotwell.policy.update_delay import UpdateDelay

__all__ = ('DelayMonitor',)

# Delays above these limits are logged.
MAX_UPDATE_DELAY_SECONDS = 0.5
MAX_LOOP_DELAY_SECONDS = 0.2
REPORT_INTERVAL_SECONDS = 1.0


class DelayMonitor:
    """Reports late updates and a late event loop, at most once a second.

    Together with the bytes sent and the frames dropped, a line tells a slow
    link from a busy processor.
    """

    def __init__(
        self,
        transport: PeerTransport,
        update_delay: UpdateDelay,
        metrics: Metrics,
    ) -> None:
        self._transport = transport
        self._update_delay = update_delay
        self._metrics = metrics
        self._loop_delay = float(0)
        self._reported_at = -math.inf
        self._reported_bytes = 0

    def record_loop_delay(self, seconds: float) -> None:
        """Record how late the event loop resumed a task."""
        self._loop_delay = max(self._loop_delay, seconds)

    def tick(self, now: float) -> None:
        """Update the totals and report delays if due."""
        if now - self._reported_at < REPORT_INTERVAL_SECONDS:
            return
        transport = self._transport
        self._metrics.record_total('peer.sent_bytes', transport.sent_bytes)
        self._metrics.record_total('peer.sent_frames', transport.sent_frames)
        self._metrics.record_total(
            'peer.dropped_frames', transport.dropped_frames
        )
        update_delay = self._update_delay.seconds(now)
        if (
            update_delay > MAX_UPDATE_DELAY_SECONDS
            or self._loop_delay > MAX_LOOP_DELAY_SECONDS
        ):
            log_failure(
                'state.delayed',
                update_delay_seconds=round(update_delay, 3),
                loop_delay_seconds=round(self._loop_delay, 3),
                sent_bytes=transport.sent_bytes - self._reported_bytes,
                dropped_frames=transport.dropped_frames,
            )
        self._reported_at = now
        self._reported_bytes = transport.sent_bytes
        self._loop_delay = 0
