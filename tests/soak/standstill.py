"""A target that stands still: it neither reads nor sends, but still listens.

Connections to it are accepted, and what comes on them lies there until it goes
on, as with a process that is stopped.
"""

import math

import trio

from tests.soak.records import now

__all__ = ('Standstill', 'StillStream')

# What lay at a target is read within this time after it has gone on.
SETTLE_SECONDS = 1.0


class Standstill:
    """Whether a target stands still, or has gone on."""

    def __init__(self) -> None:
        self._goes_on = trio.Event()
        self._ended_at = -math.inf
        self._goes_on.set()

    @property
    def is_over(self) -> bool:
        """Whether it is over for so long that nothing lies there any more."""
        return self._goes_on.is_set() and (
            now() >= self._ended_at + SETTLE_SECONDS
        )

    def begin(self) -> None:
        """Stand still."""
        self._goes_on = trio.Event()

    def end(self) -> None:
        """Go on, if it stood still."""
        if not self._goes_on.is_set():
            self._ended_at = now()
            self._goes_on.set()

    async def wait_until_over(self) -> None:
        """Wait until the target goes on."""
        await self._goes_on.wait()


class StillStream:
    """A connection of a target, of which nothing is read while it is still."""

    def __init__(
        self, stream: trio.SocketStream, standstill: Standstill
    ) -> None:
        self._stream = stream
        self._standstill = standstill

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive bytes, as a stream does."""
        self._check_open()
        await trio.lowlevel.wait_readable(self._stream.socket)
        await self._standstill.wait_until_over()
        return bytes(await self._stream.receive_some(max_bytes))

    async def send_all(self, content: bytes) -> None:
        """Send bytes, as a stream does."""
        await self._standstill.wait_until_over()
        await self._stream.send_all(content)

    def setsockopt(self, level: int, option: int, content: bytes) -> None:
        """Set an option, as a stream does."""
        self._check_open()
        self._stream.setsockopt(level, option, content)

    async def aclose(self) -> None:
        """Close the connection, as a stream does."""
        await self._standstill.wait_until_over()
        await self._stream.aclose()

    def _check_open(self) -> None:
        if self._stream.socket.fileno() < 0:
            raise trio.ClosedResourceError
