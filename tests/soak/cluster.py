"""The cluster of a soak run: router processes and worker processes.

The store, the targets and the callers run in processes of their own, so that
waits of one do not look like those of another.
"""

import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass, field
from pathlib import Path

import msgspec
import trio

from tests.ports import find_free_port
from tests.soak.control import Remote, Worker
from tests.soak.records import AnyRecord, Record, RouterStarted, now
from tests.soak.routed_router import PEER_WAYS_VARIABLE
from tests.soak.router_logs import read_log_line
from tests.soak.site import Site

__all__ = ('Router', 'SoakCluster', 'Target', 'start_cluster')

ROOT = Path(__file__).parent.parent.parent
# Last part of the first router's IP address; each router has its own address.
FIRST_HOST_NUMBER = 10
TARGETS_PER_WORKER = 8
ROUTERS_PER_CALLERS = 15
# Longest pause of a caller, for few routers; more routers share that load.
MAX_PAUSE_SECONDS = 0.05
FEW_ROUTERS = 3
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


@dataclass
class Router:
    """One router process.

    `disturbed_at` is the time at which it was last killed, paused, resumed or
    restarted; `address` is the host:port for callers, `paths` its ways to the
    targets, by their names. `peer_address` is the host:port for other routers,
    and `peer_ways` the file of its ways to them, if it has any of its own.
    """

    name: str
    settings_path: Path
    address: str
    paths: dict[str, Remote] = field(default_factory=dict)
    process: subprocess.Popen[bytes] | None = None
    disturbed_at: float = float('-inf')
    is_stopping: bool = False
    peer_address: str = ''
    peer_ways: Path | None = None

    def start(self, log_path: Path) -> None:
        """Start the process, which appends to the log file."""
        program = ['platform/start.py']
        env = {**os.environ, 'PERIDOTWELL_SETTINGS': str(self.settings_path)}
        if self.peer_ways:
            program = ['-m', 'tests.soak.routed_router']
            env[PEER_WAYS_VARIABLE] = str(self.peer_ways)
        with log_path.open('ab') as out:
            self.process = subprocess.Popen(
                [sys.executable, *program],
                cwd=ROOT,
                env=env,
                stdout=out,
                stderr=out,
            )
        self.is_stopping = False

    def kill(self) -> None:
        """End the process, which may be paused, and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


@dataclass
class Target:
    """A simulated target, which runs in a worker process.

    `state` is ready, draining or gone: without an entry, though it may still
    serve. `starts` is the number of its starts, `version` that of its software.
    """

    name: str
    data_centre: str
    service: str
    remote: Remote
    proxy: Remote
    address: str
    state: str = 'ready'
    says_leaving: bool = False
    starts: int = 1
    version: str = ''
    # Unix milliseconds of its start.
    born: int = field(default_factory=lambda: int(time.time() * 1000))

    async def start_anew(self) -> None:
        """Let the target begin anew under its name."""
        self.starts += 1
        self.born = int(time.time() * 1000)
        self.says_leaving = False
        # Routers have to learn anew that the target is brittle.
        await self.remote.set(
            starts=self.starts,
            says_leaving=False,
            brittle_from=None,
        )


@dataclass
class SoakCluster:
    """The workers and routers of one soak run, and what its parts record."""

    folder: Path
    site: Site = field(default_factory=Site)
    workers: list[Worker] = field(default_factory=list)
    routers: list[Router] = field(default_factory=list)
    targets: list[Target] = field(default_factory=list)
    callers: list[Remote] = field(default_factory=list)
    # The worker of each target, by the target's name.
    target_workers: dict[str, Worker] = field(default_factory=dict)
    records: list[Record] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    # The names of the faults that were injected, in order.
    injected: list[str] = field(default_factory=list)
    version: int = 0
    # Whether the ways between routers can be cut.
    has_peer_ways: bool = False
    # Whether the operator writes nothing for a time.
    _rests: bool = False

    @property
    def store(self) -> Remote:
        """The store, in the first worker."""
        return Remote(self.workers[0], 'host')

    @property
    def ready_targets(self) -> list[Target]:
        """The targets that are ready, and have not said that they leave."""
        return [
            target
            for target in self.targets
            if target.state == 'ready' and not target.says_leaving
        ]

    def start_worker(self, role: str) -> Worker:
        """Start a worker process."""
        worker = Worker(f'{role} {len(self.workers)}', role)
        self.workers.append(worker)
        return worker

    async def configure(self) -> None:
        """Write the next version, unless the operator rests."""
        if not self._rests:
            await self._configure()

    async def configure_two(self) -> None:
        """Write the next two versions, of which the older is executed last."""
        self.version += 2
        await self.store.call('configure_two', self.version)
        await self._tell_callers()

    async def configure_late(self, seconds: float) -> None:
        """Write the next two versions, of which the older is executed late."""
        self.version += 1
        await self.store.call('configure_late', self.version, seconds)
        await self._configure()

    @contextmanager
    def rest(self) -> Iterator[None]:
        """Let the operator rest, so that the newest version stays for long."""
        self._rests = True
        try:
            yield
        finally:
            self._rests = False

    @contextmanager
    def disturbed(self, kind: type[Record], *details) -> Iterator[None]:
        """Record the fault that is injected meanwhile."""
        began_at = now()
        try:
            yield
        finally:
            self.records.append(kind(began_at, now(), *details))

    def start_router(self, router: Router) -> None:
        """Start a router's process."""
        router.start(self.log_path(router))
        self.records.append(RouterStarted(now(), router.name))

    def resume_router(self, router: Router) -> None:
        """Resume a process that is paused; start one that has ended."""
        router.signal(signal.SIGCONT)
        if router.process is not None and router.process.poll() is not None:
            self.start_router(router)

    async def publish_target(self, target: Target, state: str) -> None:
        """Write a target's entry; `state` is ready, draining or gone.

        A target that is ready again has started anew.
        """
        if state == 'ready' and target.state != 'ready':
            await target.start_anew()
        target.state = state
        entry = {
            'service': target.service,
            'address': target.address,
            'zone': target.data_centre,
            'state': state,
            'born': target.born,
        }
        if target.version:
            entry['version'] = target.version
        await self.store.call(
            'publish_target', target.name, target.starts, entry
        )

    async def restart_target(self, target: Target) -> None:
        """Let a target start anew under its name, without a word before."""
        await target.remote.set(says_leaving=False)
        target.says_leaving = False
        if target.state == 'ready':
            await target.start_anew()
            await self.publish_target(target, 'ready')

    async def wait_until_all_serve(self, seconds: float) -> None:
        """Wait until each router serves; record those that do not in time."""
        async with trio.open_nursery() as nursery:
            for callers in self.callers:
                nursery.start_soon(self._wait_for, callers, seconds)

    async def collect_records(self) -> None:
        """Take over what the workers have recorded; keep all in one file."""
        path = self.folder / 'records'
        for worker in self.workers:
            await Remote(worker, 'recorder').call('write', str(path))
            self.records.extend(
                msgspec.msgpack.decode(path.read_bytes(), type=list[AnyRecord])
            )
        path.write_bytes(msgspec.msgpack.encode(self.records))

    def log_path(self, router: Router) -> Path:
        """Return the path of a router's log file."""
        return self.folder / f'{router.name}.log'

    def record_failed_tasks(self) -> None:
        """Record a violation for each background task that failed."""
        self.violations.extend(
            f'{router.name}: {line}'
            for router in self.routers
            for line in self._log_lines(router)
            if '"task.failed"' in line
        )

    def record_logs(self) -> None:
        """Record what the routers' logs say of their starts and requests."""
        clock_offset = now() - time.time()
        for router in self.routers:
            for line in self._log_lines(router):
                record = read_log_line(line, router.name, clock_offset)
                if record is not None:
                    self.records.append(record)

    def longest_loop_delay(self) -> float:
        """Return the longest delay, in seconds, that a router has logged."""
        delays = (
            msgspec.json.decode(line)['loop_delay_seconds']
            for router in self.routers
            for line in self._log_lines(router)
            if '"state.delayed"' in line
        )
        return max(delays, default=0)

    def _log_lines(self, router: Router) -> list[str]:
        return self.log_path(router).read_text(errors='replace').splitlines()

    def stop(self) -> None:
        """End the workers; kill the routers and wait for their end."""
        for router in self.routers:
            router.kill()
        for worker in self.workers:
            worker.stop()

    def kill(self) -> None:
        """Kill all processes, without a wait."""
        for router in self.routers:
            router.signal(signal.SIGKILL)
        for worker in self.workers:
            worker.kill()

    async def _configure(self) -> None:
        self.version += 1
        await self.store.call('configure', self.version)
        await self._tell_callers()

    async def _tell_callers(self) -> None:
        for callers in self.callers:
            await callers.set(version=self.version)

    async def _wait_for(self, callers: Remote, seconds: float) -> None:
        missing = await callers.call('wait_until_all_serve', seconds)
        self.violations.extend(
            f'{name} does not serve after {seconds} s' for name in missing
        )


