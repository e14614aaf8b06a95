"""Socket options that detect connections whose peer is unreachable."""

import socket

__all__ = ('SocketOptions', 'CLIENT_SOCKET_OPTIONS', 'keepalive_options')

SocketOptions = tuple[tuple[int, int, int], ...]
MAX_UNANSWERED_PROBES = 2
UNACKNOWLEDGED_MILLISECONDS = 3000


def keepalive_options(
    idle_seconds: int,
    probe_seconds: int,
    unacknowledged_milliseconds: int,
) -> SocketOptions:
    """Return options that end a connection whose peer is unreachable.

    A connection that is idle for `idle_seconds` is probed every
    `probe_seconds`. Sent data must be acknowledged within
    `unacknowledged_milliseconds`.
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


# Options of connections to targets and to the store. A connection whose peer
# stops acknowledging data fails after about 3 s.
CLIENT_SOCKET_OPTIONS = keepalive_options(
    idle_seconds=2,
    probe_seconds=1,
    unacknowledged_milliseconds=UNACKNOWLEDGED_MILLISECONDS,
)
