"""Router processes that stand still, and what they answer when they go on.

A process that is short of processor time reads late what has arrived. What was
confirmed two seconds before a request was sent holds for that request, however
late it is read.
"""

import signal
from contextlib import suppress
from dataclasses import dataclass, field
from typing import NamedTuple

import h11
import msgspec
import pytest
import trio

from peridotwell.serving.asgi import serve_http
from tests.peridotwell_platform import router_setup
from tests.peridotwell_platform.stand_in import (
    StoreStandIn,
    TargetStandIn,
    route,
)
from tests.ports import find_free_port
from tests.soak.cluster import Router

# Time in which a confirmed change must be in force.
IN_FORCE_SECONDS = 2.0
SERVING_SECONDS = 20
ROUNDS = 3
ROUTERS = 4
REQUESTS = 4
ANSWER_SECONDS = 10
FIRST_HOST_NUMBER = 110
SETTINGS = """
node = "{name}"
zone = "north"
ip = "{ip}"
port_range = [{peers}, {peers}]
[listen]
front = "{ip}:{callers}"
ready_addr = "{ip}:{ready}"
[provider]
address = "{store}"
"""
OK = 200
UNKNOWN_KEY = 401
UNKNOWN_PATH = 404


@dataclass(frozen=True)
class Probe:
    """A request, and the statuses that only an older configuration gives."""

    path: str
    key: str
    outdated: frozenset[int]


@dataclass
class Versions:
    """Writes versions that each have a route and a key of their own."""

    store: StoreStandIn
    number: int = 0
    probes: tuple[Probe, ...] = field(default=())

    def write(self) -> None:
        """Write the next version; `probes` tell it from the one before."""
        self.number += 1
        document = {
            'version': 1 + self.number,
            'routes': [
                route('read', 'idempotent'),
                route(f'new{self.number}', 'idempotent'),
            ],
            'services': [{'name': 'svc', 'max_conns': 100}],
            'tenants': [
                {
                    'name': 'tenant-1',
                    'api_keys': ['key-1', f'new-key{self.number}'],
                }
            ],
        }
        self.store.put('op/config', msgspec.json.encode(document))
        last = self.number - 1
        refusals = frozenset((UNKNOWN_KEY, UNKNOWN_PATH))
        self.probes = (
            Probe(f'new{self.number}', 'key-1', refusals),
            Probe('read', f'new-key{self.number}', refusals),
            Probe(f'new{last}', 'key-1', frozenset((OK,))),
            Probe('read', f'new-key{last}', frozenset((OK,))),
        )


class StoodStill(NamedTuple):
    """The answers of routers that stood still, and their log lines."""

    answers: list[tuple[Probe, int]]
    log_lines: list[str]


