"""Pools of connections to one address, whose requests may be given up.

A request has its connection to itself from the moment that it is chosen, so it
never waits for another request that was given the same one: many requests at
once are sent in as few turns of the event loop as a single one.
"""

import math
from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Awaitable,
    Callable,
    Iterable,
    Sequence,
)
from functools import partial
from typing import Protocol, cast

import httpcore
import trio

from peridotwell.serving.socket_network import SocketNetwork
from peridotwell.serving.socket_options import CLIENT_SOCKET_OPTIONS
from peridotwell.serving.target_connection import TargetConnection

__all__ = ('BEFORE_SEND', 'ConnectionPool')

# The extension of a request with a function that is called once a connection
# is there, right before the request is sent. What it raises ends the request.
BEFORE_SEND = 'before_send'
# Idle connections that have expired are closed this often.
SWEEP_SECONDS = 1.0
# What each part of a body counts for at least.
MIN_COUNTED_BYTES = 256


class _Stream(Protocol):
    """The body of a response of httpcore."""

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body."""

    async def aclose(self) -> None:
        """End the response."""


class _Body:
    """The body of a response; its connection is given back at the end."""

    def __init__(
        self,
        resp: httpcore.Response,
        give_back: Callable[[], Awaitable[None]],
        max_bytes: float,
    ) -> None:
        self._stream = cast(_Stream, resp.stream)
        self._give_back = give_back
        self._max_bytes = max_bytes
        self._is_closed = False

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they arrive."""
        if math.isinf(self._max_bytes):
            return aiter(self._stream)
        return _limit(self._stream, self._max_bytes)

    async def aclose(self) -> None:
        """End the response; a connection that is not at its end closes."""
        if self._is_closed:
            return
        self._is_closed = True
        with trio.CancelScope(shield=True):
            try:
                await self._stream.aclose()
            finally:
                await self._give_back()


async def _limit(
    stream: _Stream, max_bytes: float
) -> AsyncGenerator[bytes, None]:
    """Yield the parts of a body; raise httpcore.ReadError if it is too long."""
    body_bytes = 0
    async for part in stream:
        # Many small parts take as much time as long ones.
        body_bytes += max(len(part), MIN_COUNTED_BYTES)
        if body_bytes > max_bytes:
            raise httpcore.ReadError(f'The body exceeds {max_bytes} bytes')
        yield part


