"""Socket options that detect and drop connections to unreachable peers."""

import socket
import struct

__all__ = ('SocketOptions', 'CLIENT_SOCKET_OPTIONS', 'keepalive_options')

SocketOptions = tuple[tuple[int, int, int] | tuple[int, int, bytes], ...]
MAX_UNANSWERED_PROBES = 2
UNACKNOWLEDGED_MILLISECONDS = 3500


def keepalive_options(
    idle_seconds: int,
    probe_seconds: int,
    unacknowledged_milliseconds: int,
) -> SocketOptions:
    """Return options that end a connection whose peer is unreachable.

    A connection that is idle for `idle_seconds` is probed every
    `probe_seconds`. Sent data must be acknowledged within
    `unacknowledged_milliseconds`. Linux also ends a connection when a probe is
    due, the one before is unanswered and nothing has arrived for that time,
    whatever the number of probes (tcp(7), TCP_USER_TIMEOUT).
    """
    return (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle_seconds),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, probe_seconds),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_UNANSWERED_PROBES),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            unacknowledged_milliseconds,
        ),
    )


# A close resets the connection. Bytes that the peer has not received are
# dropped: a request that was given up does not arrive when a partition ends.
RESET_ON_CLOSE = (
    socket.SOL_SOCKET,
    socket.SO_LINGER,
    struct.pack('ii', 1, 0),
)
# Options of connections to targets and to the store. A connection whose peer
# stops acknowledging data fails after about 4 s. A peer that stands still for
# less than 2 s loses none.
CLIENT_SOCKET_OPTIONS = (
    *keepalive_options(
        idle_seconds=2,
        probe_seconds=1,
        unacknowledged_milliseconds=UNACKNOWLEDGED_MILLISECONDS,
    ),
    RESET_ON_CLOSE,
)
