"""Tests of the check whether a connection to a target can be made."""

import time

import pytest
import trio

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.forwarding.sending.connection_check import can_connect
from tests.ports import find_free_port

TIMEOUT_SECONDS = 0.2


def target(port):
    address = f'127.0.0.1:{port}'
    return Target('t', address, TargetKind.service, Pool('a', 's'))


@pytest.fixture
async def port(nursery):
    async def serve(stream):
        await stream.receive_some()

    listeners = await nursery.start(trio.serve_tcp, serve, 0)
    return listeners[0].socket.getsockname()[1]


async def test_a_listening_target_can_be_reached(port):
    assert await can_connect(target(port), TIMEOUT_SECONDS)


async def test_a_refusing_target_cannot_be_reached():
    assert not await can_connect(target(find_free_port()), TIMEOUT_SECONDS)


async def test_a_hanging_path_is_given_up_in_time(monkeypatch):
    async def never_connect(host, port):
        await trio.sleep_forever()

    monkeypatch.setattr(trio, 'open_tcp_stream', never_connect)
    started_at = trio.current_time()
    assert not await can_connect(target(1), TIMEOUT_SECONDS)
    assert TIMEOUT_SECONDS <= trio.current_time() - started_at < 0.5


# Guards against sound targets that count as unreachable because this process
# stood still while it connected.
@pytest.mark.parametrize('late_seconds', [0.005, 0.5])
async def test_a_stop_of_the_process_does_not_count(
    nursery, port, late_seconds
):
    async def stand_still():
        # Nothing else runs meanwhile.
        time.sleep(TIMEOUT_SECONDS + late_seconds)

    for _ in range(10):
        nursery.start_soon(stand_still)
        assert await can_connect(target(port), TIMEOUT_SECONDS)
