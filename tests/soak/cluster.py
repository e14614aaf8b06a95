"""The cluster of a soak run: router processes, simulated targets and store.

The targets and the store run in the process of the soak, each behind a proxy
that injects network faults, so that the soak sees every request they get.
"""

import os
import random
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import trio

from tests.peridotwell_platform.stand_in import StoreStandIn
from tests.ports import find_free_port
from tests.raw_target import listen
from tests.soak.brittle import BrittleChecker
from tests.soak.guarantees import GuaranteeChecker
from tests.soak.notices import NoticeChecker
from tests.soak.proxy import start_proxy
from tests.soak.records import (
    EntryWritten,
    Record,
    RouterStarted,
    VersionWritten,
    now,
)
from tests.soak.router_paths import ProxyGroup, RouterPaths, start_paths
from tests.soak.target import SoakTarget
from tests.soak.versions import document

__all__ = (
    'DEADLINE_SECONDS',
    'Router',
    'SoakCluster',
    'start_cluster',
)

ROOT = Path(__file__).parent.parent.parent
DEADLINE_SECONDS = 1.5
# Last part of the first router's IP address; each router has its own address.
FIRST_HOST_NUMBER = 10
HEARTBEAT_SECONDS = 1.0
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

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


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
    records: list[Record] = field(default_factory=list)
    version: int = 0

    def configure(self) -> None:
        """Write the next version of the configuration to the store."""
        began_at = now()
        self.version += 1
        self._write_configuration()
        written = VersionWritten(began_at, now(), self.version)
        self.records.append(written)

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

    def publish_target(self, target: SoakTarget, state: str) -> None:
        """Write a target's entry; `state` is ready, draining or gone.

        A target that is ready again has started anew. One that is gone has no
        entry, but may still serve.
        """
        if state == 'ready' and target.state != 'ready':
            _start_anew(target)
        target.state = state
        target.left_at = now() if state == 'draining' else float('inf')
        self._write_target(target)
        entry = EntryWritten(now(), target.name, target.starts, state)
        self.records.append(entry)

    def restart_target(self, target: SoakTarget) -> None:
        """Let a target start anew under its name, without a word before."""
        target.says_leaving = False
        if target.state == 'ready':
            _start_anew(target)
            self.publish_target(target, 'ready')

    def write_again(self) -> None:
        """Write what a restored store has lost, as operators and targets do."""
        self._write_configuration()
        for target in self.targets:
            self._write_target(target)

    async def run_heartbeats(self) -> None:
        """Write the entries of all targets again and again."""
        while True:
            await trio.sleep(HEARTBEAT_SECONDS)
            for target in self.targets:
                target.seq += 1
                self._write_target(target)

    def _write_configuration(self) -> None:
        content = msgspec.json.encode(document(self.version))
        self.store.put('op/config', content)

    def _write_target(self, target: SoakTarget) -> None:
        key = f'servers/{target.name}'
        if target.state == 'gone':
            if key in self.store.items:
                self.store.delete(key)
            return
        entry = {
            'service': 'svc',
            'address': target.proxy.address,
            'zone': target.data_centre,
            'state': target.state,
            'born': target.born,
            'seq': target.seq,
        }
        self.store.put(key, msgspec.json.encode(entry))

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
    seed: int,
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
        await _add_target(nursery, cluster, number, seed)
    for number in range(routers):
        await _add_router(nursery, cluster, number)
    for router in cluster.routers:
        cluster.start_router(router)
    nursery.start_soon(cluster.run_heartbeats)
    return cluster


async def _add_target(
    nursery: trio.Nursery, cluster: SoakCluster, number: int, seed: int
) -> None:
    target = SoakTarget(
        f't{number}',
        DATA_CENTRES[number % len(DATA_CENTRES)],
        cluster.checker,
        cluster.notices,
        cluster.brittle,
        cluster.records,
        born=_unix_milliseconds(),
        draws=random.Random(f't{number} {seed}'),
    )
    address = await listen(nursery, target.serve)
    target.proxy = await start_proxy(nursery, address)
    cluster.targets.append(target)
    cluster.publish_target(target, 'ready')


def _start_anew(target: SoakTarget) -> None:
    target.starts += 1
    target.born = _unix_milliseconds()
    target.seq = 0


def _unix_milliseconds() -> int:
    return int(time.time() * 1000)


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
