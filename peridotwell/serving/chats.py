"""Idempotent calls: chats, whole or streamed, and lookups."""

import time
from contextlib import aclosing

from peridotwell.domain.call import Call
from peridotwell.errors import RequestError
from peridotwell.metrics import Measure, Metrics, Series
from peridotwell.serving.answers import (
    start_stream,
    write_error_event,
    write_whole,
)
from peridotwell.serving.asgi import Exchange
from peridotwell.serving.attempts import Attempts, WholeAnswer
from peridotwell.serving.events import Event

__all__ = ('StreamAborted', 'serve_whole', 'serve_stream')


class StreamAborted(Exception):
    """Ends a response that has begun without completing it."""


async def serve_whole(
    exchange: Exchange,
    call: Call,
    attempts: Attempts,
) -> None:
    """Answer a call once its whole answer is there."""
    answer = await attempts.whole()
    await write_whole(exchange, answer, call.request_id)


async def serve_stream(
    exchange: Exchange,
    call: Call,
    attempts: Attempts,
    metrics: Metrics,
) -> None:
    """Pass a token stream on event by event.

    Raises StreamAborted after a failure that came too late for a status.
    """
    writer = _StreamWriter(exchange, call, attempts, metrics)
    received = int(call.headers.get('last-event-id', 0))
    try:
        async with aclosing(attempts.events(received)) as events:
            async for event in events:
                await writer.write(event)
    except RequestError as exc:
        if not exchange.status:
            raise
        await write_error_event(exchange, exc, call.request_id)
        raise StreamAborted from exc


class _StreamWriter:
    """Writes one stream and measures the times between its tokens."""

    def __init__(
        self,
        exchange: Exchange,
        call: Call,
        attempts: Attempts,
        metrics: Metrics,
    ) -> None:
        self._exchange = exchange
        self._call = call
        self._attempts = attempts
        self._began = time.monotonic()
        self._last = self._began
        self._first = metrics.sketch(_series(call, Measure.first_token))
        self._between = metrics.sketch(_series(call, Measure.between_tokens))

    async def write(self, event: Event | WholeAnswer) -> None:
        """Write one event, or an answer that came instead of a stream."""
        if isinstance(event, WholeAnswer):
            await write_whole(self._exchange, event, self._call.request_id)
            return
        now = time.monotonic()
        if self._exchange.status:
            self._between.add(now - self._last)
        else:
            self._first.add(now - self._began)
            await start_stream(
                self._exchange,
                self._attempts.placement,
                self._call.request_id,
            )
        self._last = now
        if event.is_end:
            await self._exchange.finish(event.raw)
        else:
            await self._exchange.write(event.raw)


def _series(call: Call, measure: Measure) -> Series:
    return Series(call.customer, call.priority_class, measure)
