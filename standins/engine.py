"""A simulated model engine with batch slots, a prefix cache and faults.

It serves these paths:

- POST /v1/chat/completions generates tokens, as a stream or as one response.
- GET /health reports the load and whether the engine is leaving.
- GET /counts returns how many requests were started, finished and cancelled,
  and the highest number of requests at the same time (`peak`).
- GET /cache-events lists recent additions to and removals from the cache.
- POST /orders takes an order with a fencing number; GET returns the orders.
- POST /faults sets the faults to inject, as a JSON object of `Faults` fields.
"""

import os
import uuid
from collections import OrderedDict, deque
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import msgspec
import trio
from absl import app, flags

from peridotwell.serving.http_exchange import HttpExchange
from standins import exit_statuses
from standins.batch_slots import BatchSlots
from standins.server import run_server
from standins.tokens import prompt_prefixes, token_at

__all__ = ('Engine',)

FLAGS = flags.FLAGS
flags.DEFINE_string('bind', '127.0.0.1:0', 'host:port to listen on')
flags.DEFINE_integer('slots', 16, 'requests that run at the same time')
flags.DEFINE_float('token_seconds', 0.005, 'time to generate one token')
flags.DEFINE_integer('cache_tokens', 100000, 'prefix cache size in tokens')
flags.DEFINE_float('report_lag_seconds', 0.5, 'age of the reported load')

CACHE_EVENT_LIMIT = 256


class Faults(msgspec.Struct):
    """The faults that the engine injects.

    leaving: refuses new requests with status 503.
    crash_marker: exits when a prompt contains this text.
    silent_after_tokens: sends nothing more after this many tokens; -1: off.
    cut_after_tokens: closes the connection after this many tokens; -1: off.
    crossed: responds with the request ID of another request.
    repeat_token: sends the previous token again before this position; -1: off.
    skip_token: leaves out the token at this position; -1: off.
    late_seconds: delays the start of each response.
    drop_every_event: drops every n-th cache event; 0: none.
    event_lag_seconds: hides cache events that are younger than this.
    ignore_fencing: accepts orders with outdated fencing numbers.
    once: clears all faults but `leaving` when a response has been crossed, cut
    or silenced, or a token repeated or skipped.
    """

    leaving: bool = False
    crash_marker: str = ''
    silent_after_tokens: int = -1
    cut_after_tokens: int = -1
    crossed: bool = False
    repeat_token: int = -1
    skip_token: int = -1
    late_seconds: float = 0
    drop_every_event: int = 0
    event_lag_seconds: float = 0
    ignore_fencing: bool = False
    once: bool = True


@dataclass(frozen=True)
class Generation:
    """The parameters of one generation; token positions start at 1."""

    request_id: str
    prompt: str
    first_position: int
    last_position: int
    cached_tokens: int
    stream: bool
    priority: int


