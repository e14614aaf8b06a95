"""One connection of a caller, served by hypercorn."""

import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from typing import Any, cast

import h11
import trio
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData
from hypercorn.trio.task_group import TaskGroup
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import TrioSingleTask, WorkerContext
from hypercorn.typing import AppWrapper, ConnectionState
from hypercorn.utils import parse_socket_addr

from peridotwell.logs import log_event, log_failure
from peridotwell.serving.caller_protocol import CallerProtocols
from peridotwell.serving.socket_network import write_now

__all__ = ('BodyPart', 'CallerConnection', 'ServerStop')

# How a response that refuses a request begins.
REFUSAL_START = b'HTTP/1.1 4'
# Time in which a request that has arrived is read.
READ_SECONDS = 0.02
READ_BYTES = 65536
# After a response that did not close the connection, a caller may send the next
# request within this time although the server stops.
NEXT_REQUEST_SECONDS = 1.0
# The states of a request in which its caller may still send.
SENDING_STATES = frozenset((h11.SEND_BODY, h11.ERROR))
# How long a caller who still sends may read the answer to its request. A close
# that leaves received bytes unread resets the connection (RFC 9112, 9.6).
LINGER_SECONDS = 2.0
# An active close with this option resets the connection.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
ORDINARY_CLOSE = struct.pack('ii', 0, 0)


@dataclass
class ServerStop:
    """The planned stop of a server.

    From `has_begun` on, responses close their connections. When `may_close` is
    set, connections that are idle are closed.
    """

    has_begun: bool = False
    may_close: trio.Event = field(default_factory=trio.Event)


def _abort_nothing() -> None:
    """Do nothing: the connection is none of a CallerConnection."""


async def _send_no_chunk(content: bytes) -> bool:
    """Send nothing: the connection is none of a CallerConnection."""
    return False


@dataclass
class BodyPart:
    """Tells a connection that what it sends next is a part of a body.

    A part is sent as a whole though its handler is cancelled. Most parts are
    sent without waiting, so the connection opens a cancel scope only when it
    waits, in place of one for each part. `send_chunk` sends a part of a body
    that consists of chunks, and returns whether it could. `abort` closes the
    connection at once, `reset` resets it. `end_with_connection` lets the end of
    the connection be the only mark of that of the response that starts next:
    until `allow_end`, the connection is reset however it ends.
    """

    is_next: bool = False
    send_chunk: Callable[[bytes], Awaitable[bool]] = _send_no_chunk
    abort: Callable[[], None] = _abort_nothing
    reset: Callable[[], None] = _abort_nothing
    end_with_connection: Callable[[], None] = _abort_nothing
    allow_end: Callable[[], None] = _abort_nothing

    def take(self) -> bool:
        """Return whether a part comes next, and expect none after it."""
        is_next = self.is_next
        self.is_next = False
        return is_next


class _IdleTask(TrioSingleTask):
    """Runs the task of an idle connection, of which there is one at a time.

    hypercorn waits until each has started; nothing here needs that.
    """

    def __init__(self) -> None:
        super().__init__()
        self._scope = trio.CancelScope()

    async def restart(
        self, task_group: Any, action: Callable[..., Awaitable[None]]
    ) -> None:
        """Cancel the task that runs, and start the next one."""
        self._scope.cancel()
        self._scope = trio.CancelScope()
        task_group.spawn(self._run, self._scope, action)

    async def stop(self) -> None:
        """Cancel the task that runs."""
        self._scope.cancel()

    async def _run(
        self, scope: trio.CancelScope, action: Callable[..., Awaitable[None]]
    ) -> None:
        with scope:
            await action()


