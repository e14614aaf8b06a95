"""Tests of the socket options of connections to targets and callers."""

import itertools
import socket

import httpcore
import pytest
import trio

from peridotwell.attempt_errors import ResponseTimeout
from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.serving.asgi import CALLER_SOCKET_OPTIONS
from peridotwell.serving.socket_options import CLIENT_SOCKET_OPTIONS
from peridotwell.serving.target_client import ResponseTimeouts, TargetClient
from tests.raw_target import RawResponse, RawTarget
from tests.soak.proxy import start_proxy

# A sound peer may stand still for a second or so.
SOUND_PAUSE_SECONDS = 1.5


def fatal_silence_seconds(options):
    """Return the shortest silence of a peer that ends an idle connection.

    The silence begins with the first probe. On Linux, TCP_USER_TIMEOUT replaces
    the limit on the number of probes: the connection ends when a probe is due
    and nothing has arrived for that time.
    """
    settings = {option: setting for _, option, setting in options}
    idle = settings[socket.TCP_KEEPIDLE]
    user_timeout = settings[socket.TCP_USER_TIMEOUT] / 1000
    for probes in itertools.count(1):
        since_data = idle + probes * settings[socket.TCP_KEEPINTVL]
        if since_data >= user_timeout:
            return since_data - idle
    raise AssertionError


# Guards against connections, with the requests on them, that keep-alive ends
# because a sound peer stood still for a second.
@pytest.mark.parametrize(
    'options', [CLIENT_SOCKET_OPTIONS, CALLER_SOCKET_OPTIONS]
)
def test_keepalive_bears_a_peer_that_stands_still_for_a_moment(options):
    assert fatal_silence_seconds(options) > SOUND_PAUSE_SECONDS


# Guards against requests that were given up during a partition and reach their
# target when it ends, in which case a brittle one falls over (soak seed 3667).
async def test_a_request_that_was_given_up_does_not_arrive(nursery):
    target = RawTarget([RawResponse(('HTTP/1.1 200 OK', '', ''))])
    proxy = await start_proxy(nursery, await target.start(nursery))
    proxy.hold('requests')
    pool = Pool('dc1', 'ledger')
    client = TargetClient(Target('t', proxy.address, TargetKind.service, pool))
    request = httpcore.Request(
        'POST',
        f'http://{proxy.address}/',
        headers=[('host', proxy.address), ('content-length', '1')],
        content=b'q',
    )
    with pytest.raises(ResponseTimeout):
        async with client.send(request, ResponseTimeouts(0.1, 0.1)):
            pytest.fail('There is no response.')
    await trio.sleep(0.05)
    proxy.release('requests')
    await trio.sleep(0.1)
    assert not target.requests
