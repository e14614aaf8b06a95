"""A simulated platform: key-value store and instance list over HTTP.

POST /faults sets the faults to inject, as a JSON object of `Faults` fields.
GET /calls returns the number of calls by method and kind.
"""

from typing import Any

import msgspec
import trio
from absl import app, flags

from peridotwell.errors import StoreConflict
from peridotwell.serving.http_exchange import HttpExchange
from peridotwell.store.base import Entry
from standins.memory_store import MemoryStore
from standins.server import run_server

__all__ = ('Platform',)

FLAGS = flags.FLAGS
flags.DEFINE_string('bind', '127.0.0.1:0', 'host:port to listen on')

CONFLICT_STATUS = 409
ABSENT_STATUS = 404
DOWN_STATUS = 503
LIMITED_STATUS = 429


class Faults(msgspec.Struct):
    """The faults that the platform injects.

    down: rejects every call with status 503.
    silent: accepts calls and never responds.
    slow_seconds: delays each call.
    lose_write_answers: applies this many writes and drops their responses.
    stale_reads: serves reads of single keys from a snapshot that is taken
    when the fault is set.
    list_lag_seconds: delays changes of the instance list.
    calls_per_second: rejects calls above this rate with status 429; 0: off.
    """

    down: bool = False
    silent: bool = False
    slow_seconds: float = 0
    lose_write_answers: int = 0
    stale_reads: bool = False
    list_lag_seconds: float = 0
    calls_per_second: float = 0


class Platform:
    """The platform's HTTP request handler, on top of an in-memory store."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.faults = Faults()
        self.calls: dict[str, int] = {}
        self._changed = trio.Event()
        self._stale_entries: dict[str, Entry | None] = {}
        self._instance_lists: list[tuple[float, Any]] = [(0, [])]
        self._rate_tokens = float(0)
        self._rate_tokens_updated_at = float(0)

    async def handle(self, exchange: HttpExchange) -> None:
        """Handle one call.

        The first path segment selects the handler method, `_<segment>`.
        """
        kind = exchange.path.split('/')[1]
        if kind == 'faults':
            await self._set_faults(exchange)
            return
        if kind == 'calls':
            await exchange.respond_json(self.calls)
            return
        if kind == 'instances' and exchange.method == 'PUT':
            await self._put_instances(exchange)
            return
        call_name = f'{exchange.method} {kind}'
        self.calls[call_name] = self.calls.get(call_name, 0) + 1
        if await self._handled_by_fault(exchange):
            return
        await getattr(self, f'_{kind}')(exchange)

    async def _set_faults(self, exchange: HttpExchange) -> None:
        self.faults = msgspec.json.decode(await exchange.body(), type=Faults)
        self._stale_entries.clear()
        if self.faults.stale_reads:
            now = trio.current_time()
            self._stale_entries = {
                entry.key: entry for entry in self.store.read_prefix('', now)
            }
        await exchange.respond_json(self.faults)

    async def _handled_by_fault(self, exchange: HttpExchange) -> bool:
        """Apply the injected faults; return whether they ended the call."""
        if self.faults.silent:
            await exchange.wait_for_disconnect()
            return True
        if self.faults.slow_seconds:
            await trio.sleep(self.faults.slow_seconds)
        if self.faults.down:
            await exchange.respond_json('down', DOWN_STATUS)
            return True
        if self._exceeds_rate_limit():
            await exchange.respond_json('rate', LIMITED_STATUS)
            return True
        return False

    def _exceeds_rate_limit(self) -> bool:
        rate = self.faults.calls_per_second
        if not rate:
            return False
        now = trio.current_time()
        refill = (now - self._rate_tokens_updated_at) * rate
        self._rate_tokens = min(rate, self._rate_tokens + refill)
        self._rate_tokens_updated_at = now
        if self._rate_tokens < 1:
            return True
        self._rate_tokens -= 1
        return False

    async def _kv(self, exchange: HttpExchange) -> None:
        key = exchange.path.removeprefix('/kv/')
        if exchange.method == 'PUT':
            await self._write(exchange, key)
            return
        if exchange.query('prefix'):
            await self._read_prefix(exchange)
            return
        entry = self.store.read(key, trio.current_time())
        if self.faults.stale_reads:
            entry = self._stale_entries.get(key)
        if entry is None:
            await exchange.respond_json('absent', ABSENT_STATUS)
            return
        revision = ('x-revision', str(entry.revision))
        await exchange.respond(200, entry.value, (revision,))

    async def _write(self, exchange: HttpExchange, key: str) -> None:
        value = await exchange.body()
        entry = Entry(key, value, int(exchange.query('expected')))
        try:
            revision = self.store.write(
                entry,
                exchange.query('lease'),
                trio.current_time(),
            )
        except StoreConflict as exc:
            await exchange.respond_json(str(exc), CONFLICT_STATUS)
            return
        self._changed.set()
        self._changed = trio.Event()
        if self.faults.lose_write_answers:
            self.faults.lose_write_answers -= 1
            raise ConnectionError('injected fault: response to a write dropped')
        await exchange.respond_json(revision)

    async def _read_prefix(
        self, exchange: HttpExchange, after: int = 0
    ) -> None:
        entries = self.store.read_prefix(
            exchange.query('prefix'),
            trio.current_time(),
            after,
        )
        await exchange.respond_json(entries)

    async def _watch(self, exchange: HttpExchange) -> None:
        after = int(exchange.query('after'))
        with trio.move_on_after(float(exchange.query('wait'))):
            while not self.store.read_prefix(
                exchange.query('prefix'),
                trio.current_time(),
                after,
            ):
                await self._changed.wait()
        await self._read_prefix(exchange, after)

    async def _leases(self, exchange: HttpExchange) -> None:
        now = trio.current_time()
        if exchange.method == 'POST':
            ttl = float(exchange.query('ttl'))
            await exchange.respond_json(self.store.grant_lease(ttl, now))
            return
        try:
            self.store.renew_lease(exchange.path.removeprefix('/leases/'), now)
        except StoreConflict as exc:
            await exchange.respond_json(str(exc), CONFLICT_STATUS)
            return
        await exchange.respond_json('kept')

    async def _put_instances(self, exchange: HttpExchange) -> None:
        instances = msgspec.json.decode(await exchange.body())
        self._instance_lists.append((trio.current_time(), instances))
        await exchange.respond_json('listed')

    async def _instances(self, exchange: HttpExchange) -> None:
        latest_visible_time = trio.current_time() - self.faults.list_lag_seconds
        visible_lists = [
            instances
            for published_at, instances in self._instance_lists
            if published_at <= latest_visible_time
        ]
        await exchange.respond_json(visible_lists[-1] if visible_lists else [])


def main(argv: list[str]) -> None:
    """Run the simulated platform until the process is ended."""
    run_server(Platform().handle, FLAGS.bind)


if __name__ == '__main__':
    app.run(main)
