"""What routers at rest cost among many others.

`python -m measure.rest_costs [ROUTERS...]` starts that many routers as on the
platform, in data centres of 15 routers with a relay each if there are more than
16, before 94 targets that get no requests. The store is in the process of the
measurement. Each figure is that of one router's process: its processor time
from /proc, and in a run of its own the calls of functions of its main thread.
"""

import argparse
import os
import pstats
import re
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import msgspec
import trio

from measure.process_costs import KINDS, ROOT
from peridotwell.serving.asgi import serve_http
from tests.peridotwell_platform.stand_in import StoreStandIn

__all__ = ('main',)

ROUTERS_PER_DATA_CENTRE = 15
TARGETS = 94
START_INTERVAL_SECONDS = 0.3
SETTLE_SECONDS = 12.0
MEASURED_SECONDS = 10.0
POLL_SECONDS = 0.02
TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
MILLISECONDS = 1000
# Ports of each router on an address of its own.
PEERS_PORT = 17410
CALLERS_PORT = 17420
READY_PORT = 17421
USER_TIME, SYSTEM_TIME = 11, 12
# Names of functions, as cProfile has them, whose calls are shown.
SHOWN = (
    ('turns of the event loop', "'poll' of 'select.epoll'"),
    ('ticks of the update exchange', r'update_exchange.py:\d+\(tick\)'),
    ('frames sent', r'peer_transport.py:\d+\(transmit\)'),
    ('frames received', r'update_exchange.py:\d+\(receive\)'),
    ('updates handled', r'update_exchange.py:\d+\(_handle_update\)'),
    ('batches handled', r'relay_protocol.py:\d+\(handle_batch\)'),
    ('log lines', r'logs.py:\d+\(log_event\)'),
)
SETTINGS = """
node = "{name}"
zone = "z{zone}"
ip = "{ip}"
port_range = [{peers}, {handovers}]
[listen]
front = "{ip}:{callers}"
ready_addr = "{ip}:{ready}"
[provider]
address = "{store}"
"""


@dataclass(frozen=True)
class Spent:
    """Processor time of one router, in milliseconds a second."""

    user: float
    system: float

    @property
    def total(self) -> float:
        """Both together."""
        return self.user + self.system


