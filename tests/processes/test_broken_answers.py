"""Responses of targets that break off, through a router process."""

import os
import subprocess
import sys
from contextlib import contextmanager
from pathlib import Path

import httpcore
import pytest
import trio

from tests.peridotwell_platform import router_setup, stand_in
from tests.peridotwell_platform.test_program import SETTINGS
from tests.ports import find_free_port

ROOT = Path(__file__).parent.parent.parent
TARGET = Path(__file__).parent / 'breaking_target.py'
START_SECONDS = 10
# More than the sockets of both sides hold.
LONG_BODY = bytes(7_000_000)
BODIES = {'killed': b'', 'reset': LONG_BODY}
CONFIG = {
    **router_setup.configuration(
        10,
        stand_in.route('read', 'idempotent'),
        stand_in.route('book', 'non_idempotent', max_attempts=1),
        stand_in.route('draft', 'streaming', max_attempts=1),
        stand_in.route('ask', 'streaming', resumable=True),
    ),
    'limits': {
        'max_header_bytes': 2000,
        'max_body_bytes': 8_000_000,
        'idle_timeout_ms': 15000,
    },
}


@contextmanager
def running(*args, **env):
    process = subprocess.Popen(
        [sys.executable, *map(str, args)], cwd=ROOT, env={**os.environ, **env}
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


async def wait_for_port(port):
    with trio.fail_after(START_SECONDS):
        while True:
            try:
                stream = await trio.open_tcp_stream('127.0.0.1', port)
            except OSError:
                await trio.sleep(0.05)
            else:
                await stream.aclose()
                return


async def wait_until_ready(port):
    await wait_for_port(port)
    async with httpcore.AsyncConnectionPool() as pool:
        with trio.fail_after(START_SECONDS):
            while True:
                resp = await pool.request(
                    'GET', f'http://127.0.0.1:{port}/readyz'
                )
                if resp.status == 200:
                    return
                await trio.sleep(0.05)


@pytest.fixture
async def router(nursery, tmp_path):
    """The ports of a router process and of its target."""
    store, address = await router_setup.start_store(nursery, CONFIG)
    ports = {name: find_free_port() for name in ('front', 'ready', 'peers')}
    ports['target'] = find_free_port()
    store.put(
        'servers/i-1',
        router_setup.target_entry(f'127.0.0.1:{ports["target"]}'),
    )
    path = tmp_path / 'node.toml'
    path.write_text(SETTINGS.format(grace=5, store=address, **ports))
    with running('platform/start.py', PERIDOTWELL_SETTINGS=str(path)):
        await wait_until_ready(ports['ready'])
        yield ports


async def call_while_it_breaks(ports, how, path):
    """Return the status of a response that its target breaks off.

    None if the body lacks its end, or the connection is reset.
    """
    headers = router_setup.caller_headers(1, **{'x-deadline-ms': '2000'})
    headers['content-length'] = str(len(BODIES[how]))
    with running(TARGET, ports['target'], how):
        await wait_for_port(ports['target'])
        async with httpcore.AsyncConnectionPool() as pool:
            try:
                resp = await router_setup.call(
                    pool,
                    f'127.0.0.1:{ports["front"]}',
                    'POST',
                    path,
                    headers,
                    BODIES[how],
                )
            except (httpcore.RemoteProtocolError, httpcore.ReadError):
                return None
    return resp.status


# Guards against cut responses that reach their callers as complete: of a target
# that was killed, and of one whose reset came while the request was sent.
@pytest.mark.parametrize('path', ['/read/x', '/book/x', '/draft/x', '/ask/x'])
@pytest.mark.parametrize('how', BODIES)
async def test_a_response_that_breaks_off_never_looks_complete(
    router, how, path
):
    assert await call_while_it_breaks(router, how, path) in {None, 502}
