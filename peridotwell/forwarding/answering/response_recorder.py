"""Logs and measures the responses that callers get from targets."""

from dataclasses import dataclass

import trio

from peridotwell.forwarding.adapters import RoutedRequest
from peridotwell.forwarding.answering.buffered_responses import SUCCESSES
from peridotwell.forwarding.streams.stream_log import StreamEnd
from peridotwell.logs import log_event
from peridotwell.metrics import Measure, Metrics, Series
from peridotwell.policy.placement.choice import Choice
from peridotwell.policy.updates.update_delay import UpdateDelay
from peridotwell.serving.target_response import ResponseOrigin

__all__ = ('ResponseRecorder', 'ResponseSummary')


@dataclass(frozen=True)
class ResponseSummary:
    """What the log tells of a response."""

    status: int
    choice: Choice | None
    first_part_at: float
    origin: ResponseOrigin | None
    body_bytes: int
    stream_end: StreamEnd | None = None


class ResponseRecorder:
    """Records each response, with what decided on its target."""

    def __init__(self, metrics: Metrics, update_delay: UpdateDelay) -> None:
        self._metrics = metrics
        self._update_delay = update_delay

    def record(
        self, request: RoutedRequest, attempts: int, response: ResponseSummary
    ) -> None:
        """Record a response that took a number of attempts."""
        choice = response.choice
        origin = response.origin
        first_part_seconds = response.first_part_at - request.arrived_at
        now = trio.current_time()
        total_seconds = now - request.arrived_at
        self._metrics.count(f'request.status.{response.status}')
        if response.status in SUCCESSES:
            self._measure(request, Measure.first_token, first_part_seconds)
            self._measure(request, Measure.whole_answer, total_seconds)
        log_event(
            'request.answered',
            request=request.request_id,
            **(response.stream_end.log_fields() if response.stream_end else {}),
            route=request.route.name,
            customer=request.customer,
            target=choice.target.name if choice else '',
            subject=request.prompt.placement_key if request.prompt else '',
            load=choice.load if choice else 0,
            mean_load=round(choice.mean_load, 2) if choice else 0,
            fill_level=round(choice.level, 2) if choice else 0,
            missing_tokens=choice.missing_tokens if choice else 0,
            fetched_tokens=choice.fetched_tokens if choice else 0,
            tokens_ahead=choice.tokens_ahead if choice else 0,
            update_delay=round(self._update_delay.seconds(now), 3),
            status=response.status,
            body_end=origin.body_end.value if origin else '',
            body_bytes=response.body_bytes,
            earlier_requests=origin.earlier_requests if origin else 0,
            attempts=attempts,
            first_seconds=round(first_part_seconds, 4),
            whole_seconds=round(total_seconds, 4),
            table=request.table_version,
        )

    def _measure(
        self, request: RoutedRequest, measure: Measure, seconds: float
    ) -> None:
        series = Series(request.customer, request.route.name, measure)
        self._metrics.sketch(series).add(seconds)
