"""A model engine: batch slots, prefix cache, token streams, and faults.

Answers POST /v1/chat/completions, GET /health, GET /cache-events, and orders
with a fencing number on POST /orders (GET reads them back). Faults
are set by POST /faults with a JSON object of `Faults` fields.
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

from peridotwell.serving.asgi import HttpExchange
from standins.batch_slots import BatchSlots
from standins.server import run_server
from standins.tokens import prompt_prefixes, token_at

__all__ = ('Engine',)

FLAGS = flags.FLAGS
flags.DEFINE_string('bind', '127.0.0.1:0', 'host:port to listen on')
flags.DEFINE_integer('slots', 16, 'requests in one batch')
flags.DEFINE_float('token_seconds', 0.005, 'time for one token')
flags.DEFINE_integer('cache_tokens', 100000, 'prefix cache size in tokens')
flags.DEFINE_float('report_lag_seconds', 0.5, 'age of the reported load')

CRASH_EXIT = 3
EVENT_LIMIT = 256


class Faults(msgspec.Struct):
    """Switches for faults of the engine."""

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
    """One request as the engine runs it."""

    request_id: str
    prompt: str
    first: int
    last: int
    cached_tokens: int
    stream: bool
    priority: int


class Engine:
    """The engine's state and HTTP interface."""

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
        self.fence = 0
        self.orders: list[dict[str, Any]] = []
        self._cache: OrderedDict[int, int] = OrderedDict()
        self._events: deque[tuple[float, dict[str, Any]]] = deque(
            maxlen=EVENT_LIMIT
        )
        self._loads: deque[tuple[float, int]] = deque([(0, 0)])
        self._sequence = 0

    async def handle(self, exchange: HttpExchange) -> None:
        """Answer one request."""
        if exchange.path == '/faults':
            body = await exchange.body()
            self.faults = msgspec.json.decode(body, type=Faults)
            await exchange.answer_json(self.faults)
        elif exchange.path == '/health':
            await exchange.answer_json(self._health(trio.current_time()))
        elif exchange.path == '/counts':
            await exchange.answer_json(self.counts)
        elif exchange.path == '/orders':
            await self._take_order(exchange)
        elif exchange.path == '/cache-events':
            latest = trio.current_time() - self.faults.event_lag_seconds
            events = [event for at, event in self._events if at <= latest]
            await exchange.answer_json(events)
        else:
            await self._complete(exchange)

    async def _take_order(self, exchange: HttpExchange) -> None:
        """Take an order with a fencing number, unless it is an old one."""
        if exchange.method == 'GET':
            await exchange.answer_json(self.orders)
            return
        order = msgspec.json.decode(await exchange.body())
        if order['fence'] < self.fence and not self.faults.ignore_fencing:
            await exchange.answer_json({'fence': self.fence}, 409)
            return
        self.fence = max(self.fence, order['fence'])
        self.orders.append(order)
        await exchange.answer_json({'fence': self.fence})

    def _health(self, now: float) -> dict[str, Any]:
        while (
            len(self._loads) > 1
            and self._loads[1][0] <= now - self.report_lag_seconds
        ):
            self._loads.popleft()
        return {
            'boot': self.boot,
            'leaving': self.faults.leaving,
            'slots': self.slots,
            'running': self._loads[0][1],
        }

    async def _complete(self, exchange: HttpExchange) -> None:
        body = await exchange.body()
        if self.faults.leaving:
            refused = (('x-refused', 'leaving'),)
            await exchange.answer_json('leaving', 503, refused)
            return
        self._count_running(1)
        try:
            await self._generate(exchange, body)
        finally:
            self._count_running(-1)

    def _count_running(self, change: int) -> None:
        self._running += change
        self.counts['peak'] = max(self.counts['peak'], self._running)
        self._loads.append((trio.current_time(), self._running))

    async def _generate(self, exchange: HttpExchange, body: bytes) -> None:
        generation = self._admit(exchange, msgspec.json.decode(body))
        if self.faults.crash_marker and (
            self.faults.crash_marker in generation.prompt
        ):
            await trio.sleep(self.token_seconds * 2)
            os._exit(CRASH_EXIT)
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
        await exchange.wait_gone()
        scope.cancel()

    def _admit(self, exchange: HttpExchange, req: dict[str, Any]) -> Generation:
        messages = req['messages']
        request_id = exchange.headers.get('x-request-id', 'none')
        if self.faults.crossed:
            request_id = 'of-another-request'
            self._spend_fault()
        return Generation(
            request_id,
            '|'.join(str(message.get('content')) for message in messages),
            1 + int(exchange.headers.get('last-event-id', 0)),
            int(req.get('max_tokens', 16)),
            self._remember(messages),
            bool(req.get('stream')),
            int(exchange.headers.get('x-priority', 1)),
        )

    def _remember(self, messages: list[dict[str, str]]) -> int:
        cached = 0
        for digest, tokens in prompt_prefixes(messages):
            if digest in self._cache:
                cached = tokens
            self._cache[digest] = tokens
            self._cache.move_to_end(digest)
            self._publish('stored', digest)
        while len(self._cache) > 1 and (
            sum(self._cache.values()) > self.cache_tokens
        ):
            removed, _ = self._cache.popitem(last=False)
            self._publish('removed', removed)
        return cached

    def _publish(self, kind: str, digest: int) -> None:
        self._sequence += 1
        gap = self.faults.drop_every_event
        if not gap or self._sequence % gap:
            event = {'seq': self._sequence, 'kind': kind, 'prefix': digest}
            self._events.append((trio.current_time(), event))

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
            tokens = [token async for _, token in self._tokens(generation)]
            await exchange.answer_json(
                _whole_answer(generation, ''.join(tokens)),
                headers=headers,
            )
            return
        event_stream = ('content-type', 'text/event-stream')
        await exchange.start(200, (event_stream, *headers))
        async for position, token in self._tokens(generation):
            await exchange.write(_event(generation, position, token))
        await exchange.write(b'data: [DONE]\n\n')
        await exchange.finish()

    async def _tokens(
        self,
        generation: Generation,
    ) -> AsyncIterator[tuple[int, str]]:
        for position in range(generation.first, generation.last + 1):
            await trio.sleep(self.token_seconds)
            made = position - generation.first
            if made == self.faults.silent_after_tokens:
                self._spend_fault()
                await trio.sleep_forever()
            if made == self.faults.cut_after_tokens:
                self._spend_fault()
                raise ConnectionError('answer cut on purpose')
            if position == self.faults.skip_token:
                self._spend_fault()
                continue
            if position == self.faults.repeat_token:
                self._spend_fault()
                yield position - 1, token_at(generation.prompt, position - 1)
            yield position, token_at(generation.prompt, position)

    def _spend_fault(self) -> None:
        if self.faults.once:
            self.faults = Faults(leaving=self.faults.leaving)


def _event(generation: Generation, position: int, token: str) -> bytes:
    chunk = {
        'id': generation.request_id,
        'object': 'chat.completion.chunk',
        'choices': [{'index': 0, 'delta': {'content': token}}],
    }
    encoded = msgspec.json.encode(chunk).decode()
    return f'id: {position}\ndata: {encoded}\n\n'.encode()


def _whole_answer(generation: Generation, text: str) -> dict[str, Any]:
    message = {'role': 'assistant', 'content': text}
    return {
        'id': generation.request_id,
        'object': 'chat.completion',
        'choices': [{'index': 0, 'message': message, 'finish_reason': 'stop'}],
        'usage': {'completion_tokens': generation.last},
    }


def main(argv: list[str]) -> None:
    """Run the engine stand-in until it is ended."""
    engine = Engine(
        FLAGS.slots,
        FLAGS.token_seconds,
        FLAGS.cache_tokens,
        FLAGS.report_lag_seconds,
    )
    run_server(engine.handle, FLAGS.bind)


if __name__ == '__main__':
    app.run(main)
