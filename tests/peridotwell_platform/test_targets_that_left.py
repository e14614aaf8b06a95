"""Targets that leave while a router connects to them to send a request."""

import httpcore
import msgspec
import pytest
import trio

from peridotwell.serving.asgi import serve_http
from peridotwell.serving.socket_network import SocketNetwork
from tests.peridotwell_platform import stand_in
from tests.peridotwell_platform.router_setup import (
    LOCALHOST,
    call,
    caller_headers,
    configuration,
    start_router,
    start_store,
    target_entry,
)

CONFIG = configuration(
    10,
    stand_in.route('read', 'idempotent'),
    stand_in.route('book', 'non_idempotent', max_attempts=1),
    stand_in.route('ask', 'streaming', resumable=True),
)
KINDS = ('read', 'book', 'ask')
STEP_SECONDS = 0.01


class Leavings:
    """Targets that leave, in a way, as the router connects to them."""

    def __init__(self, store, how, most):
        self.store = store
        self.how = how
        self.most = most
        self.directory = None
        self.left = []
        self.names = {}

    async def leave(self, port):
        name = self.names.get(port)
        if name is None or name in self.left or len(self.left) == self.most:
            return
        self.left.append(name)
        key = f'servers/{name}'
        if self.how == 'removed':
            self.store.delete(key)
        else:
            entry = msgspec.json.decode(target_entry(f'{LOCALHOST}:{port}'))
            self.store.put(
                key, msgspec.json.encode({**entry, 'state': 'draining'})
            )
        while name in self._available():
            await trio.sleep(STEP_SECONDS)

    def _available(self):
        targets = self.directory.available_targets('svc')
        return {target.name for target in targets}


@pytest.fixture
async def send(nursery, monkeypatch):
    """Return a function that sends a request while targets leave."""
    store, store_address = await start_store(nursery, CONFIG)
    targets = [stand_in.TargetStandIn(name) for name in ('i-1', 'i-2')]
    leavings = Leavings(store, '', 0)
    for target in targets:
        address = await nursery.start(
            serve_http, target.handle, f'{LOCALHOST}:0'
        )
        store.put(f'servers/{target.name}', target_entry(address))
        leavings.names[int(address.rpartition(':')[2])] = target.name
    started = await start_router(nursery, 'r-1', store_address)
    leavings.directory = started.router._components.directory
    connect_tcp = SocketNetwork.connect_tcp

    async def connect_slowly(self, host, port, *arguments, **options):
        await leavings.leave(port)
        return await connect_tcp(self, host, port, *arguments, **options)

    monkeypatch.setattr(SocketNetwork, 'connect_tcp', connect_slowly)

    async def run(kind, how, most):
        leavings.how, leavings.most = how, most
        headers = caller_headers(1, x_deadline_ms='1000')
        async with httpcore.AsyncConnectionPool() as pool:
            resp = await call(
                pool, started.address, 'GET', f'/{kind}/x', headers, b''
            )
        reached = {each.name for each in targets if each.requests}
        return resp.status, reached, set(leavings.left)

    return run


# Guards against requests at targets that left after they were chosen, and
# before the request was sent.
@pytest.mark.parametrize('how', ['removed', 'draining'])
@pytest.mark.parametrize('kind', KINDS)
async def test_a_request_goes_to_another_target(send, kind, how):
    status, reached, left = await send(kind, how, 1)
    assert status == 200
    assert len(left) == 1
    assert reached == {'i-1', 'i-2'} - left


# Guards against the same without another target: the request has not run.
@pytest.mark.parametrize('how', ['removed', 'draining'])
@pytest.mark.parametrize('kind', KINDS)
async def test_a_request_without_another_target_is_refused(send, kind, how):
    status, reached, left = await send(kind, how, 2)
    assert status == 503
    assert len(left) == 2
    assert not reached
