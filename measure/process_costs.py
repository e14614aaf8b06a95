"""What a router process costs, by what it does.

`python -m measure.process_costs` starts one router, as on the platform, and one
pass-through of the same libraries. Callers, target and store share the process
of the measurement. Each figure is that of the measured process alone: its
processor time, and in a run of its own the calls of functions of its main
thread, which repeat from run to run.
"""

import itertools
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import httpcore
import msgspec
import trio

from peridotwell.serving.asgi import serve_http
from peridotwell.serving.http_exchange import HttpExchange
from tests.peridotwell_platform.stand_in import StoreStandIn, route
from tests.ports import find_free_port

__all__ = ('main',)

ROOT = Path(__file__).parent.parent
CALLERS = 4
REQUESTS = 400
STREAM_REQUESTS = 80
REST_SECONDS = 4.0
CHANGES = 10
ROUTES = 1700
CHANGE_SECONDS = 0.4
WAIT_SECONDS = 30.0
POLL_SECONDS = 0.02
FEW_EVENTS = 4
MANY_EVENTS = 44
EVENT_SECONDS = 0.003
MILLISECONDS = 1000
OK = 200
STREAMS = ('draft', 'ask')
CPU_CLOCK = 2
SETTINGS = """
node = "r1"
zone = "north"
ip = "127.0.0.1"
port_range = [{peers}, {handovers}]
[listen]
front = "127.0.0.1:{callers}"
ready_addr = "127.0.0.1:{ready}"
[provider]
address = "{store}"
"""
KINDS = (
    route('read', 'idempotent'),
    route('book', 'non_idempotent'),
    route('draft', 'streaming'),
    route('ask', 'streaming', resumable=True),
)
NUMBERS = itertools.count()
Read = Callable[[], float]


@dataclass(frozen=True)
class Measured:
    """A process, and how to read what it has spent."""

    address: str
    read: Read


async def respond(exchange: HttpExchange) -> None:
    """Answer as a target: at once, or a stream of events (`/draft/EVENTS`)."""
    await exchange.body()
    fields = (
        ('x-request-id', exchange.headers.get('x-request-id', '')),
        ('x-server-seal', 'seal.t1'),
        ('x-replica-load', '1,0,6'),
    )
    kind, events = exchange.path.split('/')[1:]
    if kind not in STREAMS:
        await exchange.respond(OK, b'done', fields)
        return
    await exchange.start_response(
        OK, (*fields, ('content-type', 'text/event-stream'))
    )
    for number in range(1, int(events) + 1):
        await exchange.write(b'id: %d\ndata: a token\n\n' % number)
        await trio.sleep(EVENT_SECONDS)
    await exchange.finish()


class Load:
    """Sends requests over kept connections."""

    def __init__(self, address: str) -> None:
        self._address = address

    async def run(
        self, path: str, status: int = OK, requests: int = REQUESTS
    ) -> None:
        """Send requests, CALLERS at a time."""
        async with trio.open_nursery() as nursery:
            for _ in range(CALLERS):
                nursery.start_soon(
                    self._call, path, status, requests // CALLERS
                )

    async def _call(self, path: str, status: int, requests: int) -> None:
        async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
            for _ in range(requests):
                response = await pool.request(
                    'POST' if status == OK else 'GET',
                    f'http://{self._address}{path}',
                    headers=self.headers(),
                    content=b'question' if status == OK else b'',
                )
                if response.status != status:
                    raise RuntimeError(f'{path}: status {response.status}')

    def headers(self) -> list[tuple[str, str]]:
        """Return the header fields of the next request."""
        number = next(NUMBERS)
        prompt = f'shared:800,p{number % 50}:400'
        return [
            ('host', 'a.example'),
            ('x-request-id', f'q{number}'),
            ('x-credential', 'key-1'),
            ('x-deadline-ms', '1500'),
            ('x-model', 'm1'),
            ('x-token-counts', '1200,40'),
            ('x-prompt-prefix', prompt),
        ]


def _write_configuration(store: StoreStandIn, version: int, more: int) -> None:
    extra = [
        route(f'extra{version}-{number}', 'idempotent')
        for number in range(min(1, more))
    ]
    others = [route(f'r{number}', 'idempotent') for number in range(more)]
    document = {
        'version': version,
        'routes': [*KINDS, *others, *extra],
        'services': [{'name': 'svc', 'max_conns': 100}],
        'tenants': [{'name': 'tenant-1', 'api_keys': ['key-1']}],
    }
    store.put('op/config', msgspec.json.encode(document))


