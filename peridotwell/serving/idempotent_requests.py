"""Serves idempotent requests, with complete or streamed responses."""

import time
from contextlib import aclosing

from peridotwell.domain.caller_request import CallerRequest
from peridotwell.errors import RequestError
from peridotwell.metrics import Measure, Metrics, Series
from peridotwell.serving.event_stream import StreamEvent
from peridotwell.serving.http_exchange import HttpExchange
from peridotwell.serving.request_executor import (
    BufferedResponse,
    RequestExecutor,
)
from peridotwell.serving.responses import (
    start_event_stream,
    write_error_event,
    write_response,
)

__all__ = ('StreamAborted', 'serve_response', 'serve_stream')


class StreamAborted(Exception):
    """A response failed after it had begun and must be left incomplete."""


async def serve_response(
    exchange: HttpExchange,
    request: CallerRequest,
    executor: RequestExecutor,
) -> None:
    """Respond to a request once the complete response has arrived."""
    response = await executor.execute()
    await write_response(exchange, response, request.request_id)


async def serve_stream(
    exchange: HttpExchange,
    request: CallerRequest,
    executor: RequestExecutor,
    metrics: Metrics,
) -> None:
    """Forward a token stream event by event.

    Raises StreamAborted for a failure after the response headers were sent.
    """
    writer = _StreamWriter(exchange, request, executor, metrics)
    received = int(request.headers.get('last-event-id', 0))
    try:
        async with aclosing(executor.stream_events(received)) as events:
            async for event in events:
                await writer.write(event)
    except RequestError as exc:
        if not exchange.status:
            raise
        await write_error_event(exchange, exc, request.request_id)
        raise StreamAborted from exc


class _StreamWriter:
    """Writes one stream and measures the intervals between its tokens."""

    def __init__(
        self,
        exchange: HttpExchange,
        request: CallerRequest,
        executor: RequestExecutor,
        metrics: Metrics,
    ) -> None:
        self._exchange = exchange
        self._request = request
        self._executor = executor
        self._started_at = time.monotonic()
        self._last_token_at = self._started_at
        self._first_token = metrics.sketch(
            _series(request, Measure.first_token)
        )
        self._between_tokens = metrics.sketch(
            _series(request, Measure.between_tokens)
        )

    async def write(self, event: StreamEvent | BufferedResponse) -> None:
        """Write one event, or a response that replaces the stream."""
        if isinstance(event, BufferedResponse):
            await write_response(
                self._exchange, event, self._request.request_id
            )
            return
        now = time.monotonic()
        if self._exchange.status:
            self._between_tokens.add(now - self._last_token_at)
        else:
            self._first_token.add(now - self._started_at)
            await start_event_stream(
                self._exchange,
                self._executor.placement_hint,
                self._request.request_id,
            )
        self._last_token_at = now
        if event.is_end:
            await self._exchange.finish(event.raw)
        else:
            await self._exchange.write(event.raw)


def _series(request: CallerRequest, measure: Measure) -> Series:
    return Series(request.customer, request.priority_class, measure)