async def start_cluster(
    cluster: SoakCluster, routers: int, targets: int, seed: int
) -> None:
    """Start the store, the targets, the routers and the callers.

    `routers` and `targets` are their numbers. Does not wait until the routers
    are ready.
    """
    cluster.start_worker('store')
    names = [f'r{number}' for number in range(routers)]
    paths: dict[str, dict[str, str]] = {name: {} for name in names}
    for first in range(0, targets, TARGETS_PER_WORKER):
        numbers = range(first, min(first + TARGETS_PER_WORKER, targets))
        await _start_targets(cluster, numbers, paths, seed)
    stores = await cluster.store.call('start', paths, asdict(cluster.site))
    await cluster.configure()
    for target in cluster.targets:
        await cluster.publish_target(target, 'ready')
    for number, name in enumerate(names):
        cluster.routers.append(_create_router(cluster, number, stores[name]))
    if cluster.has_peer_ways:
        await _open_peer_ways(cluster)
    for router in cluster.routers:
        cluster.start_router(router)
    for first in range(0, routers, ROUTERS_PER_CALLERS):
        await _start_callers(cluster, first, seed)


async def _start_targets(
    cluster: SoakCluster,
    numbers: range,
    paths: dict[str, dict[str, str]],
    seed: int,
) -> None:
    worker = cluster.start_worker('targets')
    site = cluster.site
    names = [f't{number}' for number in numbers]
    host = Remote(worker, 'host')
    addresses = await host.call('start', names, list(paths), seed, worker.name)
    own_addresses = addresses.pop('')
    for router, ways in addresses.items():
        paths[router].update(ways)
    for number, name in zip(numbers, names, strict=True):
        target = Target(
            name,
            site.data_centres[number % len(site.data_centres)],
            site.services[number % len(site.services)],
            Remote(worker, name),
            Remote(worker, f'{name} proxy'),
            own_addresses[name],
        )
        cluster.targets.append(target)
    cluster.target_workers.update(dict.fromkeys(names, worker))