class Engine:
    """The engine's state and its HTTP request handler."""

    def __init__(
        self,
        slots: int,
        token_seconds: float,
        cache_tokens: int,
        report_lag_seconds: float,
    ) -> None:
        self.boot = uuid.uuid4().hex
        self.faults = Faults()
        self.slots = slots
        self.token_seconds = token_seconds
        self.cache_tokens = cache_tokens
        self.report_lag_seconds = report_lag_seconds
        self.counts = {'started': 0, 'finished': 0, 'cancelled': 0, 'peak': 0}
        self._running = 0
        self._batch = BatchSlots(slots)
        self.highest_fence = 0
        self.orders: list[dict[str, Any]] = []
        self._cache: OrderedDict[int, int] = OrderedDict()
        self._cache_events: deque[tuple[float, dict[str, Any]]] = deque(
            maxlen=CACHE_EVENT_LIMIT
        )
        self._load_history: deque[tuple[float, int]] = deque([(0, 0)])
        self._last_event_number = 0

    async def handle(self, exchange: HttpExchange) -> None:
        """Handle one HTTP request."""
        if exchange.path == '/faults':
            body = await exchange.body()
            self.faults = msgspec.json.decode(body, type=Faults)
            await exchange.respond_json(self.faults)
        elif exchange.path == '/health':
            await exchange.respond_json(self._health(trio.current_time()))
        elif exchange.path == '/counts':
            await exchange.respond_json(self.counts)
        elif exchange.path == '/orders':
            await self._handle_order(exchange)
        elif exchange.path == '/cache-events':
            latest_visible_time = (
                trio.current_time() - self.faults.event_lag_seconds
            )
            events = [
                event
                for created_at, event in self._cache_events
                if created_at <= latest_visible_time
            ]
            await exchange.respond_json(events)
        else:
            await self._handle_completion(exchange)

    async def _handle_order(self, exchange: HttpExchange) -> None:
        """Record an order unless a newer fencing number has been seen."""
        if exchange.method == 'GET':
            await exchange.respond_json(self.orders)
            return
        order = msgspec.json.decode(await exchange.body())
        if (
            order['fence'] < self.highest_fence
            and not self.faults.ignore_fencing
        ):
            await exchange.respond_json({'fence': self.highest_fence}, 409)
            return
        self.highest_fence = max(self.highest_fence, order['fence'])
        self.orders.append(order)
        await exchange.respond_json({'fence': self.highest_fence})

    def _health(self, now: float) -> dict[str, Any]:
        while (
            len(self._load_history) > 1
            and self._load_history[1][0] <= now - self.report_lag_seconds
        ):
            self._load_history.popleft()
        return {
            'boot': self.boot,
            'leaving': self.faults.leaving,
            'slots': self.slots,
            'running': self._load_history[0][1],
        }

    async def _handle_completion(self, exchange: HttpExchange) -> None:
        body = await exchange.body()
        if self.faults.leaving:
            refused = (('x-refused', 'leaving'),)
            await exchange.respond_json('leaving', 503, refused)
            return
        self._adjust_running_count(1)
        try:
            await self._generate(exchange, body)
        finally:
            self._adjust_running_count(-1)

    def _adjust_running_count(self, difference: int) -> None:
        self._running += difference
        self.counts['peak'] = max(self.counts['peak'], self._running)
        self._load_history.append((trio.current_time(), self._running))

    async def _generate(self, exchange: HttpExchange, body: bytes) -> None:
        generation = self._parse_request(exchange, msgspec.json.decode(body))
        if self.faults.crash_marker and (
            self.faults.crash_marker in generation.prompt
        ):
            await trio.sleep(self.token_seconds * 2)
            os._exit(exit_statuses.CRASH)
        self.counts['started'] += 1
        finished = False
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._watch_caller,
                    exchange,
                    nursery.cancel_scope,
                )
                async with self._batch.slot(generation.priority):
                    await self._respond(exchange, generation)
                finished = True
                nursery.cancel_scope.cancel()
        finally:
            self.counts['finished' if finished else 'cancelled'] += 1

    async def _watch_caller(
        self,
        exchange: HttpExchange,
        scope: trio.CancelScope,
    ) -> None:
        await exchange.wait_for_disconnect()
        scope.cancel()

    def _parse_request(
        self, exchange: HttpExchange, req: dict[str, Any]
    ) -> Generation:
        messages = req['messages']
        request_id = exchange.headers.get('x-request-id', 'none')
        if self.faults.crossed:
            request_id = 'of-another-request'
            self._clear_one_time_faults()
        return Generation(
            request_id,
            '|'.join(str(message.get('content')) for message in messages),
            1 + int(exchange.headers.get('last-event-id', 0)),
            int(req.get('max_tokens', 16)),
            self._cache_prompt(messages),
            bool(req.get('stream')),
            int(exchange.headers.get('x-priority', 1)),
        )

    def _cache_prompt(self, messages: list[dict[str, str]]) -> int:
        cached = 0
        for digest, tokens in prompt_prefixes(messages):
            if digest in self._cache:
                cached = tokens
            self._cache[digest] = tokens
            self._cache.move_to_end(digest)
            self._record_cache_event('stored', digest)
        while len(self._cache) > 1 and (
            sum(self._cache.values()) > self.cache_tokens
        ):
            removed, _ = self._cache.popitem(last=False)
            self._record_cache_event('removed', removed)
        return cached

    def _record_cache_event(self, kind: str, digest: int) -> None:
        self._last_event_number += 1
        drop_interval = self.faults.drop_every_event
        if not drop_interval or self._last_event_number % drop_interval:
            event = {
                'seq': self._last_event_number,
                'kind': kind,
                'prefix': digest,
            }
            self._cache_events.append((trio.current_time(), event))

    async def _respond(
        self,
        exchange: HttpExchange,
        generation: Generation,
    ) -> None:
        await trio.sleep(self.faults.late_seconds)
        headers = (
            ('x-request-id', generation.request_id),
            ('x-cached-tokens', str(generation.cached_tokens)),
        )
        if not generation.stream:
            tokens = [
                token async for _, token in self._generate_tokens(generation)
            ]
            await exchange.respond_json(
                _completion_document(generation, ''.join(tokens)),
                headers=headers,
            )
            return
        event_stream = ('content-type', 'text/event-stream')
        await exchange.start_response(200, (event_stream, *headers))
        async for position, token in self._generate_tokens(generation):
            await exchange.write(
                _format_stream_event(generation, position, token)
            )
        await exchange.write(b'data: [DONE]\n\n')
        await exchange.finish()

    async def _generate_tokens(
        self,
        generation: Generation,
    ) -> AsyncIterator[tuple[int, str]]:
        for position in range(
            generation.first_position, generation.last_position + 1
        ):
            await trio.sleep(self.token_seconds)
            generated_count = position - generation.first_position
            if generated_count == self.faults.silent_after_tokens:
                self._clear_one_time_faults()
                await trio.sleep_forever()
            if generated_count == self.faults.cut_after_tokens:
                self._clear_one_time_faults()
                raise ConnectionError(
                    'injected fault: connection closed within the response'
                )
            if position == self.faults.skip_token:
                self._clear_one_time_faults()
                continue
            if position == self.faults.repeat_token:
                self._clear_one_time_faults()
                yield position - 1, token_at(generation.prompt, position - 1)
            yield position, token_at(generation.prompt, position)

    def _clear_one_time_faults(self) -> None:
        if self.faults.once:
            self.faults = Faults(leaving=self.faults.leaving)


def _format_stream_event(
    generation: Generation, position: int, token: str
) -> bytes:
    chunk = {
        'id': generation.request_id,
        'object': 'chat.completion.chunk',
        'choices': [{'index': 0, 'delta': {'content': token}}],
    }
    encoded = msgspec.json.encode(chunk).decode()
    return f'id: {position}\ndata: {encoded}\n\n'.encode()


def _completion_document(generation: Generation, text: str) -> dict[str, Any]:
    message = {'role': 'assistant', 'content': text}
    return {
        'id': generation.request_id,
        'object': 'chat.completion',
        'choices': [{'index': 0, 'message': message, 'finish_reason': 'stop'}],
        'usage': {'completion_tokens': generation.last_position},
    }


def main(argv: list[str]) -> None:
    """Run the simulated engine until the process is ended."""
    engine = Engine(
        FLAGS.slots,
        FLAGS.token_seconds,
        FLAGS.cache_tokens,
        FLAGS.report_lag_seconds,
    )
    run_server(engine.handle, FLAGS.bind)


if __name__ == '__main__':
    app.run(main)
