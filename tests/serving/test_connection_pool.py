"""Connections of requests that are given up when they have just been made."""

from contextlib import suppress

import httpcore
import pytest
import trio
import trio.testing

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.serving.connection_pool import ConnectionPool
from peridotwell.serving.socket_network import SocketNetwork
from peridotwell.serving.target_client import ResponseTimeouts, TargetClient
from peridotwell.store.http_client import StoreHttpClient
from tests.raw_server import response

MAX_CONNECTIONS = 2
TIMEOUT_SECONDS = 2
MANY_CONNECTIONS = 1000
CALLERS = 40
REQUESTS_OF_CALLER = 5
# To open a connection and to begin a request on it.
MAX_TURNS = 8
ANSWER = response(200, b'{}', 'x-request-id: mine')


async def serve(stream):
    with suppress(trio.BrokenResourceError):
        while await stream.receive_some():
            await stream.send_all(ANSWER)


@pytest.fixture
async def address(nursery):
    listeners = await nursery.start(trio.serve_tcp, serve, 0)
    return f'127.0.0.1:{listeners[0].socket.getsockname()[1]}'


@pytest.fixture
def give_up(monkeypatch):
    """Return a function that makes a call, and cancels it once connected."""
    scope = trio.CancelScope()
    connect_tcp = SocketNetwork.connect_tcp

    async def connect_and_cancel(self, *arguments, **options):
        stream = await connect_tcp(self, *arguments, **options)
        scope.cancel()
        return stream

    async def run(call):
        nonlocal scope
        scope = trio.CancelScope()
        with monkeypatch.context() as patch, scope:
            patch.setattr(SocketNetwork, 'connect_tcp', connect_and_cancel)
            await call()
        assert scope.cancelled_caught

    return run


def make_request(address):
    return httpcore.Request(
        'GET',
        f'http://{address}/',
        headers=[('host', address), ('x-request-id', 'mine')],
    )


# Guards against connections to targets that stay open for good.
@pytest.mark.parametrize('new_connection', [False, True])
async def test_a_request_that_is_given_up_keeps_no_connection(
    give_up, address, new_connection
):
    client = TargetClient(
        Target('t', address, TargetKind.service, Pool('a', 's'))
    )

    async def send():
        async with client.send(
            make_request(address),
            ResponseTimeouts(TIMEOUT_SECONDS, TIMEOUT_SECONDS),
            new_connection=new_connection,
        ) as resp:
            return await resp.read_body()

    await give_up(send)
    assert not client.is_busy()
    assert await send() == b'{}'


# Guards against a router that cannot call the store any more, because calls
# that were given up hold all connections.
async def test_calls_that_are_given_up_leave_room_for_others(give_up, address):
    client = StoreHttpClient(
        f'http://{address}/', MAX_CONNECTIONS, TIMEOUT_SECONDS
    )

    async def call():
        return await client.send('GET', '', b'', TIMEOUT_SECONDS)

    for _ in range(MAX_CONNECTIONS):
        await give_up(call)
    assert (await call()).status == 200


# Guards against the same, because a call was given up while it waited for a
# connection, just before it got one.
async def test_a_call_that_waits_for_a_connection_may_be_given_up(
    nursery, monkeypatch
):
    is_silent = True

    async def serve_later(stream):
        if is_silent:
            await trio.sleep_forever()
        await serve(stream)

    listeners = await nursery.start(trio.serve_tcp, serve_later, 0)
    port = listeners[0].socket.getsockname()[1]
    client = StoreHttpClient(f'http://127.0.0.1:{port}/', 1, TIMEOUT_SECONDS)

    async def call(scope):
        with scope:
            return await client.send('GET', '', b'', TIMEOUT_SECONDS)

    first, second = trio.CancelScope(), trio.CancelScope()
    async with trio.open_nursery() as calls:
        calls.start_soon(call, first)
        await trio.testing.wait_all_tasks_blocked()
        calls.start_soon(call, second)
        await trio.testing.wait_all_tasks_blocked()
        connect_tcp = SocketNetwork.connect_tcp

        async def cancel_and_connect(self, *arguments, **options):
            second.cancel()
            return await connect_tcp(self, *arguments, **options)

        with monkeypatch.context() as patch:
            patch.setattr(SocketNetwork, 'connect_tcp', cancel_and_connect)
            first.cancel()
            await trio.testing.wait_all_tasks_blocked()
        assert second.cancelled_caught
    is_silent = False
    assert (await call(trio.CancelScope())).status == 200


class TurnCounter(trio.abc.Instrument):
    """Counts the turns of the event loop."""

    def __init__(self):
        self.count = 0

    def before_io_wait(self, timeout):
        self.count += 1


# Guards against requests that reach a target seconds after it was chosen: many
# at once were given the same connection, and all but one began again.
async def test_requests_at_once_do_not_wait_for_each_other(address):
    pool = ConnectionPool(MANY_CONNECTIONS)
    turns = TurnCounter()
    trio.lowlevel.add_instrument(turns)
    taken = []

    async def send():
        began = turns.count

        async def record_sent(event, _):
            if event == 'http11.send_request_headers.started':
                taken.append(turns.count - began)

        await pool.request(
            'GET', f'http://{address}/', extensions={'trace': record_sent}
        )

    async def send_again_and_again():
        for _ in range(REQUESTS_OF_CALLER):
            await send()

    async with trio.open_nursery() as nursery:
        for _ in range(CALLERS):
            nursery.start_soon(send_again_and_again)
    trio.lowlevel.remove_instrument(turns)
    assert len(taken) == CALLERS * REQUESTS_OF_CALLER
    assert max(taken) <= MAX_TURNS
