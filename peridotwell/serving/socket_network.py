"""Connections to targets for httpcore, straight on the sockets of trio.

httpcore's own backend resolves names and races addresses for each connection,
and makes several context managers for each read and write. Targets have IP
addresses, and each event of a stream is a read of its own. Addresses that are
host names go to httpcore's backend.
"""

import errno
import ipaddress
import math
import os
import select
import socket
import ssl
from collections.abc import Iterable
from typing import Any

import httpcore
import trio

__all__ = ('SocketNetwork', 'write_now')

# What a read brings is parsed in one turn of the event loop, which takes 40 ms
# for 64 KiB of interim responses.
MAX_READ_BYTES = 16384


def write_now(stream: trio.SocketStream, content: bytes) -> int:
    """Send what the socket takes at once; return the number of bytes.

    Raises trio.BrokenResourceError if the connection is broken, and
    trio.ClosedResourceError if it is closed.
    """
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        raise trio.ClosedResourceError('the connection is closed')
    try:
        return os.write(descriptor, content)
    except BlockingIOError:
        return 0
    except OSError as exc:
        raise trio.BrokenResourceError(str(exc)) from exc


def _read_now(descriptor: int, max_bytes: int) -> bytes | None:
    """Return what has arrived, or None if nothing has."""
    try:
        return os.read(descriptor, max_bytes)
    except BlockingIOError:
        return None


class _SocketStream(httpcore.AsyncNetworkStream):
    """One connection.

    The system reports a reset to one call only. If that is a write, the reads
    after it find an ordinary end: `_write_error` keeps what the write found.
    With `reads_at_once`, what has arrived is read in the same turn of the event
    loop, and any number of bytes.
    """

    def __init__(
        self, stream: trio.SocketStream, *, reads_at_once: bool
    ) -> None:
        self._stream = stream
        self._reads_at_once = reads_at_once
        self._write_error: Exception | None = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the bytes that arrive next, b'' at the end.

        Bytes that have arrived are returned although the time has ended: a
        process that stood still meanwhile learns of both at once. Raises
        httpcore.ReadError if the connection broke, also if that was found out
        by a write, and httpcore.ReadTimeout.
        """
        if not self._reads_at_once:
            max_bytes = min(max_bytes, MAX_READ_BYTES)
        try:
            received = await self._read_within(max_bytes, timeout)
        except (OSError, trio.ClosedResourceError) as exc:
            raise httpcore.ReadError(str(exc)) from exc
        if received is None:
            raise httpcore.ReadTimeout
        if not received and self._write_error is not None:
            raise httpcore.ReadError(str(self._write_error))
        return received

    async def _read_within(
        self, max_bytes: int, timeout: float | None
    ) -> bytes | None:
        """Return the bytes that arrive, or None if none do within a time."""
        # A cancel scope costs as much as the rest of a read.
        if timeout is None:
            return await self._read(max_bytes)
        with trio.move_on_after(timeout):
            return await self._read(max_bytes)
        return _read_now(self._stream.socket.fileno(), max_bytes)

    async def _read(self, max_bytes: int) -> bytes:
        received = None
        if self._reads_at_once:
            received = _read_now(self._stream.socket.fileno(), max_bytes)
        # A socket may be reported as readable and have nothing to read.
        while received is None:
            if self._stream.socket.fileno() < 0:
                raise trio.ClosedResourceError
            await trio.lowlevel.wait_readable(self._stream.socket)
            received = _read_now(self._stream.socket.fileno(), max_bytes)
        return received

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send all bytes."""
        # httpcore also writes the end of a body, which may be no bytes.
        if not buffer:
            return
        seconds = math.inf if timeout is None else timeout
        try:
            sent = write_now(self._stream, buffer)
            if sent == len(buffer):
                return
            with trio.move_on_after(seconds):
                await self._stream.send_all(memoryview(buffer)[sent:])
                return
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            if not _is_after_end(exc):
                self._write_error = exc
            raise httpcore.WriteError(str(exc)) from exc
        raise httpcore.WriteTimeout

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Raise NotImplementedError: targets speak plain HTTP."""
        raise NotImplementedError('Targets speak plain HTTP.')

    def get_extra_info(self, info: str) -> Any:
        """Return what httpcore asks for, None if it is not known."""
        match info:
            case 'socket':
                return self._stream.socket
            case 'is_readable':
                return _is_readable(self._stream.socket)
            case 'peer_has_ended':
                return _has_peer_ended(self._stream.socket)
            case 'client_addr':
                return self._stream.socket.getsockname()
            case 'server_addr':
                return self._stream.socket.getpeername()
        return None


class SocketNetwork(httpcore.AsyncNetworkBackend):
    """Opens connections to IP addresses without resolving names.

    A turn of the event loop handles what one read brings. With `reads_at_once`
    it handles all that has arrived from a peer, which must be one that does not
    send without end.
    """

    def __init__(self, *, reads_at_once: bool = False) -> None:
        self._reads_at_once = reads_at_once
        self._named = httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection within `timeout` seconds."""
        options = tuple(socket_options or ())
        version = _ip_version(host)
        if version is None or local_address is not None:
            return await self._named.connect_tcp(
                host, port, timeout, local_address, options
            )
        family = socket.AF_INET if version == 4 else socket.AF_INET6
        connecting = socket.socket(family, socket.SOCK_STREAM)
        try:
            await _connect(connecting, (host, port), timeout, options)
        except BaseException:
            connecting.close()
            raise
        connected = trio.socket.from_stdlib_socket(connecting)
        return _SocketStream(
            trio.SocketStream(connected), reads_at_once=self._reads_at_once
        )

    async def sleep(self, seconds: float) -> None:
        """Sleep."""
        await trio.sleep(seconds)


