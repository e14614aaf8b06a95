"""A TCP proxy that injects network faults between a router and its peer."""

import errno
import socket
import struct

import trio

from tests.accepting import serve_connections
from tests.soak.origins import Passage, Passages, port_of
from tests.soak.records import now

__all__ = ('FaultProxy', 'ProxyGroup', 'start_proxy')

CHUNK_BYTES = 65536
RESET_POLL_SECONDS = 0.02
LINGER_FOR_RESET = struct.pack('ii', 1, 0)


class FaultProxy:
    """Forwards TCP connections to one address and injects faults into them.

    `delay_seconds` delays each chunk of bytes. Responses pass at no more than
    `bytes_per_second`, if it is not 0. The next chunk of a response that is
    larger than `stalls_over` bytes, if not 0, is passed on in half, and then
    nothing more on its connection. `refuses_connections` resets new
    connections. `hold` stops the flow of bytes in one or both directions until
    `release` is called, as a temporary network partition does. Bytes that are
    held are lost if their sender resets the connection.
    """

    def __init__(self, target_address: str) -> None:
        self.target_address = target_address
        self.address = ''
        self.delay_seconds = float(0)
        self.bytes_per_second = float(0)
        self.stalls_over = 0
        self.refuses_connections = False
        self._may_pass = {'requests': trio.Event(), 'responses': trio.Event()}
        self._streams: set[trio.SocketStream] = set()
        self.passages: Passages = {}
        # Streams that pass nothing on for good, and whether new ones do.
        self._silent: set[trio.SocketStream] = set()
        self._silences_new = False
        self.release('requests', 'responses')

    @property
    def is_clear(self) -> bool:
        """Whether no fault delays or holds bytes."""
        may_pass = all(event.is_set() for event in self._may_pass.values())
        return may_pass and not self.delay_seconds

    def hold(self, *directions: str) -> None:
        """Stop the flow of bytes in the given directions.

        The directions are 'requests' and 'responses'.
        """
        for direction in directions:
            self._may_pass[direction] = trio.Event()

    def refuse(self) -> None:
        """Reset all connections, and new ones too."""
        self.refuses_connections = True
        self.reset_connections()

    def silence(self) -> None:
        """Pass nothing on, on open connections for good.

        New ones pass nothing on either until `clear_faults`, nor after it.
        """
        self._silent |= self._streams
        self._silences_new = True

    def release(self, *directions: str) -> None:
        """Forward the bytes that were held in the given directions."""
        for direction in directions:
            self._may_pass[direction].set()

    def clear_faults(self) -> None:
        """End all faults and forward the bytes that were held."""
        self.delay_seconds = 0
        self.bytes_per_second = 0
        self.stalls_over = 0
        self.refuses_connections = False
        self._silences_new = False
        self.release(*self._may_pass)

    def reset_connections(self) -> None:
        """Reset every open connection."""
        for stream in tuple(self._streams):
            _reset_connection(stream)

    async def serve(self, caller: trio.SocketStream) -> None:
        """Forward one connection until either side closes it."""
        if self.refuses_connections:
            _reset_connection(caller)
            return
        host, _, port = self.target_address.rpartition(':')
        try:
            target_stream = await trio.open_tcp_stream(host, int(port))
        except OSError:
            _reset_connection(caller)
            return
        self._streams |= {caller, target_stream}
        port = target_stream.socket.getsockname()[1]
        passage = Passage(caller, port_of(caller))
        self.passages[port] = passage
        if self._silences_new:
            self._silent |= {caller, target_stream}
        try:
            async with trio.open_nursery() as nursery:
                for source, sink, direction in (
                    (caller, target_stream, 'requests'),
                    (target_stream, caller, 'responses'),
                ):
                    nursery.start_soon(
                        self._forward, source, sink, direction, nursery, passage
                    )
        finally:
            self.passages.pop(port)
            self._streams -= {caller, target_stream}
            self._silent -= {caller, target_stream}
            _reset_connection(caller)
            _reset_connection(target_stream)

    async def _forward(self, source, sink, direction, nursery, passage) -> None:
        try:
            while chunk := await source.receive_some(CHUNK_BYTES):
                if direction == 'requests':
                    passage.note_request(now())
                await trio.sleep(self.delay_seconds)
                while source in self._silent:
                    await trio.sleep(RESET_POLL_SECONDS)
                await self._wait_until_passed(source, direction)
                if direction == 'responses':
                    chunk = await self._impair_response(source, chunk)
                    passage.note_response()
                await sink.send_all(chunk)
            await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            nursery.cancel_scope.cancel()

    async def _impair_response(
        self, source: trio.SocketStream, chunk: bytes
    ) -> bytes:
        """Return what passes of a chunk, after the time that it takes."""
        if self.bytes_per_second:
            await trio.sleep(len(chunk) / self.bytes_per_second)
        if self.stalls_over and len(chunk) > self.stalls_over:
            self.stalls_over = 0
            self._silent.add(source)
            return chunk[: len(chunk) // 2]
        return chunk

    async def _wait_until_passed(
        self, source: trio.SocketStream, direction: str
    ) -> None:
        """Wait until bytes may pass.

        Raises BrokenResourceError if their sender resets the connection.
        """
        may_pass = self._may_pass[direction]
        while not may_pass.is_set():
            with trio.move_on_after(RESET_POLL_SECONDS):
                await may_pass.wait()
            if _is_reset(source):
                raise trio.BrokenResourceError('reset while bytes were held')


class ProxyGroup:
    """Proxies that have the same faults."""

    def __init__(self) -> None:
        self.members: list[FaultProxy] = []

    def hold(self, *directions: str) -> None:
        """Stop the flow of bytes in the given directions."""
        for proxy in self.members:
            proxy.hold(*directions)

    def refuse(self) -> None:
        """Reset all connections, and new ones too."""
        for proxy in self.members:
            proxy.refuse()

    def clear_faults(self) -> None:
        """End all faults and forward the bytes that were held."""
        for proxy in self.members:
            proxy.clear_faults()

    def reset_connections(self) -> None:
        """Reset every open connection."""
        for proxy in self.members:
            proxy.reset_connections()


async def start_proxy(nursery: trio.Nursery, target_address: str) -> FaultProxy:
    """Start a proxy for `target_address` (host:port) on a free local port."""
    proxy = FaultProxy(target_address)
    proxy.address = await nursery.start(serve_connections, proxy.serve)
    return proxy


def _is_reset(stream: trio.SocketStream) -> bool:
    """Return whether the connection was reset by either side."""
    if stream.socket.fileno() < 0:
        return True
    error = stream.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return error in {errno.ECONNRESET, errno.EPIPE}


def _reset_connection(stream: trio.SocketStream) -> None:
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_FOR_RESET)
    except (OSError, trio.ClosedResourceError):
        return
    stream.socket.close()
