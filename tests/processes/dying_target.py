"""A target that dies amid its streams: `PORT SIGNAL SUCCESSOR`.

A process accepts connections and begins streams without a mark of their end.
So many seconds after the first one, it kills itself by a signal. Its parent,
which keeps the port open, starts what follows at once: `restarted` serves whole
streams, `closes` closes all connections, `silent` answers nothing.
"""

import os
import signal
import socket
import sys
from contextlib import suppress

import trio

from tests.mortal_target import MortalTarget, Successor

HELD_SECONDS = 0.5


async def _end_with_parent(parent: int) -> None:
    """End the process when its parent, which holds the pipe, has ended."""
    await trio.lowlevel.wait_readable(parent)
    os._exit(0)


async def _serve(
    listener: socket.socket, parent: int, successor: Successor | None
) -> None:
    target = MortalTarget()
    if successor is not None:
        target.end(successor)
    listening = trio.SocketListener(trio.socket.from_stdlib_socket(listener))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, target.serve, [listening])
        nursery.start_soon(_end_with_parent, parent)
        while successor is None:
            await trio.sleep(0.01)
            if target.held:
                await trio.sleep(HELD_SECONDS)
                os.kill(os.getpid(), signal.Signals[sys.argv[2]])


def main() -> None:
    """Serve, and let the successor follow."""
    listener = socket.create_server(('127.0.0.1', int(sys.argv[1])))
    listener.setblocking(False)
    parent, writer = os.pipe()
    for successor in (None, Successor(sys.argv[3])):
        child = os.fork()
        if not child:
            os.close(writer)
            trio.run(_serve, listener, parent, successor)
        with suppress(ChildProcessError):
            os.waitpid(child, 0)


if __name__ == '__main__':
    main()
