"""A path to a replica, which may be cut for a time."""

import socket
import struct
from contextlib import suppress

import trio
from tests.ports import find_free_port

__all__ = ('Path',)

READ_BYTES = 65536
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Path:
    """Passes channels on to a replica; `address` is that of this end.

    While the path is cut, no byte passes, no end of a channel, and no new
    channel. As on a network whose packets are sent again, what was held up
    arrives once the path is whole.
    """

    def __init__(self, target: str) -> None:
        """Create a path to a target."""
        self.address = f'127.0.0.1:{find_free_port()}'
        self._target = target
        self._is_whole = trio.Event()
        self._is_whole.set()

    def cut(self) -> None:
        """Let nothing pass."""
        self._is_whole = trio.Event()

    def mend(self) -> None:
        """Let all pass, also what was held up."""
        self._is_whole.set()

    async def start(self, nursery: trio.Nursery) -> None:
        """Accept channels."""
        host, _, port = self.address.rpartition(':')
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)

    async def _serve(self, near: trio.SocketStream) -> None:
        await self._is_whole.wait()
        host, _, port = self._target.rpartition(':')
        try:
            far = await trio.open_tcp_stream(host, int(port))
        except OSError:
            # The port is closed: the channel is reset.
            near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            near.socket.close()
            return
        async with far, trio.open_nursery() as nursery:
            nursery.start_soon(self._pass_on, near, far, nursery)
            nursery.start_soon(self._pass_on, far, near, nursery)

    async def _pass_on(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        nursery: trio.Nursery,
    ) -> None:
        broken = (trio.BrokenResourceError, trio.ClosedResourceError)
        with suppress(*broken):
            while content := await source.receive_some(READ_BYTES):
                await self._is_whole.wait()
                await sink.send_all(content)
            await self._is_whole.wait()
            await sink.send_eof()
            return
        nursery.cancel_scope.cancel()
