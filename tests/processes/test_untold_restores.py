"""Router processes whose store is killed and comes back from an older copy.

Targets report all the while, and the operator writes again after the return.
"""

import socket
from contextlib import ExitStack

import httpcore
import msgspec
import pytest
import trio

from peridotwell.serving.asgi import serve_http
from tests.peridotwell_platform import router_setup, stand_in
from tests.peridotwell_platform.test_program import SETTINGS
from tests.ports import find_free_port
from tests.processes.test_broken_answers import running, wait_until_ready

READ = stand_in.route('read', 'idempotent')
MOVED = {**READ, 'service': 'other'}
CONFIG = {
    **router_setup.configuration(10, READ),
    'services': [
        {'name': 'svc', 'max_conns': 10},
        {'name': 'other', 'max_conns': 10},
    ],
}
SERVICES = {'i-1': 'svc', 'i-2': 'svc', 'i-3': 'other', 'i-4': 'other'}
REPORT_SECONDS = 0.4
# A change must be in force at all routers this long after its answer.
IN_FORCE_SECONDS = 2.0
COPY_SECONDS = 3.0
# The operator and the targets write again this long after the return.
LATE_SECONDS = 0.6
ROUTERS = 3
REQUESTS = 6


def _hold(port):
    """Keep a port bound while the store is away: others may want it."""
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind(('127.0.0.1', port))
    return holder


class Platform:
    """A store that can be away, targets that report, and router processes."""

    def __init__(self, nursery, folder, stack):
        self.store = stand_in.StoreStandIn()
        self.store.page_size = 100
        port = find_free_port()
        stack.enter_context(_hold(port))
        self.address = f'127.0.0.1:{port}'
        self.fronts = []
        self._nursery = nursery
        self._folder = folder
        self._stack = stack
        self._serving = trio.CancelScope()
        self._entries = {}

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve the store until it is killed."""
        with trio.CancelScope() as self._serving:
            async with trio.open_nursery() as nursery:
                await nursery.start(serve_http, self.store.handle, self.address)
                task_status.started()
                await trio.sleep_forever()

    def kill_store(self):
        """End the store and all its connections."""
        self._serving.cancel()

    async def start_target(self, name):
        """Start a target that answers and reports."""
        target = stand_in.TargetStandIn(name)
        address = await self._nursery.start(
            serve_http, target.handle, '127.0.0.1:0'
        )
        self._entries[name] = {
            **msgspec.json.decode(router_setup.target_entry(address)),
            'service': SERVICES[name],
            'born': 1,
            'seq': 0,
        }

    async def report(self):
        """Let all targets report again and again."""
        while True:
            if not self._serving.cancel_called:
                for name in self._entries:
                    self.write_target(name)
            await trio.sleep(REPORT_SECONDS)

    def write_target(self, name, **changes):
        """Write the next report of a target."""
        entry = self._entries[name]
        entry.update(changes, seq=entry['seq'] + 1)
        self.store.put(f'servers/{name}', msgspec.json.encode(entry))

    def configure(self, version, route):
        """Write a version of the configuration."""
        document = {**CONFIG, 'version': version, 'routes': [route]}
        self.store.put('op/config', msgspec.json.encode(document))

    async def start_router(self):
        """Start one more router process, and wait until it is ready."""
        name = f'r-{len(self.fronts)}'
        ports = {each: find_free_port() for each in ('front', 'ready', 'peers')}
        settings = SETTINGS.format(grace=5, store=self.address, **ports)
        path = self._folder / f'{name}.toml'
        path.write_text(settings.replace('r-1', name))
        self._stack.enter_context(
            running('platform/start.py', PERIDOTWELL_SETTINGS=str(path))
        )
        await wait_until_ready(ports['ready'])
        self.fronts.append(f'127.0.0.1:{ports["front"]}')

    async def reached(self):
        """Return the targets that serve requests, by all routers."""
        seals = set()
        async with httpcore.AsyncConnectionPool() as pool:
            for number, front in enumerate(self.fronts * REQUESTS):
                resp = await router_setup.call(
                    pool,
                    front,
                    'GET',
                    '/read/x',
                    router_setup.caller_headers(number, x_deadline_ms='1000'),
                    b'',
                )
                seals.update(
                    text.decode().removeprefix('seal.')
                    for name, text in resp.headers
                    if name.lower() == b'x-server-seal'
                )
        return seals


@pytest.fixture(params=['rising', 'constant', 'missing'])
async def platform(request, nursery, tmp_path):
    """Return a platform whose targets and routers run."""
    with ExitStack() as stack:
        running_platform = Platform(nursery, tmp_path, stack)
        store = running_platform.store
        store.era = None if request.param == 'missing' else 1
        store.is_era_rising = request.param == 'rising'
        await nursery.start(running_platform.serve)
        running_platform.configure(1, READ)
        for name in SERVICES:
            await running_platform.start_target(name)
        nursery.start_soon(running_platform.report)
        for _ in range(ROUTERS):
            await running_platform.start_router()
        yield running_platform


async def restore(platform, copy, away_seconds):
    """Kill the store and let it come back from a copy."""
    platform.kill_store()
    await trio.sleep(away_seconds)
    platform.store.restore(copy)
    await platform._nursery.start(platform.serve)


# Guards against an older version in force, and requests at targets that had
# left, after the store came back from an older copy without a word.
@pytest.mark.parametrize('away_seconds', [0.0, 3.0])
async def test_what_is_written_after_a_restore_is_in_force(
    platform, away_seconds
):
    copy = platform.store.copy()
    await trio.sleep(COPY_SECONDS)
    for version in range(2, 6):
        platform.configure(version, READ)
    await trio.sleep(IN_FORCE_SECONDS)
    assert await platform.reached() == {'i-1', 'i-2'}
    await restore(platform, copy, away_seconds)
    await trio.sleep(LATE_SECONDS)
    platform.write_target('i-2', state='draining')
    await trio.sleep(IN_FORCE_SECONDS)
    assert await platform.reached() == {'i-1'}
    platform.configure(50, MOVED)
    await trio.sleep(IN_FORCE_SECONDS)
    assert await platform.reached() == {'i-3', 'i-4'}
    await restore(platform, copy, away_seconds)
    await platform.start_router()
    platform.configure(60, MOVED)
    platform.write_target('i-4', state='draining')
    await trio.sleep(IN_FORCE_SECONDS)
    assert await platform.reached() == {'i-3'}
