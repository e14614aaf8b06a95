"""Idle connections of callers, and requests that arrive as they are closed."""

import time
from functools import partial

import pytest
import trio

from peridotwell.serving.asgi import HttpServer

REQUEST = b'GET /x HTTP/1.1\r\nhost: a\r\n\r\n'
IDLE_SECONDS = 0.3
STALL_SECONDS = 0.2


@pytest.fixture
async def connect(nursery):
    """Connect to a server that responds after a moment."""

    async def handle(exchange):
        await exchange.body()
        await trio.sleep(0.1)
        await exchange.respond(200, b'done')

    server = HttpServer(handle)
    server.set_idle_timeout(IDLE_SECONDS)
    closing = trio.Event()

    async def run(task_status=trio.TASK_STATUS_IGNORED):
        await server.run(
            '127.0.0.1:0', shutdown=closing.wait, task_status=task_status
        )

    host, _, port = (await nursery.start(run)).rpartition(':')

    async def open_stream():
        return await trio.open_tcp_stream(host, int(port)), closing

    return open_stream


# Guards against requests that were read whole and whose connection the timer of
# the idle time closed, after the process had stood still for a moment.
@pytest.mark.parametrize('attempt', range(12))
async def test_request_beside_the_end_of_the_idle_time(connect, attempt):
    stream, _ = await connect()
    await trio.sleep(IDLE_SECONDS - 0.02)
    stream.socket._sock.send(REQUEST)
    time.sleep(STALL_SECONDS)
    with trio.fail_after(2):
        received = await stream.receive_some(1000)
    assert received.startswith(b'HTTP/1.1 200')


# The same when a planned stop closes idle connections.
@pytest.mark.parametrize('attempt', range(6))
async def test_request_beside_a_planned_stop(connect, attempt):
    stream, closing = await connect()
    await trio.sleep(0.05)
    stream.socket._sock.send(REQUEST)
    closing.set()
    time.sleep(STALL_SECONDS)
    with trio.fail_after(2):
        received = await stream.receive_some(1000)
    assert received.startswith(b'HTTP/1.1 200')


async def test_an_idle_connection_is_closed(connect):
    stream, _ = await connect()
    with trio.fail_after(IDLE_SECONDS + 0.5):
        assert await stream.receive_some(1000) == b''


async def test_an_idle_connection_is_closed_at_a_planned_stop(connect):
    stream, closing = await connect()
    await trio.sleep(0.05)
    closing.set()
    with trio.fail_after(0.2):
        assert await stream.receive_some(1000) == b''


# Guards against connections that callers have closed and that stay open here
# until their idle time ends.
async def test_a_connection_that_its_caller_closes_ends_at_once(nursery):
    async def handle(exchange):
        await exchange.respond(200, b'done')

    server = HttpServer(handle)
    host, _, port = (
        await nursery.start(
            partial(server.run, '127.0.0.1:0', shutdown=trio.sleep_forever)
        )
    ).rpartition(':')
    stream = await trio.open_tcp_stream(host, int(port))
    await stream.send_all(REQUEST)
    await stream.receive_some(1000)
    assert server.open_connections == 1
    await stream.aclose()
    with trio.fail_after(1):
        while server.open_connections:
            await trio.sleep(0.02)