def _is_readable(connected: trio.socket.SocketType) -> bool:
    """Return whether a read returns at once, as it does if this side closed."""
    return connected.fileno() < 0 or connected.is_readable()


def _has_peer_ended(connected: trio.socket.SocketType) -> bool:
    """Return whether the peer has ended or broken the connection.

    Also if bytes that it sent before have not been read.
    """
    descriptor = connected.fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return bool(poll.poll(0))


def _is_after_end(exc: Exception) -> bool:
    """Return whether the peer ended its side before it refused the bytes."""
    return isinstance(exc.__cause__, BrokenPipeError)


def _ip_version(host: str) -> int | None:
    try:
        return ipaddress.ip_address(host).version
    except ValueError:
        return None


async def _connect(
    connecting: socket.socket,
    address: tuple[str, int],
    timeout: float | None,
    options: Iterable[Any],
) -> None:
    seconds = math.inf if timeout is None else timeout
    connecting.setblocking(False)
    try:
        for option in options:
            connecting.setsockopt(*option)
        is_connected = await _connect_within(connecting, address, seconds)
    except OSError as exc:
        raise httpcore.ConnectError(str(exc)) from exc
    if not is_connected:
        raise httpcore.ConnectTimeout


async def _connect_within(
    connecting: socket.socket, address: tuple[str, int], seconds: float
) -> bool:
    """Return whether a connection is made within a time.

    One that was made counts although the time has ended: a process that stood
    still meanwhile learns of both at once. Raises OSError.
    """
    code = connecting.connect_ex(address)
    has_timed_out = False
    if code == errno.EINPROGRESS:
        with trio.move_on_after(seconds) as scope:
            await trio.lowlevel.wait_writable(connecting)
        has_timed_out = scope.cancelled_caught
        code = connecting.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, os.strerror(code))
    return not has_timed_out or _has_peer(connecting)


def _has_peer(connecting: socket.socket) -> bool:
    try:
        connecting.getpeername()
    except OSError:
        return False
    return True
