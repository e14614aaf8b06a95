"""A proxy on loopback that delays, holds, refuses and resets connections."""

import socket
import struct

import trio

__all__ = ('FaultProxy', 'start_proxy')

CHUNK_BYTES = 65536
LINGER_RESET = struct.pack('ii', 1, 0)


class FaultProxy:
    """All connections that pass through one proxy, and how they are harmed.

    `delay_seconds` is added to each chunk. `holds_requests` and
    `holds_answers` keep bytes of that direction until they are let through
    again, as a cut that heals does. `refuses` resets new connections.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ''
        self.delay_seconds = float(0)
        self.refuses = False
        self._open = {'requests': trio.Event(), 'answers': trio.Event()}
        self._streams: set[trio.SocketStream] = set()
        self.heal()

    def hold(self, *directions: str) -> None:
        """Hold bytes of some directions until healed."""
        for direction in directions:
            self._open[direction] = trio.Event()

    def heal(self) -> None:
        """Let everything through."""
        self.delay_seconds = 0
        self.refuses = False
        for event in self._open.values():
            event.set()

    def reset_all(self) -> None:
        """Reset every connection that is open."""
        for stream in tuple(self._streams):
            _reset(stream)

    async def serve(self, caller: trio.SocketStream) -> None:
        """Pass one connection on."""
        if self.refuses:
            _reset(caller)
            return
        host, _, port = self.target.rpartition(':')
        try:
            target = await trio.open_tcp_stream(host, int(port))
        except OSError:
            _reset(caller)
            return
        self._streams |= {caller, target}
        try:
            async with trio.open_nursery() as nursery:
                for source, sink, direction in (
                    (caller, target, 'requests'),
                    (target, caller, 'answers'),
                ):
                    nursery.start_soon(
                        self._pump, source, sink, direction, nursery
                    )
        finally:
            self._streams -= {caller, target}
            _reset(caller)
            _reset(target)

    async def _pump(self, source, sink, direction, nursery) -> None:
        try:
            while chunk := await source.receive_some(CHUNK_BYTES):
                await trio.sleep(self.delay_seconds)
                await self._open[direction].wait()
                await sink.send_all(chunk)
            await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            nursery.cancel_scope.cancel()


async def start_proxy(nursery: trio.Nursery, target: str) -> FaultProxy:
    """Start a proxy before `target`."""
    link = FaultProxy(target)
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    link.address = f'127.0.0.1:{listeners[0].socket.getsockname()[1]}'
    nursery.start_soon(trio.serve_listeners, link.serve, listeners)
    return link


def _reset(stream: trio.SocketStream) -> None:
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    except (OSError, trio.ClosedResourceError):
        return
    stream.socket.close()
