"""The platform: key-value service and instance list over HTTP, with faults.

Faults are set by POST /faults with a JSON object of `Faults` fields:
`down` refuses every call, `silent` accepts and never answers, `slow_seconds`
delays each call, `lose_write_answers` applies the next N writes and drops
their answers, `stale_reads` serves reads from a snapshot taken when it was
set, `list_lag_seconds` delays the instance list.
"""

from typing import Any

import msgspec
import trio
from absl import app, flags

from peridotwell.errors import StoreConflict
from peridotwell.serving.asgi import HttpExchange
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
    """Switches for faults of the platform."""

    down: bool = False
    silent: bool = False
    slow_seconds: float = 0
    lose_write_answers: int = 0
    stale_reads: bool = False
    list_lag_seconds: float = 0
    calls_per_second: float = 0


class Platform:
    """The HTTP interface of the platform over a memory store."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.faults = Faults()
        self.calls: dict[str, int] = {}
        self._changed = trio.Event()
        self._stale: dict[str, Entry | None] = {}
        self._listings: list[tuple[float, Any]] = [(0, [])]
        self._tokens = float(0)
        self._tokens_at = float(0)

    async def handle(self, exchange: HttpExchange) -> None:
        """Answer one call."""
        kind = exchange.path.split('/')[1]
        if kind == 'faults':
            await self._set_faults(exchange)
            return
        if kind == 'calls':
            await exchange.answer_json(self.calls)
            return
        if kind == 'instances' and exchange.method == 'PUT':
            await self._put_instances(exchange)
            return
        counted = f'{exchange.method} {kind}'
        self.calls[counted] = self.calls.get(counted, 0) + 1
        if await self._fails(exchange):
            return
        await getattr(self, f'_{kind}')(exchange)

    async def _set_faults(self, exchange: HttpExchange) -> None:
        self.faults = msgspec.json.decode(await exchange.body(), type=Faults)
        self._stale.clear()
        if self.faults.stale_reads:
            now = trio.current_time()
            self._stale = {
                entry.key: entry for entry in self.store.read_prefix('', now)
            }
        await exchange.answer_json(self.faults)

    async def _fails(self, exchange: HttpExchange) -> bool:
        if self.faults.silent:
            await exchange.wait_gone()
            return True
        if self.faults.slow_seconds:
            await trio.sleep(self.faults.slow_seconds)
        if self.faults.down:
            await exchange.answer_json('down', DOWN_STATUS)
            return True
        if self._over_rate():
            await exchange.answer_json('rate', LIMITED_STATUS)
            return True
        return False

    def _over_rate(self) -> bool:
        rate = self.faults.calls_per_second
        if not rate:
            return False
        now = trio.current_time()
        refill = (now - self._tokens_at) * rate
        self._tokens = min(rate, self._tokens + refill)
        self._tokens_at = now
        if self._tokens < 1:
            return True
        self._tokens -= 1
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
            entry = self._stale.get(key)
        if entry is None:
            await exchange.answer_json('absent', ABSENT_STATUS)
            return
        revision = ('x-revision', str(entry.revision))
        await exchange.answer(200, entry.value, (revision,))

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
            await exchange.answer_json(str(exc), CONFLICT_STATUS)
            return
        self._changed.set()
        self._changed = trio.Event()
        if self.faults.lose_write_answers:
            self.faults.lose_write_answers -= 1
            raise ConnectionError('answer lost on purpose')
        await exchange.answer_json(revision)

    async def _read_prefix(
        self, exchange: HttpExchange, after: int = 0
    ) -> None:
        entries = self.store.read_prefix(
            exchange.query('prefix'),
            trio.current_time(),
            after,
        )
        await exchange.answer_json(entries)

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
            await exchange.answer_json(self.store.grant_lease(ttl, now))
            return
        try:
            self.store.keep_lease(exchange.path.removeprefix('/leases/'), now)
        except StoreConflict as exc:
            await exchange.answer_json(str(exc), CONFLICT_STATUS)
            return
        await exchange.answer_json('kept')

    async def _put_instances(self, exchange: HttpExchange) -> None:
        listed = msgspec.json.decode(await exchange.body())
        self._listings.append((trio.current_time(), listed))
        await exchange.answer_json('listed')

    async def _instances(self, exchange: HttpExchange) -> None:
        latest = trio.current_time() - self.faults.list_lag_seconds
        visible = [
            listed for since, listed in self._listings if since <= latest
        ]
        await exchange.answer_json(visible[-1] if visible else [])


def main(argv: list[str]) -> None:
    """Run the platform stand-in until it is ended."""
    run_server(Platform().handle, FLAGS.bind)


if __name__ == '__main__':
    app.run(main)
