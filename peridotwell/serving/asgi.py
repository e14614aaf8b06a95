"""An HTTP server: hypercorn's ASGI interface for handlers of HttpExchange.

This module does not depend on routing.
"""

import socket
import sys
from collections.abc import Awaitable, Callable, Iterable
from functools import partial
from typing import Any

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.trio.worker_context import WorkerContext

from peridotwell.logs import log_event
from peridotwell.policy.room.body_budget import BodyBudget
from peridotwell.policy.room.buffer_budget import buffer_bytes
from peridotwell.serving.caller_connection import (
    CallerConnection,
    ServerStop,
)
from peridotwell.serving.http_exchange import HttpExchange
from peridotwell.serving.socket_options import keepalive_options

__all__ = ('HttpServer', 'serve_http')

DEFAULT_HEADER_LIMIT_BYTES = 16384
# Room for the request line and the separators of header fields, which do not
# count towards a limit on header fields.
REQUEST_LINE_BYTES = 65536
KEEP_ALIVE_SECONDS = 30
# Time that sent data may stay unacknowledged before the connection is closed,
# to detect within seconds that a caller is gone without having closed it.
UNACKNOWLEDGED_MILLISECONDS = 5000
CALLER_SOCKET_OPTIONS = keepalive_options(
    idle_seconds=5,
    probe_seconds=2,
    unacknowledged_milliseconds=UNACKNOWLEDGED_MILLISECONDS,
)
# Longest time for which a stopping server still accepts what has arrived.
ACCEPT_SECONDS = 0.2

Handler = Callable[[HttpExchange], Awaitable[None]]


class _Application:
    """An ASGI application that passes each HTTP exchange to a handler."""

    def __init__(
        self, handler: Handler, stop: ServerStop, bodies: BodyBudget
    ) -> None:
        self._handler = handler
        self._stop = stop
        self._bodies = bodies

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one exchange. Raises NotImplementedError for other scopes."""
        if scope['type'] != 'http':
            raise NotImplementedError('only HTTP scopes are supported')
        exchange = HttpExchange(scope, receive, send, self._stop, self._bodies)
        try:
            await self._handler(exchange)
        finally:
            exchange.end()


class HttpServer:
    """Serves a handler; an error on a connection ends only that connection.

    `bodies` bounds the memory for the bodies of requests.
    """

    def __init__(
        self, handler: Handler, bodies: BodyBudget | None = None
    ) -> None:
        self._stop = ServerStop()
        bodies = bodies or BodyBudget(buffer_bytes(0))
        self._app = ASGIWrapper(_Application(handler, self._stop, bodies))
        self._cfg = _server_config()
        self.set_header_limit(DEFAULT_HEADER_LIMIT_BYTES)
        self._context = WorkerContext(None)
        self._connections = 0

    @property
    def open_connections(self) -> int:
        """The number of open connections."""
        return self._connections

    def set_idle_timeout(self, seconds: float) -> None:
        """Set how long connections may stay idle, in seconds."""
        self._cfg.keep_alive_timeout = seconds

    def set_header_limit(self, limit_bytes: int) -> None:
        """Let new connections send header fields of this size.

        The handler refuses larger ones with an answer that says so.
        """
        self._cfg.h11_max_incomplete_size = limit_bytes + REQUEST_LINE_BYTES

    def begin_stop(self) -> None:
        """Close each connection after the next response that starts on it."""
        self._stop.has_begun = True

    async def run(
        self,
        bind: str,
        *,
        shutdown: Callable[[], Awaitable[None]],
        listener: socket.socket | None = None,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve on `bind` until `shutdown` returns.

        Exchanges that are in progress at that time are completed. A caller
        who was not told that the connection closes may send another request
        right after them. `listener`
        is an optional socket that already listens on `bind`. Reports the bound
        'host:port' through `task_status`.
        """
        host = bind.rpartition(':')[0]
        listeners = await _open_listeners(bind, listener)
        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as accepting:
                accepting.start_soon(
                    partial(
                        trio.serve_listeners,
                        self._serve_connection,
                        listeners,
                        handler_nursery=connections,
                    ),
                )
                address = listeners[0].socket.getsockname()
                task_status.started(_join_address(host, address[1]))
                await shutdown()
                await _wait_until_accepted(listeners)
                accepting.cancel_scope.cancel()
            self.begin_stop()
            self._stop.may_close.set()

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        self._connections += 1
        try:
            for option in CALLER_SOCKET_OPTIONS:
                stream.setsockopt(*option)
            await CallerConnection(
                self._app,
                self._cfg,
                self._context,
                self._stop,
                stream,
            )
        except Exception as exc:
            log_event('connection.failed', error=repr(exc))
        finally:
            self._connections -= 1
            await trio.aclose_forcefully(stream)


async def serve_http(
    handler: Handler,
    bind: str,
    *,
    shutdown: Callable[[], Awaitable[None]] | None = None,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve `handler` on `bind` ('host:port'; port 0 picks a free one).

    Reports the bound 'host:port' through `task_status`. After `shutdown`
    returns, running exchanges are completed, however long they take.
    """
    await HttpServer(handler).run(
        bind,
        shutdown=shutdown or trio.sleep_forever,
        task_status=task_status,
    )


async def _open_listeners(
    bind: str,
    listener: socket.socket | None,
) -> list[trio.SocketListener]:
    if listener is not None:
        return [trio.SocketListener(trio.socket.from_stdlib_socket(listener))]
    host, _, port = bind.rpartition(':')
    return await trio.open_tcp_listeners(int(port), host=host.strip('[]'))


async def _wait_until_accepted(
    listeners: Iterable[trio.SocketListener],
) -> None:
    """Let connections that have arrived be accepted, before the port closes.

    The system would reset them, with the requests that they bring.
    """
    with trio.move_on_after(ACCEPT_SECONDS):
        while any(_has_arrivals(each.socket) for each in listeners):
            await trio.lowlevel.checkpoint()


def _has_arrivals(listening: trio.socket.SocketType) -> bool:
    """Return whether connections wait to be accepted at a port that is open."""
    return listening.fileno() >= 0 and listening.is_readable()


def _join_address(host: str, port: int) -> str:
    return f'{host}:{port}'


def _server_config() -> Config:
    cfg = Config()
    cfg.errorlog = None
    cfg.accesslog = None
    cfg.include_server_header = False
    cfg.include_date_header = False
    cfg.keep_alive_timeout = KEEP_ALIVE_SECONDS
    cfg.keep_alive_max_requests = sys.maxsize
    return cfg
