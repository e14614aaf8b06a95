"""Connections to targets on sockets: what httpcore expects of a network."""

import socket
import struct

import httpcore
import pytest
import trio
import trio.testing

from peridotwell.serving.socket_network import SocketNetwork, write_now
from peridotwell.serving.socket_options import CLIENT_SOCKET_OPTIONS
from tests.ports import find_free_port

LOCALHOST = '127.0.0.1'
LARGE_BYTES = 8_000_000
# An active close with this option resets the connection.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@pytest.fixture
async def pair(nursery):
    """Both ends of a connection: the network's, and the accepted stream."""
    listeners = await trio.open_tcp_listeners(0, host=LOCALHOST)
    port = listeners[0].socket.getsockname()[1]
    near = await SocketNetwork().connect_tcp(
        LOCALHOST, port, 1, socket_options=CLIENT_SOCKET_OPTIONS
    )
    far = await listeners[0].accept()
    yield near, far
    await near.aclose()
    await far.aclose()
    await listeners[0].aclose()


async def test_bytes_pass_in_both_directions(pair):
    near, far = pair
    await near.write(b'question', 1)
    assert await far.receive_some() == b'question'
    await far.send_all(b'answer')
    assert await near.read(100, 1) == b'answer'
    await far.send_eof()
    assert await near.read(100, None) == b''


