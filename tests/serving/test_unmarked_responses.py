"""Responses without a length or chunks, as a caller's socket gets them."""

import pytest
import trio

from peridotwell.policy.room.buffer_budget import BufferBudget
from peridotwell.serving.asgi import serve_http
from peridotwell.serving.http_exchange import HttpExchange

REQUEST = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
# More than the sockets of both sides hold.
LONG_BODY = bytes(20_000_000)
SETTLE_SECONDS = 0.2


async def open_stream(nursery, handle) -> trio.SocketStream:
    """Serve `handle`, and send it a request."""
    address = await nursery.start(serve_http, handle, '127.0.0.1:0')
    port = int(address.rpartition(':')[2])
    stream = await trio.open_tcp_stream('127.0.0.1', port)
    await stream.send_all(REQUEST)
    return stream


async def read_all(stream: trio.SocketStream) -> bytes:
    received = b''
    while part := await stream.receive_some():
        received += part
    return received


async def begin(exchange: HttpExchange) -> None:
    await exchange.start_raw_response(200, (), ends_with_connection=True)


# Guards against chunks or a length behind a target that marked no end.
async def test_the_connection_ends_with_the_body(nursery):
    async def handle(exchange):
        await begin(exchange)
        await exchange.write(b'a')
        await exchange.finish(b'b')

    answer = await read_all(await open_stream(nursery, handle))
    head, _, body = answer.partition(b'\r\n\r\n')
    assert body == b'ab'
    head = head.lower()
    assert b'connection: close' in head
    assert b'transfer-encoding' not in head
    assert b'content-length' not in head


# Guards against an ordinary end of such a body when it is cut.
async def test_a_body_that_is_cut_ends_with_a_reset(nursery):
    async def handle(exchange):
        await begin(exchange)
        await exchange.write(b'a')

    stream = await open_stream(nursery, handle)
    with pytest.raises(trio.BrokenResourceError):
        await read_all(stream)


# Guards against the same when its memory is taken while its caller is slow.
async def test_a_body_that_is_ended_for_its_memory_ends_with_a_reset(nursery):
    shares = []

    async def handle(exchange):
        share = BufferBudget(len(LONG_BODY)).open('group', lambda: None)
        exchange.hold(share)
        shares.append(share)
        await begin(exchange)
        await exchange.finish(LONG_BODY)

    stream = await open_stream(nursery, handle)
    await trio.sleep(SETTLE_SECONDS)
    shares[0].end()
    with pytest.raises(trio.BrokenResourceError):
        await read_all(stream)