class Connection:
    """A caller's connection, for which a process that stands still is open."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._protocol = h11.Connection(h11.CLIENT)

    async def send(self, probe: Probe, request_id: str) -> None:
        """Send a whole request."""
        request = h11.Request(
            method='GET',
            target=f'/{probe.path}/x',
            headers=[
                ('host', 'a.example'),
                ('x-request-id', request_id),
                ('x-credential', probe.key),
                ('x-deadline-ms', '3000'),
            ],
        )
        await self._stream.send_all(
            self._protocol.send(request)
            + self._protocol.send(h11.EndOfMessage())
        )

    async def status(self) -> int:
        """Return the status of the answer, 0 without one."""
        while True:
            event = self._protocol.next_event()
            if isinstance(event, h11.Response):
                return event.status_code
            if isinstance(event, h11.ConnectionClosed):
                return 0
            if event is h11.NEED_DATA:
                self._protocol.receive_data(await self._stream.receive_some())


async def connect(router) -> Connection:
    host, _, port = router.address.rpartition(':')
    return Connection(await trio.open_tcp_stream(host, int(port)))


async def ask(router, probe, request_id, answers, sent=None) -> None:
    """Send a probe and add its status to the answers."""
    connection = await connect(router)
    await connection.send(probe, request_id)
    if sent is not None:
        sent.release()
    with trio.move_on_after(ANSWER_SECONDS):
        answers.append((probe, await connection.status()))


def make_router(folder, number: int, store: str) -> Router:
    ip = f'127.0.0.{FIRST_HOST_NUMBER + number}'
    ports = {key: find_free_port(ip) for key in ('callers', 'ready', 'peers')}
    path = folder / f'r{number}.toml'
    path.write_text(
        SETTINGS.format(name=f'r{number}', ip=ip, store=store, **ports)
    )
    return Router(f'r{number}', path, f'{ip}:{ports["callers"]}')


async def wait_until_serving(routers, probe) -> None:
    for router in routers:
        answers: list[tuple[Probe, int]] = []
        with trio.fail_after(SERVING_SECONDS):
            while not answers or answers[-1][1] != OK:
                with suppress(OSError):
                    await ask(router, probe, 'first', answers)
                await trio.sleep(0.05)


async def stand_still(routers, versions, number, answers) -> None:
    """Let all routers stand still while a version is confirmed."""
    for router in routers:
        router.signal(signal.SIGSTOP)
    versions.write()
    await trio.sleep(IN_FORCE_SECONDS)
    sent = trio.Semaphore(0)
    async with trio.open_nursery() as asking:
        for router in routers:
            for index in range(REQUESTS):
                for place, probe in enumerate(versions.probes):
                    request_id = f'{router.name}-{number}-{index}-{place}'
                    asking.start_soon(
                        ask, router, probe, request_id, answers, sent
                    )
        for _ in range(len(routers) * REQUESTS * len(versions.probes)):
            await sent.acquire()
        for router in routers:
            router.signal(signal.SIGCONT)


def end(routers) -> None:
    for router in routers:
        router.signal(signal.SIGKILL)
        if router.process is not None:
            router.process.wait()


async def run_rounds(folder, count) -> StoodStill:
    """Let routers stand still some times; return what was seen."""
    answers: list[tuple[Probe, int]] = []
    async with trio.open_nursery() as nursery:
        store = StoreStandIn()
        store.page_size = 100
        address = await nursery.start(
            serve_http, store.handle, f'{router_setup.LOCALHOST}:0'
        )
        target = await nursery.start(
            serve_http, TargetStandIn('t').handle, f'{router_setup.LOCALHOST}:0'
        )
        store.put('servers/t', router_setup.target_entry(target))
        versions = Versions(store)
        versions.write()
        routers = [make_router(folder, each, address) for each in range(count)]
        try:
            for router in routers:
                router.start(folder / f'{router.name}.log')
            await wait_until_serving(routers, versions.probes[0])
            for number in range(ROUNDS):
                await trio.sleep(1)
                await stand_still(routers, versions, number, answers)
        finally:
            end(routers)
        nursery.cancel_scope.cancel()
    lines = [
        line
        for router in routers
        for line in (folder / f'{router.name}.log').read_text().splitlines()
    ]
    return StoodStill(answers, lines)


@pytest.fixture(scope='module')
def stood_still(tmp_path_factory) -> StoodStill:
    folder = tmp_path_factory.mktemp('routers')
    return trio.run(run_rounds, folder, ROUTERS)


# Guards against a router that answers by an older configuration, because it
# reads requests before the change that has arrived, or that it must ask for.
def test_a_router_that_stood_still_decides_by_the_confirmed_version(
    stood_still,
):
    outdated = [
        (probe.path, probe.key, status)
        for probe, status in stood_still.answers
        if status in probe.outdated
    ]
    assert not outdated, f'{len(outdated)} of {len(stood_still.answers)}'
    assert len(stood_still.answers) == ROUNDS * ROUTERS * REQUESTS * 4


# Guards against an outage of the store that nobody had: the time of a watch
# ended together with the standstill, and its answer was there.
def test_a_router_that_stood_still_does_not_take_the_store_to_be_away(
    stood_still,
):
    lost = [
        line
        for line in stood_still.log_lines
        if '"store.lost"' in line or '"store.returned"' in line
    ]
    assert not lost