async def test_more_bytes_than_the_socket_takes_are_sent_whole(pair, nursery):
    near, far = pair
    content = bytes(range(250)) * (LARGE_BYTES // 250)
    nursery.start_soon(near.write, content, 10)
    received = bytearray()
    while len(received) < len(content):
        received += await far.receive_some()
    assert received == content


# Guards against a target that keeps a router from its other requests: what one
# read brings is parsed at once (a flood of interim responses).
async def test_a_read_takes_no_more_than_is_parsed_in_a_short_turn(pair):
    near, far = pair
    await far.send_all(b'x' * 65536)
    assert len(await near.read(65536, 1)) <= 16384


async def test_a_silent_peer_is_a_timeout(pair):
    near, _ = pair
    with pytest.raises(httpcore.ReadTimeout):
        await near.read(100, 0.05)
    with pytest.raises(httpcore.WriteTimeout):
        await near.write(bytes(LARGE_BYTES * 4), 0.05)


# Guards against an answer that is lost because the process stood still until
# its time had ended, and learns of both at once.
async def test_bytes_that_have_arrived_are_read_although_the_time_has_ended(
    pair, monkeypatch
):
    near, far = pair
    await far.send_all(b'answer')
    await trio.sleep(0.05)

    async def wait_readable(_) -> None:
        await trio.sleep_forever()

    monkeypatch.setattr(trio.lowlevel, 'wait_readable', wait_readable)
    assert await near.read(100, 0.05) == b'answer'
    with pytest.raises(httpcore.ReadTimeout):
        await near.read(100, 0.05)


async def test_a_reset_connection_is_an_error_of_the_network(pair):
    near, far = pair
    for option in CLIENT_SOCKET_OPTIONS:
        far.setsockopt(*option)
    await trio.aclose_forcefully(far)
    with pytest.raises(httpcore.ReadError):
        await near.read(100, 1)
    with pytest.raises(httpcore.WriteError):
        await near.write(b'late', 1)


async def reset(stream):
    """Reset a connection; what was sent before arrives first."""
    await trio.sleep(0.02)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    await trio.aclose_forcefully(stream)
    await trio.sleep(0.02)


# Guards against cut responses that look complete: the system tells of a reset
# once, and a write of nothing, which follows each request, took it.
async def test_a_reset_is_seen_after_a_write_of_nothing(pair):
    near, far = pair
    await far.send_all(b'half')
    await reset(far)
    await near.write(b'', 1)
    assert await near.read(100, 1) == b'half'
    with pytest.raises(httpcore.ReadError):
        await near.read(100, 1)


# Guards against cut responses that look complete because the reset came while
# the body of the request was sent: httpcore ignores the failure of a write.
async def test_a_reset_is_seen_after_a_write_that_it_broke(pair, nursery):
    near, far = pair
    await far.send_all(b'half')
    nursery.start_soon(reset, far)
    with pytest.raises(httpcore.WriteError):
        await near.write(bytes(LARGE_BYTES * 4), 5)
    assert await near.read(100, 1) == b'half'
    with pytest.raises(httpcore.ReadError):
        await near.read(100, 1)


# Guards against whole responses that count as cut because their target closed
# the connection before it had read the whole request.
async def test_an_end_before_a_reset_is_an_end(pair):
    near, far = pair
    await far.send_all(b'whole')
    await far.send_eof()
    await reset(far)
    with pytest.raises(httpcore.WriteError):
        await near.write(b'late', 1)
    assert await near.read(100, 1) == b'whole'
    assert not await near.read(100, 1)


async def test_a_closed_connection_ends_a_waiting_read(pair, nursery):
    near, _ = pair

    async def read():
        with pytest.raises(httpcore.ReadError):
            await near.read(100, 5)

    async with trio.open_nursery() as reading:
        reading.start_soon(read)
        await trio.testing.wait_all_tasks_blocked()
        await near.aclose()


async def test_an_address_where_nothing_listens_is_refused():
    with pytest.raises(httpcore.ConnectError):
        await SocketNetwork().connect_tcp(LOCALHOST, find_free_port(), 1)


async def test_host_names_are_resolved(nursery):
    listeners = await trio.open_tcp_listeners(0, host=LOCALHOST)
    port = listeners[0].socket.getsockname()[1]
    near = await SocketNetwork().connect_tcp('localhost', port, 1)
    far = await listeners[0].accept()
    await near.write(b'question')
    assert await far.receive_some() == b'question'
    for each in (near, far, listeners[0]):
        await each.aclose()


async def test_a_closed_stream_cannot_be_written():
    listeners = await trio.open_tcp_listeners(0, host=LOCALHOST)
    port = listeners[0].socket.getsockname()[1]
    stream = await trio.open_tcp_stream(LOCALHOST, port)
    await stream.aclose()
    with pytest.raises(trio.ClosedResourceError):
        write_now(stream, b'late')
    await listeners[0].aclose()


async def test_arrived_bytes_make_a_connection_readable(pair):
    near, far = pair
    assert not near.get_extra_info('is_readable')
    await far.send_all(b'x')
    with trio.fail_after(1):
        while not near.get_extra_info('is_readable'):
            await trio.sleep(0.01)


# Guards against a target or a store that counts as unreachable because the
# process stood still until the time of the connect had ended.
async def test_a_connection_that_was_made_is_used_although_the_time_has_ended(
    monkeypatch,
):
    async def wait_writable(_) -> None:
        await trio.sleep_forever()

    monkeypatch.setattr(trio.lowlevel, 'wait_writable', wait_writable)
    monkeypatch.setattr(trio._core, 'wait_writable', wait_writable)
    listeners = await trio.open_tcp_listeners(0, host=LOCALHOST)
    port = listeners[0].socket.getsockname()[1]
    near = await SocketNetwork().connect_tcp(LOCALHOST, port, 0.05)
    far = await listeners[0].accept()
    await far.send_all(b'answer')
    assert await near.read(100, 1) == b'answer'
    for each in (near, far, listeners[0]):
        await each.aclose()


async def test_a_connection_that_is_not_made_in_time_is_a_timeout():
    listener = socket.socket()
    listener.bind((LOCALHOST, 0))
    listener.listen(0)
    port = listener.getsockname()[1]
    # The queue of connections that wait to be accepted is full after these.
    waiting = [socket.socket() for _ in range(2)]
    for each in waiting:
        each.setblocking(False)
        each.connect_ex((LOCALHOST, port))
    await trio.sleep(0.05)
    with pytest.raises(httpcore.ConnectTimeout):
        await SocketNetwork().connect_tcp(LOCALHOST, port, 0.1)
    for each in (*waiting, listener):
        each.close()
