"""Responses of targets that break off, through two router processes.

The first router has no path to the target, and hands its requests over.
"""

from typing import NamedTuple

import msgspec
import pytest
import trio

from peridotwell.serving.asgi import serve_http
from tests.peridotwell_platform import router_setup
from tests.peridotwell_platform.cut_fleet import CopyingStore, StoreView
from tests.peridotwell_platform.test_program import SETTINGS
from tests.ports import find_free_port
from tests.processes.test_broken_answers import (
    BODIES,
    CONFIG,
    call_while_it_breaks,
    running,
    wait_until_ready,
)

# Each router has the port of its metrics on an address of its own.
IPS = {'r-1': '127.0.0.2', 'r-2': '127.0.0.3'}
ANY_PORT = '127.0.0.1:0'
# Time in which routers get to know each other and a cut is found out.
CONTACT_SECONDS = 3.0


class ClosedPath(NamedTuple):
    """A way to a target on which connections are refused."""

    port: int


def write_settings(folder, name, store):
    """Write the settings of a router that takes handovers."""
    ports = {key: find_free_port() for key in ('front', 'ready', 'peers')}
    text = SETTINGS.format(grace=5, store=store, **ports)
    first = ports['peers']
    changes = {
        'node = "r-1"': f'node = "{name}"',
        'ip = "127.0.0.1"': f'ip = "{IPS[name]}"',
        f'[{first}, {first}]': f'[{first}, {first + 1}]',
    }
    for old, new in changes.items():
        text = text.replace(old, new)
    path = folder / f'{name}.toml'
    path.write_text(text)
    return path, ports


@pytest.fixture
async def cut_router(nursery, tmp_path):
    """The ports of a router that hands over, and of the target."""
    store = CopyingStore()
    store.page_size = 100
    target = find_free_port()
    store.put('op/config', msgspec.json.encode(CONFIG))
    store.put('servers/i-1', router_setup.target_entry(f'127.0.0.1:{target}'))
    view = StoreView(store, {'i-1': ClosedPath(find_free_port())})
    cut, ports = write_settings(
        tmp_path, 'r-1', await nursery.start(serve_http, view.handle, ANY_PORT)
    )
    sound, others = write_settings(
        tmp_path, 'r-2', await nursery.start(serve_http, store.handle, ANY_PORT)
    )
    with (
        running('platform/start.py', PERIDOTWELL_SETTINGS=str(cut)),
        running('platform/start.py', PERIDOTWELL_SETTINGS=str(sound)),
    ):
        await wait_until_ready(ports['ready'])
        await wait_until_ready(others['ready'])
        await trio.sleep(CONTACT_SECONDS)
        yield {**ports, 'target': target}


# Guards against cut responses that look complete behind the router that took
# the request over: of a target that was killed, and of one whose reset came
# while the request was sent.
@pytest.mark.parametrize('path', ['/read/x', '/book/x', '/draft/x', '/ask/x'])
@pytest.mark.parametrize('how', BODIES)
async def test_a_response_that_breaks_off_never_looks_complete(
    cut_router, how, path
):
    status = await call_while_it_breaks(cut_router, how, path)
    assert status in {None, 502}
