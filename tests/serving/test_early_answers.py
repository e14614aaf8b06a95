"""Answers that are sent before the request has arrived as a whole."""

import pytest
import trio

from peridotwell.serving import caller_connection, caller_protocol
from peridotwell.serving.asgi import serve_http

ANSWER = b'unknown'
HEAD = b'POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n'
PART = b'b' * 65_536


@pytest.fixture
async def connect(nursery):
    """Connect to a server that refuses requests without reading bodies."""

    async def handle(exchange):
        await exchange.respond(404, ANSWER)

    address = await nursery.start(serve_http, handle, '127.0.0.1:0')
    host, _, port = address.rpartition(':')

    async def open_stream():
        return await trio.open_tcp_stream(host, int(port))

    return open_stream


async def read_answer(stream) -> bytes:
    received = bytearray()
    with trio.fail_after(3):
        while not received.endswith(ANSWER):
            part = await stream.receive_some(len(PART))
            assert part, bytes(received)
            received += part
    return bytes(received)


async def send_without_end(stream) -> None:
    while True:
        await stream.send_all(PART)
        await trio.sleep(0.01)


# Guards against a caller's connection that is closed without a word because its
# request was refused before the body had arrived.
@pytest.mark.parametrize('parts', [1, 40])
async def test_the_connection_is_kept_when_the_body_arrives_late(
    connect, parts
):
    stream = await connect()
    for _ in range(2):
        await stream.send_all(HEAD % (parts * len(PART)))
        assert b'connection' not in (await read_answer(stream)).lower()
        for _ in range(parts):
            await stream.send_all(PART)
    await stream.send_all(b'GET /x HTTP/1.1\r\nhost: a\r\n\r\n')
    assert (await read_answer(stream)).startswith(b'HTTP/1.1 404')


# Guards against an exchange that never ends because nobody reads its body.
async def test_a_body_that_waits_to_be_read_is_dropped(connect):
    stream = await connect()
    for _ in range(2):
        await stream.send_all(HEAD % (40 * len(PART)) + 40 * PART)
        await read_answer(stream)


async def test_chunks_of_a_body_are_dropped_too(connect):
    stream = await connect()
    for _ in range(2):
        await stream.send_all(
            b'POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
        )
        await read_answer(stream)
        await stream.send_all(b'3\r\nabc\r\n0\r\n\r\n')


# Guards against an answer that a reset destroys while the caller still sends.
async def test_an_answer_to_a_body_that_is_too_long_can_be_read(connect):
    stream = await connect()
    await stream.send_all(HEAD % (1 << 30))
    await trio.sleep(0.1)
    for _ in range(100):
        await stream.send_all(PART)
    answer = await read_answer(stream)
    assert b'connection: close' in answer.lower()
    assert await stream.receive_some() == b''


# The same for an answer that the HTTP library gives on its own.
async def test_an_answer_to_an_unreadable_request_can_be_read(connect):
    stream = await connect()
    await stream.send_all(b'GET  / x\r\n\r\n')
    await trio.sleep(0.1)
    for _ in range(20):
        await stream.send_all(PART)
    with trio.fail_after(2):
        assert (await stream.receive_some()).startswith(b'HTTP/1.1 400')
        assert await stream.receive_some() == b''


async def test_a_caller_who_goes_on_sending_is_cut_off(connect, monkeypatch):
    monkeypatch.setattr(caller_connection, 'LINGER_SECONDS', 0.2)
    stream = await connect()
    await stream.send_all(HEAD % (1 << 30))
    await read_answer(stream)
    with trio.fail_after(2), pytest.raises(trio.BrokenResourceError):
        await send_without_end(stream)


async def test_a_body_that_does_not_end_is_read_for_a_limited_time(
    connect, monkeypatch
):
    monkeypatch.setattr(caller_protocol, 'REST_SECONDS', 0.2)
    stream = await connect()
    await stream.send_all(HEAD % 1000)
    await read_answer(stream)
    with trio.fail_after(1):
        assert await stream.receive_some() == b''


async def test_of_an_endless_body_a_limited_part_is_read(connect, monkeypatch):
    monkeypatch.setattr(caller_protocol, 'REST_LIMIT_BYTES', 100_000)
    stream = await connect()
    await stream.send_all(
        b'POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
    )
    await read_answer(stream)
    for _ in range(3):
        await stream.send_all(b'%x\r\n%b\r\n' % (len(PART), PART))
    with trio.fail_after(1):
        assert await stream.receive_some() == b''