class Bench:
    """The store, the target and the processes that are measured."""

    def __init__(self, folder: Path, *, counts: bool) -> None:
        self._folder = folder
        self._counts = counts
        self._processes: list[subprocess.Popen[bytes]] = []
        self.store = StoreStandIn()
        self.store.page_size = 100

    async def start_router(self, nursery: trio.Nursery) -> Measured:
        """Start the stand-ins and the router, and wait until it answers."""
        _write_configuration(self.store, 1, 0)
        self.target = await nursery.start(serve_http, respond, '127.0.0.1:0')
        entry = {
            'service': 'svc',
            'address': self.target,
            'zone': 'north',
            'state': 'ready',
            'born': 1,
        }
        self.store.put('servers/t1', msgspec.json.encode(entry))
        store = await nursery.start(
            serve_http, self.store.handle, '127.0.0.1:0'
        )
        ports = {
            name: find_free_port('127.0.0.1')
            for name in ('callers', 'ready', 'peers', 'handovers')
        }
        settings = self._folder / 'r1.toml'
        settings.write_text(SETTINGS.format(store=store, **ports))
        address = f'127.0.0.1:{ports["callers"]}'
        return await self._start(
            'router', address, (str(ROOT / 'platform/start.py'),), settings
        )

    async def start_pass_through(self) -> Measured:
        """Start the pass-through to the same target."""
        address = f'127.0.0.1:{find_free_port("127.0.0.1")}'
        program = str(ROOT / 'measure/passthrough.py')
        arguments = (f'--target={self.target}', f'--listen={address}')
        return await self._start(
            'pass-through', address, (program, *arguments), Path()
        )

    async def _start(
        self, name: str, address: str, program: tuple[str, ...], settings: Path
    ) -> Measured:
        counts = self._folder / f'{name}.count'
        wrapper = ('-m', 'measure.counted_process', str(counts))
        process = subprocess.Popen(
            [sys.executable, *(wrapper if self._counts else ()), *program],
            cwd=ROOT,
            env={
                **os.environ,
                'PERIDOTWELL_SETTINGS': str(settings),
                'PYTHONPATH': str(ROOT),
            },
            stdout=(self._folder / f'{name}.log').open('wb'),
            stderr=subprocess.STDOUT,
        )
        self._processes.append(process)
        read = partial(_processor_milliseconds, process.pid)
        if self._counts:
            read = partial(_calls, process, counts)
        measured = Measured(address, read)
        with trio.fail_after(WAIT_SECONDS):
            while not await _answers(address):
                await trio.sleep(POLL_SECONDS)
        return measured

    def end(self) -> None:
        """End the processes."""
        for process in self._processes:
            process.kill()
            process.wait()


async def _answers(address: str) -> bool:
    try:
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request(
                'POST',
                f'http://{address}/read/x',
                headers=Load(address).headers(),
                content=b'question',
            )
    except httpcore.NetworkError:
        return False
    return response.status == OK


def _processor_milliseconds(pid: int) -> float:
    return time.clock_gettime(~pid << 3 | CPU_CLOCK) * MILLISECONDS


def _calls(process: subprocess.Popen[bytes], counts: Path) -> float:
    counts.unlink(missing_ok=True)
    process.send_signal(signal.SIGUSR1)
    while not counts.exists():
        time.sleep(POLL_SECONDS)
    return float(counts.read_text())


async def _spent(
    measured: Measured, work: Callable[[], Awaitable[None]]
) -> float:
    before = measured.read()
    await work()
    return measured.read() - before


async def _measure(folder: Path, *, counts: bool) -> dict[str, float]:
    bench = Bench(folder, counts=counts)
    async with trio.open_nursery() as nursery:
        try:
            return await _measure_all(bench, nursery)
        finally:
            bench.end()
            nursery.cancel_scope.cancel()


async def _measure_all(bench: Bench, nursery: trio.Nursery) -> dict[str, float]:
    router = await bench.start_router(nursery)
    costs = {'start, until the first answer': router.read()}
    through = await bench.start_pass_through()
    costs['start, pass-through'] = through.read()
    costs['second at rest, alone'] = await _per(
        router, partial(trio.sleep, REST_SECONDS), REST_SECONDS
    )
    costs |= await _measure_requests('router', router, ('read', 'book'))
    costs |= await _measure_requests('pass-through', through, ('read',))
    costs['request refused: unknown path'] = await _per(
        router, partial(Load(router.address).run, '/none/x', 404), REQUESTS
    )
    for kind in STREAMS:
        costs |= await _measure_stream('router', router, kind)
    costs |= await _measure_stream('pass-through', through, 'draft')
    costs |= await _measure_changes(bench, router)
    return costs


async def _measure_changes(bench: Bench, router: Measured) -> dict[str, float]:
    _write_configuration(bench.store, 2, ROUTES)
    await trio.sleep(1)
    change = await _per(router, partial(_change, bench.store), CHANGES)
    return {f'change of a configuration of {ROUTES} routes': change}


async def _measure_requests(
    name: str, measured: Measured, kinds: Iterable[str]
) -> dict[str, float]:
    load = Load(measured.address)
    await load.run('/read/x')
    return {
        f'request {kind}, {name}': await _per(
            measured, partial(load.run, f'/{kind}/x'), REQUESTS
        )
        for kind in kinds
    }


async def _measure_stream(
    name: str, measured: Measured, kind: str
) -> dict[str, float]:
    load = Load(measured.address)
    few, many = [
        await _per(
            measured,
            partial(load.run, f'/{kind}/{events}', OK, STREAM_REQUESTS),
            STREAM_REQUESTS,
        )
        for events in (FEW_EVENTS, MANY_EVENTS)
    ]
    event = (many - few) / (MANY_EVENTS - FEW_EVENTS)
    return {
        f'stream {kind} without its events, {name}': few - FEW_EVENTS * event,
        f'event of {kind}, {name}': event,
    }


async def _change(store: StoreStandIn) -> None:
    for number in range(CHANGES):
        _write_configuration(store, number + 3, ROUTES)
        await trio.sleep(CHANGE_SECONDS)


async def _per(
    measured: Measured, work: Callable[[], Awaitable[None]], number: float
) -> float:
    return await _spent(measured, work) / number


def _table(times: dict[str, float], calls: dict[str, float]) -> Iterable[str]:
    yield '| what | processor ms | calls of functions |'
    yield '| --- | --- | --- |'
    for what, milliseconds in times.items():
        yield f'| {what} | {milliseconds:.2f} | {calls[what]:.0f} |'


def main() -> None:
    """Measure, and print the table."""
    with tempfile.TemporaryDirectory(dir=Path.home()) as folder:
        times = trio.run(partial(_measure, Path(folder), counts=False))
        calls = trio.run(partial(_measure, Path(folder), counts=True))
    for line in _table(times, calls):
        sys.stdout.write(f'{line}\n')


if __name__ == '__main__':
    main()