async def _start_callers(cluster: SoakCluster, first: int, seed: int) -> None:
    worker = cluster.start_worker('callers')
    routers = cluster.routers[first : first + ROUTERS_PER_CALLERS]
    callers = Remote(worker, 'host')
    few = max(1, len(cluster.routers) / FEW_ROUTERS)
    await callers.call(
        'start',
        {router.name: router.address for router in routers},
        f'{first}x',
        seed,
        MAX_PAUSE_SECONDS * few,
        worker.name,
        asdict(cluster.site),
    )
    cluster.callers.append(callers)


def _create_router(cluster: SoakCluster, number: int, store: str) -> Router:
    name = f'r{number}'
    # No outgoing connection uses this address, so its free ports stay free.
    ip = f'127.0.0.{FIRST_HOST_NUMBER + number}'
    ports = {key: find_free_port(ip) for key in ('callers', 'ready', 'peers')}
    path = cluster.folder / f'{name}.toml'
    places = cluster.site.data_centres
    path.write_text(
        SETTINGS_TEMPLATE.format(
            name=name,
            ip=ip,
            data_centre=places[number % len(places)],
            store=store,
            handovers=ports['peers'] + 1,
            **ports,
        )
    )
    ways = {
        target: Remote(worker, f'{name} {target}')
        for target, worker in cluster.target_workers.items()
    }
    return Router(
        name,
        path,
        f'{ip}:{ports["callers"]}',
        ways,
        peer_address=f'{ip}:{ports["peers"]}',
    )


async def _open_peer_ways(cluster: SoakCluster) -> None:
    """Let each router reach the others by ways of its own."""
    addresses = {router.name: router.peer_address for router in cluster.routers}
    peer_ways = Remote(cluster.workers[0], 'peer ways')
    ways = await peer_ways.call('open', addresses)
    for router in cluster.routers:
        router.peer_ways = cluster.folder / f'{router.name}.json'
        router.peer_ways.write_bytes(msgspec.json.encode(ways[router.name]))
