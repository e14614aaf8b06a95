"""A server that takes all connections that have arrived at once.

The library's own takes one a turn of the event loop: in a busy process
connections wait in the system, and what they bring seems to come late.
"""

import socket
from collections.abc import Awaitable, Callable

import trio

__all__ = ('serve_connections',)

Handler = Callable[[trio.SocketStream], Awaitable[None]]


async def serve_connections(
    handler: Handler,
    *,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve connections to a free local port until cancelled.

    Reports 'host:port' through `task_status`.
    """
    with socket.create_server(('127.0.0.1', 0), backlog=1024) as listening:
        listening.setblocking(False)
        async with trio.open_nursery() as nursery:
            task_status.started(f'127.0.0.1:{listening.getsockname()[1]}')
            while True:
                await trio.lowlevel.wait_readable(listening)
                _accept_all(listening, handler, nursery)


def _accept_all(
    listening: socket.socket, handler: Handler, nursery: trio.Nursery
) -> None:
    while True:
        try:
            conn, _ = listening.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return
        conn.setblocking(False)
        accepted = trio.socket.from_stdlib_socket(conn)
        nursery.start_soon(_serve, handler, trio.SocketStream(accepted))


async def _serve(handler: Handler, stream: trio.SocketStream) -> None:
    try:
        await handler(stream)
    finally:
        await trio.aclose_forcefully(stream)