class ConnectionPool(httpcore.AsyncConnectionPool):
    """Up to `max_connections` connections straight on the sockets of trio.

    All requests go to the same address. Idle connections are closed after
    `idle_seconds`, or at once without `keeps_idle`. `reads_at_once` is for a
    peer whose responses are read in as few turns of the event loop as possible.
    A body over `max_body_bytes` is an error. `on_ended` is called with the
    number of idle connections that are found ended by the peer, and when the
    last one of them was used.
    """

    def __init__(
        self,
        max_connections: int,
        *,
        idle_seconds: float | None = None,
        keeps_idle: bool = True,
        reads_at_once: bool = False,
        max_body_bytes: float = math.inf,
        on_ended: Callable[[int, float], None] | None = None,
    ) -> None:
        super().__init__(max_connections=max_connections)
        self._network = SocketNetwork(reads_at_once=reads_at_once)
        self._idle_seconds = idle_seconds
        self._keeps_idle = keeps_idle
        self._max_body_bytes = max_body_bytes
        self._on_ended = on_ended
        self._max_used = max_connections
        self._places = trio.Semaphore(max_connections)
        self._used: set[TargetConnection] = set()
        # The connection that was used last is at the end.
        self._idle: list[TargetConnection] = []
        self._swept_at = -math.inf

    @property
    def is_busy(self) -> bool:
        """Whether a request uses one of the connections."""
        return self._places.value < self._max_used

    @property
    def idle(self) -> Sequence[TargetConnection]:
        """The connections that no request uses; some may have ended."""
        return tuple(self._idle)

    @property
    def used(self) -> Sequence[TargetConnection]:
        """The connections on which a response has begun and not ended."""
        return tuple(self._used)

    async def handle_async_request(
        self, request: httpcore.Request
    ) -> httpcore.Response:
        """Send a request and return the response, whose body must be closed.

        Raises the errors of httpcore, and what the function raises that the
        request's extension BEFORE_SEND names.
        """
        await self._take_place(request)
        try:
            conn = await self._take_idle() or await self._connect(request)
            resp = await _send(conn, request)
        except BaseException:
            self._places.release()
            raise
        self._used.add(conn)
        return httpcore.Response(
            resp.status,
            headers=resp.headers,
            content=_Body(
                resp, partial(self._give_back, conn), self._max_body_bytes
            ),
            extensions=resp.extensions,
        )

    async def close_idle(self) -> None:
        """Close all idle connections."""
        idle = tuple(self._idle)
        self._idle.clear()
        await _close(idle)

    async def aclose(self) -> None:
        """Close idle connections; requests that run keep theirs open."""
        self._keeps_idle = False
        await self.close_idle()

    async def _take_place(self, request: httpcore.Request) -> None:
        """Wait until one more connection may be used. Raises PoolTimeout."""
        try:
            self._places.acquire_nowait()
        except trio.WouldBlock:
            seconds = _timeout(request, 'pool')
            with trio.move_on_after(
                math.inf if seconds is None else seconds
            ) as scope:
                await self._places.acquire()
            if scope.cancelled_caught:
                raise httpcore.PoolTimeout from None

    async def _take_idle(self) -> TargetConnection | None:
        """Return an idle connection that its peer has not closed, if any."""
        await self._sweep(trio.current_time())
        unusable = []
        usable = None
        while self._idle and usable is None:
            conn = self._idle.pop()
            if _is_usable(conn):
                usable = conn
            else:
                unusable.append(conn)
        await self._close_found(unusable)
        return usable

    async def _close_found(self, idle: Sequence[TargetConnection]) -> None:
        ended = [conn.used_at for conn in idle if conn.has_peer_ended()]
        if ended and self._on_ended is not None:
            self._on_ended(len(ended), max(ended))
        await _close(idle)

    async def _sweep(self, now: float) -> None:
        """Close the idle connections that have expired, if that is due."""
        if now - self._swept_at < SWEEP_SECONDS:
            return
        self._swept_at = now
        await self.close_unusable()

    async def close_unusable(self) -> None:
        """Close the idle connections that have expired or ended."""
        expired = [conn for conn in self._idle if not _is_usable(conn)]
        self._idle = [conn for conn in self._idle if conn not in expired]
        await self._close_found(expired)

    async def _connect(self, request: httpcore.Request) -> TargetConnection:
        origin = request.url.origin
        stream = await self._network.connect_tcp(
            origin.host.decode('ascii'),
            origin.port,
            timeout=_timeout(request, 'connect'),
            socket_options=CLIENT_SOCKET_OPTIONS,
        )
        return TargetConnection(
            origin, stream, keepalive_expiry=self._idle_seconds
        )

    async def _give_back(self, conn: TargetConnection) -> None:
        """Let other requests use a connection whose response has ended."""
        self._places.release()
        self._used.discard(conn)
        if self._keeps_idle and conn.is_reusable():
            self._idle.append(conn)
        elif not conn.is_closed():
            await _close((conn,))


async def _send(
    conn: TargetConnection, request: httpcore.Request
) -> httpcore.Response:
    """Send a request, and close the connection if that fails."""
    try:
        check = request.extensions.get(BEFORE_SEND)
        if check is not None:
            check()
        conn.used_at = trio.current_time()
        return await conn.handle_async_request(request)
    except BaseException:
        await _close((conn,))
        raise


async def _close(connections: Iterable[TargetConnection]) -> None:
    with trio.CancelScope(shield=True):
        for conn in connections:
            await conn.aclose()


def _is_usable(conn: TargetConnection) -> bool:
    """Whether an idle connection takes a request, as far as is known."""
    return conn.is_available() and not conn.has_expired()


def _timeout(request: httpcore.Request, step: str) -> float | None:
    """Return the limit on a step of a request, in seconds."""
    seconds: float | None = request.extensions.get('timeout', {}).get(step)
    return seconds
