"""Logs and counts what delays the state that routers tell each other."""

import math
from collections import Counter

from peridotwell.fleet.transport.peer_transport import PeerTransport
from peridotwell.logs import log_failure
from peridotwell.metrics import Metrics
from peridotwell.policy.updates.update_delay import UpdateDelay

__all__ = ('DelayMonitor',)

# Delays above these limits are logged.
MAX_UPDATE_DELAY_SECONDS = 0.5
MAX_LOOP_DELAY_SECONDS = 0.2
REPORT_INTERVAL_SECONDS = 1.0
# Frames to peers that use a larger share of the link are logged.
MAX_PEER_LINK_SHARE = 0.5


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
        link_bytes_per_second: int = 0,
    ) -> None:
        self._transport = transport
        self._update_delay = update_delay
        self._metrics = metrics
        self._link_bytes_per_second = link_bytes_per_second
        self._loop_delay = float(0)
        self._reported_at = -math.inf
        self._reported_bytes: Counter[str] = Counter()

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
                dropped_frames=transport.dropped_frames,
                **self._sent_bytes(),
            )
        self._report_busy_link(now)
        self._reported_at = now
        self._reported_bytes = Counter(transport.sent_bytes_by_kind)
        self._loop_delay = 0

    def _report_busy_link(self, now: float) -> None:
        sent = self._sent_bytes()
        elapsed = max(now - self._reported_at, REPORT_INTERVAL_SECONDS)
        busy_bytes = self._link_bytes_per_second * MAX_PEER_LINK_SHARE * elapsed
        if self._link_bytes_per_second and sum(sent.values()) > busy_bytes:
            log_failure('peer.link_busy', **sent)

    def _sent_bytes(self) -> dict[str, int]:
        """Return the bytes sent since the last report, by kind of frame."""
        sent = self._transport.sent_bytes_by_kind - self._reported_bytes
        return {f'{kind}_bytes': count for kind, count in sent.items()}
