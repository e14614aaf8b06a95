"""One connection of a caller, served by hypercorn."""

import select

import h11
import trio
from hypercorn.trio.tcp_server import TCPServer

__all__ = ('CallerConnection',)

# Time in which a request that has arrived is read.
READ_SECONDS = 0.02


class CallerConnection(TCPServer):
    """Closes an idle connection only if no request has arrived on it.

    If the process stands still while the idle time ends, a request that arrives
    meanwhile is ready together with the timer. hypercorn closes the connection
    then, although the request is read.
    """

    async def _idle_timeout(self) -> None:
        """Close the connection after the idle time, or at a planned stop.

        The task of this method is cancelled when a request begins.
        """
        with trio.move_on_after(self.config.keep_alive_timeout):
            await self.context.terminated.wait()
        await trio.sleep(READ_SECONDS)
        while self._has_request():
            await trio.sleep(READ_SECONDS)
        # Nothing else runs between the check and the end of the connection.
        with trio.CancelScope(shield=True):
            await self._initiate_server_close()

    def _has_request(self) -> bool:
        """Return whether a request is being handled or can be read."""
        connection = self.protocol.protocol.connection
        their_state = getattr(connection, 'their_state', h11.IDLE)
        if their_state is not h11.IDLE:
            return their_state not in {h11.CLOSED, h11.ERROR}
        readable, _, _ = select.select([self.stream.socket], [], [], 0)
        return bool(readable)
