"""Pools of connections whose requests may be given up at any time.

httpcore keeps a connection for good if its first request is cancelled before it
begins, or once the connection is made and before anything is sent: it counts as
used, and nobody uses it.
"""

from typing import Any

import httpcore
import trio

from peridotwell.serving.socket_network import SocketNetwork
from peridotwell.serving.socket_options import CLIENT_SOCKET_OPTIONS

__all__ = ('ConnectionPool',)

# The first request of a connection begins at once, unless the process is late.
MAX_BEGIN_SECONDS = 1.0


class _Connection(httpcore.AsyncHTTPConnection):
    """A connection that is closed if its first request fails.

    Until then, only that request has it. A connection whose first request does
    not begin is given up after some time.
    """

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._has_begun = False
        self._begin_until = trio.current_time() + MAX_BEGIN_SECONDS

    async def handle_async_request(
        self, request: httpcore.Request
    ) -> httpcore.Response:
        """Send a request and return the response."""
        if self._has_begun:
            return await super().handle_async_request(request)
        if self.is_closed():
            raise httpcore.ConnectionNotAvailable
        self._has_begun = True
        try:
            return await super().handle_async_request(request)
        except BaseException:
            with trio.CancelScope(shield=True):
                await self.aclose()
            raise

    def is_closed(self) -> bool:
        """Whether the connection cannot be used any more."""
        if not self._has_begun:
            return trio.current_time() > self._begin_until
        return super().is_closed()


class ConnectionPool(httpcore.AsyncConnectionPool):
    """Up to `max_connections` connections straight on the sockets of trio.

    Idle ones are closed after `idle_seconds`, or at once without `keeps_idle`.
    """

    def __init__(
        self,
        max_connections: int,
        *,
        idle_seconds: float | None = None,
        keeps_idle: bool = True,
    ) -> None:
        super().__init__(
            max_connections=max_connections,
            max_keepalive_connections=None if keeps_idle else 0,
        )
        self._idle_seconds = idle_seconds
        self._network = SocketNetwork()

    def create_connection(
        self, origin: httpcore.Origin
    ) -> httpcore.AsyncConnectionInterface:
        """Return a new connection."""
        return _Connection(
            origin,
            keepalive_expiry=self._idle_seconds,
            socket_options=CLIENT_SOCKET_OPTIONS,
            network_backend=self._network,
        )