class CallerConnection(TCPServer):
    """Closes an idle connection only if no request has arrived on it.

    If the process stands still while the idle time ends, a request that arrives
    meanwhile is ready together with the timer. hypercorn closes the connection
    then, although the request is read.
    """

    def __init__(
        self,
        app: AppWrapper,
        cfg: Config,
        context: WorkerContext,
        stop: ServerStop,
        stream: trio.SocketStream,
    ) -> None:
        self._body_part = BodyPart(
            send_chunk=self._send_chunk,
            abort=stream.socket.close,
            reset=self._reset,
            end_with_connection=self._end_with_connection,
            allow_end=partial(self._set_linger, ORDINARY_CLOSE),
        )
        # The server names the type of encrypted connections only. The state
        # reaches the scope of each request.
        super().__init__(
            app,
            cfg,
            context,
            ConnectionState({'body_part': self._body_part}),
            cast(Any, stream),
        )
        self.idle_task = _IdleTask()
        self._socket_stream = stream
        self._stop = stop
        # Ends when the connection has to be closed although the caller sends.
        self._reading = trio.CancelScope()
        self._is_lingering = False

    async def run(self) -> None:
        """Serve the connection until it is closed."""
        sock = self._socket_stream.socket
        try:
            async with TaskGroup() as task_group:
                self._task_group = task_group
                self.protocol = CallerProtocols(
                    self.app,
                    self.config,
                    self.context,
                    task_group,
                    ConnectionState(self.state),
                    False,
                    parse_socket_addr(sock.family, sock.getpeername()),
                    parse_socket_addr(sock.family, sock.getsockname()),
                    self.protocol_send,
                )
                await self.idle_task.restart(task_group, self._idle_timeout)
                await self._read_data()
                await self.idle_task.stop()
                if self._is_lingering:
                    await self._close()
        except OSError as exc:
            log_event('connection.failed', error=repr(exc))
        finally:
            await self._close()

    async def protocol_send(self, event: Event) -> None:
        """Send bytes to the caller, or handle the end of a request.

        What the socket takes at once, such as an event of a stream, is sent
        without a pass of the event loop. In a handler that was cancelled,
        nothing is sent but parts of a body that it has begun to send:
        hypercorn would send an error of its own.
        """
        if isinstance(event, Closed) and self._is_sending():
            await self._linger()
            return
        if not isinstance(event, RawData):
            await super().protocol_send(event)
            return
        self._log_refusal(event.data)
        is_part = self._body_part.take()
        if not self.send_lock.locked():
            if not is_part:
                await trio.lowlevel.checkpoint_if_cancelled()
            try:
                sent = write_now(self._socket_stream, event.data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                with trio.CancelScope(shield=is_part):
                    await self.protocol.handle(Closed())
                return
            if sent == len(event.data):
                return
            # A copy of the rest of a long body would take as much memory.
            event = RawData(cast(bytes, memoryview(event.data)[sent:]))
        with trio.CancelScope(shield=is_part):
            await super().protocol_send(event)

    async def _read_data(self) -> None:
        with self._reading:
            while await self._read_part():
                """Read until the end of the connection."""
        await self.protocol.handle(Closed())

    async def _read_part(self) -> bool:
        """Read what arrives next; return False if nothing more can."""
        try:
            content = await self._socket_stream.receive_some(READ_BYTES)
        except (trio.ClosedResourceError, trio.BrokenResourceError):
            return False
        if not self._is_lingering:
            await self.protocol.handle(RawData(bytes(content)))
        return bool(content)

    async def _linger(self) -> None:
        """End the connection in this direction; drop what still arrives."""
        if self._is_lingering:
            return
        self._is_lingering = True
        self._reading.deadline = trio.current_time() + LINGER_SECONDS
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await self._socket_stream.send_eof()
        await self.protocol.handle(Closed())

    def _is_sending(self) -> bool:
        """Return whether the caller may send the rest of a request."""
        return self._their_state() in SENDING_STATES

    def _their_state(self) -> Any:
        """Return the state of the request, as h11 knows it."""
        connection = self.protocol.protocol.connection
        return getattr(connection, 'their_state', h11.IDLE)

    async def _send_chunk(self, content: bytes) -> bool:
        """Send a chunk of a body that was begun; return whether it could.

        hypercorn and h11 keep no state of the chunks of a body, so an event of
        a stream need not pass them. It does while other bytes wait, and if the
        connection is broken: then it ends as with any other bytes.
        """
        connection = self.protocol.protocol.connection
        our_state = getattr(connection, 'our_state', None)
        if our_state is not h11.SEND_BODY or self.send_lock.locked():
            return False
        chunk = b'%x\r\n%b\r\n' % (len(content), content)
        try:
            sent = write_now(self._socket_stream, chunk)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        if sent < len(chunk):
            self._body_part.is_next = True
            await self.protocol_send(RawData(chunk[sent:]))
        return True

    def _end_with_connection(self) -> None:
        """Let the end of the connection mark that of the next response."""
        connection = cast(Any, self.protocol.protocol.connection)
        connection.ends_with_connection = True
        # Also if this process is killed.
        self._set_linger(RESET_ON_CLOSE)

    def _reset(self) -> None:
        """Close the connection so that its end looks like no ordinary one."""
        self._set_linger(RESET_ON_CLOSE)
        self._socket_stream.socket.close()

    def _set_linger(self, option: bytes) -> None:
        with suppress(OSError):
            self._socket_stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, option
            )

    def _log_refusal(self, content: bytes) -> None:
        """Log an answer that hypercorn gives on its own to what it cannot read.

        No handler has seen such a request.
        """
        if not content.startswith(REFUSAL_START):
            return
        if self._their_state() is h11.ERROR:
            status = content.split(b' ', 2)[1].decode('latin-1')
            log_failure('request.unreadable', status=status)

    async def _idle_timeout(self) -> None:
        """Close the connection after the idle time, or at a planned stop.

        The task of this method is cancelled when a request begins.
        """
        if self._stop.may_close.is_set():
            # A response has just ended that was begun before the stop.
            await trio.sleep(NEXT_REQUEST_SECONDS)
        with trio.move_on_after(self.config.keep_alive_timeout):
            await self._stop.may_close.wait()
        await trio.sleep(READ_SECONDS)
        while self._has_request():
            await trio.sleep(READ_SECONDS)
        # Nothing else runs between the check and the end of the connection.
        with trio.CancelScope(shield=True):
            await self._initiate_server_close()

    def _has_request(self) -> bool:
        """Return whether a request is being handled or can be read."""
        their_state = self._their_state()
        if their_state is not h11.IDLE:
            return their_state not in {h11.CLOSED, h11.ERROR}
        return self._socket_stream.socket.is_readable()
