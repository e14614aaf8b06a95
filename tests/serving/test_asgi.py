"""The HTTP server: cancelled handlers, and planned stops."""

import socket
import struct
from contextlib import suppress
from functools import partial

import httpcore
import pytest
import trio

from peridotwell.serving.asgi import HttpServer, serve_http


async def fetch_body(address) -> bytes:
    async with httpcore.AsyncConnectionPool() as pool:
        resp = await pool.request(
            'GET',
            f'http://{address}/',
            extensions={'timeout': {'read': 1}},
        )
        return resp.content


async def test_end_of_response_is_sent_despite_cancellation(nursery):
    """Guards against a caller that waits forever for the end of a response.

    hypercorn considered the cancelled end sent and kept the connection open.
    The soak test found this with seed 6.
    """

    async def handle(exchange) -> None:
        await exchange.start_response(200)
        await exchange.write(b'all of it')
        with trio.CancelScope() as scope:
            scope.cancel()
            await exchange.finish()

    address = await nursery.start(serve_http, handle, '127.0.0.1:0')
    assert await fetch_body(address) == b'all of it'


async def test_start_of_response_is_sent_once_despite_cancellation(nursery):
    """Guards against an error response that hypercorn sent additionally."""

    async def handle(exchange) -> None:
        with trio.CancelScope() as scope:
            scope.cancel()
            await exchange.start_response(200)
        await exchange.finish(b'all of it')

    address = await nursery.start(serve_http, handle, '127.0.0.1:0')
    assert await fetch_body(address) == b'all of it'


