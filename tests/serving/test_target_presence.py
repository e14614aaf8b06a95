"""Tests of the check whether a target that ended a connection is there."""

import httpcore
import pytest
import trio

from peridotwell.attempt_errors import ResponseTruncated
from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.serving import target_presence
from peridotwell.serving.target_presence import check_still_listens
from tests.ports import find_free_port

TIMEOUT_SECONDS = 0.2


def target(port):
    address = f'127.0.0.1:{port}'
    return Target('t', address, TargetKind.service, Pool('a', 's'))


async def test_a_target_that_refuses_connections_may_have_cut_its_response():
    with pytest.raises(ResponseTruncated):
        await check_still_listens(target(find_free_port()), TIMEOUT_SECONDS)


async def test_a_target_that_listens_has_ended_its_response(nursery):
    async def serve(stream):
        await stream.receive_some()

    listeners = await nursery.start(trio.serve_tcp, serve, 0)
    port = listeners[0].socket.getsockname()[1]
    await check_still_listens(target(port), TIMEOUT_SECONDS)


# Guards against cut responses of a process that ends and closes the port at
# which it listens after its connections.
async def test_a_target_that_stops_listening_a_moment_later_has_gone(nursery):
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listeners[0].socket.getsockname()[1]

    async def stop_listening():
        await trio.sleep(0.01)
        await listeners[0].aclose()

    nursery.start_soon(stop_listening)
    with pytest.raises(ResponseTruncated):
        await check_still_listens(target(port), TIMEOUT_SECONDS)


# Guards against whole responses that count as cut because their target takes no
# more connections.
async def test_a_target_that_ends_each_connection_is_there(nursery):
    async def refuse(stream):
        await trio.aclose_forcefully(stream)

    listeners = await nursery.start(trio.serve_tcp, refuse, 0)
    port = listeners[0].socket.getsockname()[1]
    await check_still_listens(target(port), TIMEOUT_SECONDS)


# Guards against whole responses that count as cut because the way to their
# target is cut right after them.
@pytest.mark.parametrize(
    'error',
    [httpcore.ConnectTimeout(), httpcore.ConnectError('no route to host')],
)
async def test_a_target_that_cannot_be_reached_may_be_sound(monkeypatch, error):
    class Unreachable:
        async def connect_tcp(self, host, port, timeout):
            raise error

    monkeypatch.setattr(target_presence, 'SocketNetwork', Unreachable)
    await check_still_listens(target(1), TIMEOUT_SECONDS)