@dataclass(frozen=True)
class Process:
    """One router that runs."""

    name: str
    process: subprocess.Popen[bytes]
    log: Path
    profile: Path

    def ticks(self) -> tuple[int, int]:
        """Return the processor time in the process's code and the kernel's."""
        stat = Path(f'/proc/{self.process.pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        return int(fields[USER_TIME]), int(fields[SYSTEM_TIME])

    def chosen_relay(self) -> str:
        """Return the relay that it has chosen last, '' without one."""
        chosen = re.findall(
            r'"relay.chosen", "router": "([^"]+)"', self.log.read_text()
        )
        return chosen[-1] if chosen else ''

    def write_profile(self) -> None:
        """Write the profile since the last call."""
        self.profile.unlink(missing_ok=True)
        self.process.send_signal(signal.SIGUSR1)
        while not self.profile.exists():
            time.sleep(POLL_SECONDS)


class Fleet:
    """The store and the routers."""

    def __init__(self, folder: Path, profiled: frozenset[str]) -> None:
        self._folder = folder
        self._profiled = profiled
        self.processes: list[Process] = []
        self._store = StoreStandIn()
        self._store.page_size = 100

    async def start(self, routers: int, nursery: trio.Nursery) -> None:
        """Start the store and all routers, and wait until they are at rest."""
        self._fill_store()
        store = await nursery.start(
            serve_http, self._store.handle, '127.0.0.1:0'
        )
        for number in range(routers):
            self._start_router(number, store)
            await trio.sleep(START_INTERVAL_SECONDS)
        await trio.sleep(SETTLE_SECONDS)

    def end(self) -> None:
        """End the routers."""
        for each in self.processes:
            each.process.kill()
            each.process.wait()

    def _fill_store(self) -> None:
        document = {
            'version': 1,
            'routes': list(KINDS),
            'services': [{'name': 'svc', 'max_conns': 100}],
            'tenants': [{'name': 'tenant-1', 'api_keys': ['key-1']}],
        }
        self._store.put('op/config', msgspec.json.encode(document))
        for number in range(TARGETS):
            entry = {
                'service': 'svc',
                'address': f'127.0.2.{number + 1}:17400',
                'zone': f'z{number % 4}',
                'state': 'ready',
                'born': 1,
            }
            self._store.put(f'servers/t{number}', msgspec.json.encode(entry))

    def _start_router(self, number: int, store: str) -> None:
        name = f'r{number}'
        settings = self._folder / f'{name}.toml'
        settings.write_text(
            SETTINGS.format(
                name=name,
                zone=number // ROUTERS_PER_DATA_CENTRE,
                ip=f'127.0.1.{number + 1}',
                peers=PEERS_PORT,
                handovers=PEERS_PORT + 1,
                callers=CALLERS_PORT,
                ready=READY_PORT,
                store=store,
            )
        )
        profile = self._folder / f'{name}.profile'
        log = self._folder / f'{name}.log'
        wrapper = ('-m', 'measure.profiled_process', str(profile))
        process = subprocess.Popen(
            [
                sys.executable,
                *(wrapper if name in self._profiled else ()),
                str(ROOT / 'platform/start.py'),
            ],
            cwd=ROOT,
            env={
                **os.environ,
                'PERIDOTWELL_SETTINGS': str(settings),
                'PYTHONPATH': str(ROOT),
            },
            stdout=log.open('wb'),
            stderr=subprocess.STDOUT,
        )
        self.processes.append(Process(name, process, log, profile))


async def _measure_times(
    folder: Path, routers: int
) -> tuple[dict[str, Spent], frozenset[str]]:
    """Return what each router spends, and which of them are relays."""
    fleet = Fleet(folder, frozenset())
    async with trio.open_nursery() as nursery:
        try:
            await fleet.start(routers, nursery)
            before = [each.ticks() for each in fleet.processes]
            await trio.sleep(MEASURED_SECONDS)
            spent = {
                each.name: _spent(ticks, each.ticks())
                for each, ticks in zip(fleet.processes, before, strict=True)
            }
            relays = frozenset(map(Process.chosen_relay, fleet.processes))
        finally:
            fleet.end()
            nursery.cancel_scope.cancel()
    return spent, relays - {''}


def _spent(before: tuple[int, int], after: tuple[int, int]) -> Spent:
    user, system = (
        (late - early) / TICKS_PER_SECOND / MEASURED_SECONDS * MILLISECONDS
        for early, late in zip(before, after, strict=True)
    )
    return Spent(user, system)


async def _measure_calls(
    folder: Path, routers: int, profiled: frozenset[str]
) -> Mapping[str, pstats.Stats]:
    fleet = Fleet(folder, profiled)
    async with trio.open_nursery() as nursery:
        try:
            await fleet.start(routers, nursery)
            chosen = [each for each in fleet.processes if each.name in profiled]
            for each in chosen:
                each.write_profile()
            await trio.sleep(MEASURED_SECONDS)
            for each in chosen:
                each.write_profile()
        finally:
            fleet.end()
            nursery.cancel_scope.cancel()
    return {each.name: pstats.Stats(str(each.profile)) for each in chosen}


def _time_rows(
    spent: Mapping[str, Spent], relays: frozenset[str]
) -> Iterator[str]:
    kinds = {
        'member': [each for name, each in spent.items() if name not in relays],
        'relay': [each for name, each in spent.items() if name in relays],
    }
    for kind, routers in kinds.items():
        if routers:
            yield (
                f'| {kind}, ms a second: all, own code, kernel '
                f'({len(routers)} routers) | '
                f'{statistics.mean(each.total for each in routers):.1f}, '
                f'{statistics.mean(each.user for each in routers):.1f}, '
                f'{statistics.mean(each.system for each in routers):.1f} |'
            )


def _call_rows(profile: pstats.Stats) -> Iterator[str]:
    calls = {
        pstats.func_std_string(function): row[1]
        for function, row in profile.stats.items()  # type: ignore[attr-defined]
    }
    all_calls = sum(calls.values()) / MEASURED_SECONDS
    yield f'| calls of functions a second | {all_calls:.0f} |'
    for what, pattern in SHOWN:
        found = [
            count for name, count in calls.items() if re.search(pattern, name)
        ]
        yield f'| {what} a second | {sum(found) / MEASURED_SECONDS:.1f} |'


def _print(lines: Iterable[str]) -> None:
    for line in lines:
        sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def _measure(routers: int, top: int) -> None:
    with tempfile.TemporaryDirectory(dir=Path.home()) as folder:
        spent, relays = trio.run(partial(_measure_times, Path(folder), routers))
        _print([f'{routers} routers', *_time_rows(spent, relays)])
        chosen = {
            'member': sorted(spent.keys() - relays)[:1],
            'relay': sorted(relays)[:1],
        }
        profiled = frozenset(
            name for names in chosen.values() for name in names
        )
        profiles = trio.run(
            partial(_measure_calls, Path(folder), routers, profiled)
        )
    for kind, names in chosen.items():
        for name in names:
            _print([kind, *_call_rows(profiles[name])])
            if top:
                profiles[name].sort_stats('tottime').print_stats(top)
                profiles[name].sort_stats('ncalls').print_stats(top)


def main() -> None:
    """Measure, and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('routers', type=int, nargs='*', default=[11, 30])
    parser.add_argument(
        '--top', type=int, default=0, help='functions shown of a profile'
    )
    arguments = parser.parse_args()
    for routers in arguments.routers:
        _measure(routers, arguments.top)


if __name__ == '__main__':
    main()
