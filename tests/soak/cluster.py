"""Routers as processes, between callers, targets and a store.

Targets and the store are our stand-ins in this process, each behind a proxy,
so what they see is known here.
"""

import os
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import msgspec
import trio

from peridotwell.serving.asgi import serve_http
from tests.peridotwell_platform.stand_in import StoreStandIn, receipt, route
from tests.ports import find_free_port
from tests.soak.guarantees import GuaranteeChecker
from tests.soak.proxy import FaultProxy, start_proxy

__all__ = (
    'DEADLINE_SECONDS',
    'Router',
    'SoakTarget',
    'SoakCluster',
    'start_cluster',
)

ROOT = Path(__file__).parent.parent.parent
DEADLINE_SECONDS = 1.5
WORK_SECONDS = 0.03
# Each router has an address of its own on loopback.
FIRST_ADDRESS = 10
EVENTS = 4
# After this time, a target that leaves gets no more work.
LEAVE_SECONDS = 2.5
DATA_CENTRES = ('north', 'south')
SETTINGS = """
node = "{name}"
zone = "{data_centre}"
ip = "{ip}"
port_range = [{peers}, {peers}]
[listen]
front = "{ip}:{callers}"
ready_addr = "{ip}:{ready}"
[provider]
address = "{store}"
[bounds]
grace_s = 5
"""


# An objective that the targets keep when nothing harms them.
_route = partial(route, slo_ms=200)
ROUTES = (
    _route('read', 'idempotent'),
    _route('book', 'non_idempotent', max_attempts=1),
    _route('draft', 'streaming', max_attempts=1),
    _route('ask', 'streaming', resumable=True),
)


@dataclass
class Router:
    """One router; `disturbed_at` is when it was last killed or paused."""

    name: str
    settings: Path
    address: str
    process: subprocess.Popen[bytes] | None = None
    disturbed_at: float = float('-inf')
    is_stopping: bool = False

    def start(self, log: Path) -> None:
        """Start its process."""
        with log.open('ab') as out:
            self.process = subprocess.Popen(
                [sys.executable, 'platform/start.py'],
                cwd=ROOT,
                env={**os.environ, 'PERIDOTWELL_SETTINGS': str(self.settings)},
                stdout=out,
                stderr=out,
            )
        self.is_stopping = False

    def resume(self, log: Path) -> None:
        """Let it go on if it is paused, start it if it is gone."""
        self.signal(signal.SIGCONT)
        if self.process is not None and self.process.poll() is not None:
            self.start(log)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to its own process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


@dataclass
class SoakTarget:
    """A target that answers with the request's id."""

    name: str
    data_centre: str
    checker: GuaranteeChecker
    link: FaultProxy | None = None
    fails: bool = False
    left_at: float = float('inf')

    async def handle(self, exchange) -> None:
        """Run one request."""
        await exchange.body()
        request = exchange.headers['x-request-id']
        now = trio.current_time()
        is_gone = now - self.left_at > LEAVE_SECONDS
        self.checker.record_run(request, self.name, is_leaving=is_gone)
        if '/draft/' in exchange.path or '/ask/' in exchange.path:
            await self._stream(exchange, request)
            return
        await trio.sleep(WORK_SECONDS)
        status = 500 if self.fails else 200
        await exchange.answer(status, request.encode(), receipt(self, exchange))

    async def _stream(self, exchange, request: str) -> None:
        await exchange.start(200, receipt(self, exchange))
        after = int(exchange.headers.get('last-event-id', '0'))
        for number in range(after + 1, EVENTS + 1):
            await trio.sleep(WORK_SECONDS)
            await exchange.write(b'id: %d\ndata: x\n\n' % number)
        await exchange.finish(b': ' + request.encode())


@dataclass
class SoakCluster:
    """Everything of one run."""

    folder: Path
    store: StoreStandIn
    store_proxy: FaultProxy
    checker: GuaranteeChecker
    routers: list[Router] = field(default_factory=list)
    targets: list[SoakTarget] = field(default_factory=list)
    version: int = 0

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        extra = _route(f'extra{self.version}', 'idempotent')
        document = {
            'version': self.version,
            'routes': [*ROUTES, extra],
            'services': [{'name': 'svc', 'max_conns': 100}],
            'tenants': [{'name': 'tenant-1', 'api_keys': ['key-1']}],
        }
        self.store.put('op/config', msgspec.json.encode(document))

    def list_target(self, target: SoakTarget, state: str) -> None:
        """Write a target's entry."""
        leaves = state == 'draining'
        target.left_at = trio.current_time() if leaves else float('inf')
        row = {
            'service': 'svc',
            'address': target.link.address,
            'zone': target.data_centre,
            'state': state,
        }
        self.store.put(f'servers/{target.name}', msgspec.json.encode(row))

    def log(self, router: Router) -> Path:
        """Return where a router's log goes."""
        return self.folder / f'{router.name}.log'

    def end(self) -> None:
        """Kill what this site has started."""
        for router in self.routers:
            router.signal(signal.SIGCONT)
            router.signal(signal.SIGKILL)
            if router.process is not None:
                router.process.wait()


async def start_cluster(
    nursery: trio.Nursery,
    folder: Path,
    routers: int,
    targets: int,
) -> SoakCluster:
    """Start the stand-ins and the routers."""
    store = StoreStandIn()
    store.page = 100
    place = await nursery.start(serve_http, store.handle, '127.0.0.1:0')
    checker = GuaranteeChecker(DEADLINE_SECONDS)
    cluster = SoakCluster(
        folder, store, await start_proxy(nursery, place), checker
    )
    cluster.configure()
    for number in range(targets):
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        target = SoakTarget(f't{number}', data_centre, checker)
        place = await nursery.start(serve_http, target.handle, '127.0.0.1:0')
        target.link = await start_proxy(nursery, place)
        cluster.targets.append(target)
        cluster.list_target(target, 'ready')
    for number in range(routers):
        cluster.routers.append(_make_router(cluster, number))
    for router in cluster.routers:
        router.start(cluster.log(router))
    return cluster


def _make_router(cluster: SoakCluster, number: int) -> Router:
    name = f'r{number}'
    # No connection from elsewhere uses a port of this address.
    ip = f'127.0.0.{FIRST_ADDRESS + number}'
    ports = {key: find_free_port(ip) for key in ('callers', 'ready', 'peers')}
    path = cluster.folder / f'{name}.toml'
    path.write_text(
        SETTINGS.format(
            name=name,
            ip=ip,
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            store=cluster.store_proxy.address,
            **ports,
        )
    )
    return Router(name, path, f'{ip}:{ports["callers"]}')
