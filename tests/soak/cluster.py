"""The cluster of a soak run: router processes, simulated targets and store.

The targets and the store run in the process of the soak, each behind a proxy
that injects network faults, so that the soak sees every request they get.
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
from tests.peridotwell_platform.stand_in import (
    StoreStandIn,
    receipt_headers,
    route,
)
from tests.ports import find_free_port
from tests.soak.brittle import BrittleChecker
from tests.soak.guarantees import GuaranteeChecker
from tests.soak.notices import NoticeChecker
from tests.soak.proxy import FaultProxy, start_proxy
from tests.soak.router_paths import ProxyGroup, RouterPaths, start_paths

__all__ = (
    'DEADLINE_SECONDS',
    'Router',
    'SoakTarget',
    'SoakCluster',
    'start_cluster',
)

ROOT = Path(__file__).parent.parent.parent
DEADLINE_SECONDS = 1.5
EXECUTION_SECONDS = 0.03
BRITTLE_SLOTS = 2
# Last part of the first router's IP address; each router has its own address.
FIRST_HOST_NUMBER = 10
EVENTS_PER_STREAM = 4
# A target must get no requests when it has been draining for longer than this.
DRAIN_GRACE_SECONDS = 2.5
DATA_CENTRES = ('north', 'south')
SETTINGS_TEMPLATE = """
node = "{name}"
zone = "{data_centre}"
ip = "{ip}"
port_range = [{peers}, {handovers}]
[listen]
front = "{ip}:{callers}"
ready_addr = "{ip}:{ready}"
[provider]
address = "{store}"
[bounds]
grace_s = 5
"""


# The targets meet this latency objective when no fault is injected.
_route = partial(route, slo_ms=200)
ROUTES = (
    _route('read', 'idempotent'),
    _route('book', 'non_idempotent', max_attempts=1),
    _route('draft', 'streaming', max_attempts=1),
    _route('ask', 'streaming', resumable=True),
)


@dataclass
class Router:
    """One router process.

    `disturbed_at` is the time at which it was last killed, paused, resumed or
    restarted; `address` is the host:port for callers, `paths` its ways to the
    targets.
    """

    name: str
    settings_path: Path
    address: str
    paths: RouterPaths
    process: subprocess.Popen[bytes] | None = None
    disturbed_at: float = float('-inf')
    is_stopping: bool = False

    def start(self, log_path: Path) -> None:
        """Start the process, which appends to the log file."""
        with log_path.open('ab') as out:
            self.process = subprocess.Popen(
                [sys.executable, 'platform/start.py'],
                cwd=ROOT,
                env={
                    **os.environ,
                    'PERIDOTWELL_SETTINGS': str(self.settings_path),
                },
                stdout=out,
                stderr=out,
            )
        self.is_stopping = False

    def resume(self, log_path: Path) -> None:
        """Resume the process if it is paused; restart it if it has ended."""
        self.signal(signal.SIGCONT)
        if self.process is not None and self.process.poll() is not None:
            self.start(log_path)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


@dataclass
class SoakTarget:
    """A simulated target whose responses contain the ID of their request.

    `left_at` is the time at which it began to drain, `starts` the number of
    its starts. Its answers may say that it leaves, ask for a pause, name a
    limit or say that it is brittle. From `brittle_from` on, a brittle target
    runs so few requests at once that it has to reject some.
    """

    name: str
    data_centre: str
    checker: GuaranteeChecker
    notices: NoticeChecker
    brittle: BrittleChecker
    proxy: FaultProxy | None = None
    is_failing: bool = False
    says_leaving: bool = False
    pause_seconds: float = 0
    limit: str = ''
    max_rejections: str = ''
    brittle_from: float = 0
    running: int = 0
    left_at: float = float('inf')
    starts: int = 1

    async def handle(self, exchange) -> None:
        """Execute one request."""
        await exchange.body()
        request_id = exchange.headers['x-request-id']
        now = trio.current_time()
        self.notices.record_arrival(request_id, self.incarnation, now)
        if self.pause_seconds:
            await self._shed(exchange, request_id, now)
            return
        if self._is_full(now):
            await self._reject(exchange, request_id, now)
            return
        self.running += 1
        try:
            await self._run(exchange, request_id, now)
        finally:
            self.running -= 1

    def _is_full(self, now: float) -> bool:
        is_brittle = self.max_rejections and now >= self.brittle_from
        return bool(is_brittle) and self.running >= BRITTLE_SLOTS

    async def _reject(self, exchange, request_id: str, now: float) -> None:
        if self.proxy.is_clear:
            self.brittle.record_rejection(
                request_id, self.name, float(self.max_rejections), now
            )
        fields = (
            ('x-request-id', request_id),
            ('x-not-executed', '1'),
            *self._brittle_fields(),
        )
        await exchange.respond(503, b'', fields)

    def _brittle_fields(self) -> tuple[tuple[str, str], ...]:
        return (
            ('server-brittle', self.max_rejections),
            ('x-replica-load', f'{self.running},0,{BRITTLE_SLOTS}'),
        )

    async def _run(self, exchange, request_id: str, now: float) -> None:
        has_left = now - self.left_at > DRAIN_GRACE_SECONDS
        self.checker.record_run(request_id, self.name, has_left=has_left)
        if '/draft/' in exchange.path or '/ask/' in exchange.path:
            await self._stream(exchange, request_id)
            return
        await trio.sleep(EXECUTION_SECONDS)
        status = 500 if self.is_failing else 200
        await exchange.respond(
            status, request_id.encode(), self._headers(exchange)
        )

    @property
    def incarnation(self) -> str:
        """Its name with the number of its start."""
        return f'{self.name} start {self.starts}'

    async def _shed(self, exchange, request_id: str, now: float) -> None:
        seconds = self.pause_seconds
        if self.proxy.is_clear:
            self.notices.say_pause(request_id, self.incarnation, seconds, now)
        fields = (
            ('x-request-id', request_id),
            ('x-not-executed', '1'),
            ('retry-after', f'{seconds}'),
        )
        await exchange.respond(503, b'', fields)

    def _headers(self, exchange) -> tuple[tuple[str, str], ...]:
        fields = receipt_headers(self, exchange)
        if self.says_leaving:
            request_id = exchange.headers['x-request-id']
            self.notices.say_leaving(request_id, self.incarnation)
            fields = (*fields, ('server-leaving', '1'))
        if self.limit:
            fields = (*fields, ('server-limit', self.limit))
        if self.max_rejections:
            fields = (
                *(each for each in fields if each[0] != 'x-replica-load'),
                *self._brittle_fields(),
            )
        return fields

    async def _stream(self, exchange, request_id: str) -> None:
        await exchange.start_response(200, self._headers(exchange))
        after = int(exchange.headers.get('last-event-id', '0'))
        for number in range(after + 1, EVENTS_PER_STREAM + 1):
            await trio.sleep(EXECUTION_SECONDS)
            await exchange.write(b'id: %d\ndata: x\n\n' % number)
        await exchange.finish(b': %b\n\n' % request_id.encode())


@dataclass
class SoakCluster:
    """The store, targets, routers and checks of one soak run."""

    folder: Path
    store: StoreStandIn
    store_proxy: ProxyGroup
    checker: GuaranteeChecker
    notices: NoticeChecker
    brittle: BrittleChecker
    routers: list[Router] = field(default_factory=list)
    targets: list[SoakTarget] = field(default_factory=list)
    version: int = 0

    def configure(self) -> None:
        """Write the next version of the configuration to the store."""
        self.version += 1
        self._write_configuration()

    def publish_target(self, target: SoakTarget, state: str) -> None:
        """Write a target's entry; `state` is 'ready' or 'draining'.

        A target that is ready again has started anew.
        """
        is_draining = state == 'draining'
        if not is_draining and target.left_at < float('inf'):
            target.starts += 1
        target.left_at = trio.current_time() if is_draining else float('inf')
        self._write_target(target)

    def restart_target(self, target: SoakTarget) -> None:
        """Let a target that said it leaves start anew."""
        target.says_leaving = False
        target.starts += 1
        self._write_target(target)

    def write_again(self) -> None:
        """Write what a restored store has lost, as operators and targets do."""
        self._write_configuration()
        for target in self.targets:
            self._write_target(target)

    def _write_configuration(self) -> None:
        extra_route = _route(f'extra{self.version}', 'idempotent')
        document = {
            'version': self.version,
            'routes': [*ROUTES, extra_route],
            'services': [{'name': 'svc', 'max_conns': 100}],
            'tenants': [{'name': 'tenant-1', 'api_keys': ['key-1']}],
        }
        self.store.put('op/config', msgspec.json.encode(document))

    def _write_target(self, target: SoakTarget) -> None:
        is_draining = target.left_at < float('inf')
        entry = {
            'service': 'svc',
            'address': target.proxy.address,
            'zone': target.data_centre,
            'state': 'draining' if is_draining else 'ready',
            'born': target.starts,
        }
        self.store.put(f'servers/{target.name}', msgspec.json.encode(entry))

    def log_path(self, router: Router) -> Path:
        """Return the path of a router's log file."""
        return self.folder / f'{router.name}.log'

    def record_failed_tasks(self) -> None:
        """Record a violation for each background task that failed."""
        for router in self.routers:
            lines = self.log_path(router).read_text(errors='replace')
            self.checker.violations.extend(
                f'{router.name}: {line}'
                for line in lines.splitlines()
                if '"event": "task.failed"' in line
            )

    def kill_routers(self) -> None:
        """Kill the router processes and wait for their end."""
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
    """Start the store, the targets and the routers.

    `routers` and `targets` are their numbers. Does not wait until the routers
    are ready.
    """
    store = StoreStandIn()
    store.page_size = 100
    checker = GuaranteeChecker(DEADLINE_SECONDS)
    notices = NoticeChecker(checker.violations)
    brittle = BrittleChecker(checker.violations)
    cluster = SoakCluster(
        folder,
        store,
        ProxyGroup(),
        checker,
        notices,
        brittle,
    )
    cluster.configure()
    for number in range(targets):
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        target = SoakTarget(
            f't{number}', data_centre, checker, notices, brittle
        )
        address = await nursery.start(serve_http, target.handle, '127.0.0.1:0')
        target.proxy = await start_proxy(nursery, address)
        cluster.targets.append(target)
        cluster.publish_target(target, 'ready')
    for number in range(routers):
        await _add_router(nursery, cluster, number)
    for router in cluster.routers:
        router.start(cluster.log_path(router))
    return cluster


async def _add_router(
    nursery: trio.Nursery, cluster: SoakCluster, number: int
) -> None:
    addresses = {each.name: each.proxy.address for each in cluster.targets}
    paths, store_proxy = await start_paths(nursery, cluster.store, addresses)
    cluster.store_proxy.members.append(store_proxy)
    router = _create_router(cluster, number, paths, store_proxy.address)
    cluster.routers.append(router)


def _create_router(
    cluster: SoakCluster, number: int, paths: RouterPaths, store: str
) -> Router:
    name = f'r{number}'
    # No outgoing connection uses this address, so its free ports stay free.
    ip = f'127.0.0.{FIRST_HOST_NUMBER + number}'
    ports = {key: find_free_port(ip) for key in ('callers', 'ready', 'peers')}
    path = cluster.folder / f'{name}.toml'
    path.write_text(
        SETTINGS_TEMPLATE.format(
            name=name,
            ip=ip,
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            store=store,
            handovers=ports['peers'] + 1,
            **ports,
        )
    )
    return Router(name, path, f'{ip}:{ports["callers"]}', paths)
