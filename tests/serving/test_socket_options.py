"""Tests of the socket options of connections to targets and callers."""

import itertools
import socket

import pytest

from peridotwell.serving.asgi import CALLER_SOCKET_OPTIONS
from peridotwell.serving.socket_options import CLIENT_SOCKET_OPTIONS

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