# Guards against a proper request that the server refuses on its own because its
# header fields arrive in several parts.
@pytest.mark.parametrize('limit_bytes', [16_384, 200_000])
async def test_header_fields_up_to_the_limit_may_arrive_in_parts(
    nursery, limit_bytes
):
    async def handle(exchange):
        await exchange.respond(200, exchange.headers['x-last'].encode())

    server = HttpServer(handle)
    server.set_header_limit(limit_bytes)
    address = await nursery.start(
        partial(server.run, '127.0.0.1:0', shutdown=trio.sleep_forever)
    )
    # Separators do not count towards the limit.
    fields = b''.join(
        b'X-%05d: %b\r\n' % (number, b'v' * 91)
        for number in range(limit_bytes // 100)
    )
    host, _, port = address.rpartition(':')
    stream = await trio.open_tcp_stream(host, int(port))
    for part in (b'GET / HTTP/1.1\r\nHost: a\r\n', fields, b'X-Last: yes\r\n'):
        await stream.send_all(part)
        await trio.sleep(0.05)
    await stream.send_all(b'\r\n')
    with trio.fail_after(2):
        received = await stream.receive_some()
    assert received.startswith(b'HTTP/1.1 200')
    assert received.endswith(b'yes')


async def test_a_request_that_cannot_be_read_leaves_a_line(nursery, caplog):
    async def handle(exchange):
        await exchange.respond(404, b'unknown')

    address = await nursery.start(serve_http, handle, '127.0.0.1:0')
    host, _, port = address.rpartition(':')
    for content in (b'GET / HTTP/1.1\r\nhost: a\r\n\r\n', b'GET  / x\r\n\r\n'):
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(content)
        assert (await stream.receive_some()).startswith(b'HTTP/1.1 4')
    lines = [
        record.msg for record in caplog.records if isinstance(record.msg, dict)
    ]
    assert [line for line in lines if line['event'] != 'connection.failed'] == [
        {'event': 'request.unreadable', 'status': '400'}
    ]


# Guards against callers who are not told that a server that stops closes their
# connection, whichever of the two request paths serves them.
async def test_responses_that_start_during_a_stop_close_their_connections(
    nursery,
):
    async def handle(exchange):
        await exchange.respond(200, b'done')

    server = HttpServer(handle)
    address = await nursery.start(
        partial(server.run, '127.0.0.1:0', shutdown=trio.sleep_forever)
    )
    async with httpcore.AsyncConnectionPool() as pool:
        before = await pool.request('GET', f'http://{address}/')
        server.begin_stop()
        after = await pool.request('GET', f'http://{address}/')
    assert b'connection' not in dict(before.headers)
    assert dict(after.headers)[b'connection'] == b'close'


# Guards against a body that lacks a part whose sending was cancelled, before it
# began or while the caller did not read.
@pytest.mark.parametrize('part_bytes', [9, 16_000_000])
@pytest.mark.parametrize('cancel_after', [0, 0.05])
async def test_part_of_body_is_sent_despite_cancellation(
    nursery, part_bytes, cancel_after
):
    async def handle(exchange) -> None:
        await exchange.start_response(200)
        with trio.move_on_after(cancel_after):
            await exchange.write(b'x' * part_bytes)
        await exchange.finish(b'end')

    address = await nursery.start(serve_http, handle, '127.0.0.1:0')
    host, port = address.split(':')
    caller = await trio.open_tcp_stream(host, int(port))
    async with caller:
        await caller.send_all(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
        await trio.sleep(0.2)
        received = bytearray()
        with trio.fail_after(10):
            while not received.endswith(b'\r\n3\r\nend\r\n0\r\n\r\n'):
                received += await caller.receive_some()
    assert received.count(b'x') == part_bytes


PARTS = (b'id: 1\n\n', b'', b'x' * 300, b'end')
CHUNKS = b''.join(b'%x\r\n%b\r\n' % (len(part), part) for part in PARTS if part)
LENGTH = ('content-length', str(len(b''.join(PARTS))))


# Guards against bytes of another framing in a body, and against an empty part
# that ends one.
@pytest.mark.parametrize(
    ('request_line', 'status', 'fields', 'body'),
    [
        (b'GET / HTTP/1.1', 200, (), CHUNKS + b'0\r\n\r\n'),
        (b'GET / HTTP/1.1', 200, (LENGTH,), b''.join(PARTS)),
        (b'GET / HTTP/1.0', 200, (), b''.join(PARTS)),
        (b'HEAD / HTTP/1.1', 200, (), b''),
        (b'GET / HTTP/1.1', 204, (), b''),
    ],
)
async def test_parts_of_a_body_are_framed_as_its_head_says(
    nursery, request_line, status, fields, body
):
    async def handle(exchange) -> None:
        await exchange.start_response(status, fields)
        for part in PARTS:
            await exchange.write(part)
        await exchange.finish()

    address = await nursery.start(serve_http, handle, '127.0.0.1:0')
    host, port = address.split(':')
    caller = await trio.open_tcp_stream(host, int(port))
    async with caller:
        await caller.send_all(
            b'%b\r\nhost: a\r\nconnection: close\r\n\r\n' % request_line
        )
        received = b''
        with trio.fail_after(5):
            async for part in caller:
                received += part
    assert received.partition(b'\r\n\r\n')[2] == body


# Guards against a handler that goes on, or an error that ends other requests,
# after a caller has reset its connection between two parts.
async def test_writing_ends_after_the_caller_has_gone(nursery):
    has_gone = trio.Event()
    ended = trio.Event()

    async def handle(exchange) -> None:
        await exchange.start_response(200)
        await exchange.write(b'first')
        await has_gone.wait()
        await trio.sleep(0.05)
        with trio.move_on_after(2):
            await exchange.wait_for_disconnect()
            for _ in range(3):
                with suppress(trio.ClosedResourceError):
                    await exchange.write(b'next')
            ended.set()

    address = await nursery.start(serve_http, handle, '127.0.0.1:0')
    host, port = address.split(':')
    caller = await trio.open_tcp_stream(host, int(port))
    await caller.send_all(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
    await caller.receive_some()
    reset = struct.pack('ii', 1, 0)
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
    await trio.aclose_forcefully(caller)
    has_gone.set()
    with trio.fail_after(5):
        await ended.wait()
