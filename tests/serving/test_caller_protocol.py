"""Proper requests that the HTTP library would answer on its own."""

import pytest
import trio

from peridotwell.serving.asgi import serve_http

PLAIN = b'GET /x HTTP/1.1\r\nhost: a\r\n\r\n'
H2C = (
    b'GET /x HTTP/1.1\r\nhost: a\r\nconnection: Upgrade, HTTP2-Settings\r\n'
    b'upgrade: h2c\r\nhttp2-settings: AAMAAABkAAQAAP__\r\n\r\n'
)
WEBSOCKET = (
    b'GET /x HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\n'
    b'upgrade: websocket\r\n\r\n'
)


@pytest.fixture
async def stream(nursery):
    """Return a connection to a server that responds to each request."""

    async def handle(exchange):
        await exchange.body()
        await exchange.respond(200, b'done')

    address = await nursery.start(serve_http, handle, '127.0.0.1:0')
    host, _, port = address.rpartition(':')
    return await trio.open_tcp_stream(host, int(port))


async def read_answer(stream) -> bytes:
    received = bytearray()
    with trio.fail_after(1):
        while not received.endswith(b'done'):
            part = await stream.receive_some()
            assert part, bytes(received)
            received += part
    return bytes(received)


# Guards against a proper request that is refused, or answered 101, because it
# offers to go on with another protocol. An offer may be ignored (RFC 9110).
@pytest.mark.parametrize('request_', [H2C, WEBSOCKET])
async def test_an_offer_of_another_protocol_is_ignored(stream, request_):
    for _ in range(2):
        await stream.send_all(request_)
        assert (await read_answer(stream)).startswith(b'HTTP/1.1 200')


# Guards against a request that is refused because of an empty line before it.
@pytest.mark.parametrize('lines', [b'\r\n', b'\n', b'\r\n' * 30_000])
async def test_empty_lines_before_a_request_are_ignored(stream, lines):
    for _ in range(2):
        await stream.send_all(lines + PLAIN)
        assert (await read_answer(stream)).startswith(b'HTTP/1.1 200')


# The same for one that follows a body or arrives in parts.
async def test_an_empty_line_after_a_body_is_ignored(stream):
    await stream.send_all(
        b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nab\r\n' + PLAIN
    )
    answers = b''
    while answers.count(b'HTTP/1.1 200') < 2:
        answers += await read_answer(stream)
    for part in (b'\r', b'\n', b'\r', b'\n', PLAIN[:1], PLAIN[1:]):
        await stream.send_all(part)
        await trio.sleep(0.02)
    assert (await read_answer(stream)).startswith(b'HTTP/1.1 200')


async def test_a_line_break_without_its_end_is_no_empty_line(stream):
    await stream.send_all(b'\r' + PLAIN)
    with trio.fail_after(1):
        assert (await stream.receive_some()).startswith(b'HTTP/1.1 400')
