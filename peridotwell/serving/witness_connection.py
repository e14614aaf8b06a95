"""A connection to a target on which nothing is sent but status checks."""

from enum import Enum

import httpcore
import trio

from peridotwell.domain.target import Target
from peridotwell.serving.socket_network import SocketNetwork
from peridotwell.serving.socket_options import CLIENT_SOCKET_OPTIONS

__all__ = ('WitnessAnswer', 'WitnessConnection')

# Long enough for a packet that was lost to be sent again.
ANSWER_SECONDS = 0.3
READ_BYTES = 65536
# Some targets close a connection behind an answer, and do not tell before.
CLOSE_SECONDS = 0.01
# Of an answer that is longer, the rest counts as the next one.
MAX_LATE_READS = 4


class WitnessAnswer(Enum):
    """What a connection shows of the process that it leads to."""

    answered = 'answered'
    # No answer in time, but no end of the connection either.
    silent = 'silent'
    ended = 'ended'


class WitnessConnection:
    """A connection that is kept to ask one process for signs of life.

    `used_at` is when it was last asked. `is_spent` is set while it is not
    answered, and once the target closes it behind an answer (`is_last`).
    """

    def __init__(
        self, stream: httpcore.AsyncNetworkStream, opened_at: float
    ) -> None:
        self.opened_at = opened_at
        self.used_at = opened_at
        self.is_spent = False
        self.is_last = False
        self._stream = stream
        self._is_broken = False

    @classmethod
    async def open(
        cls, target: Target, seconds: float
    ) -> 'WitnessConnection | None':
        """Return a new connection, None if there is none in time."""
        host, _, port = target.address.rpartition(':')
        try:
            stream = await SocketNetwork().connect_tcp(
                host, int(port), seconds, socket_options=CLIENT_SOCKET_OPTIONS
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout, OSError):
            return None
        return cls(stream, trio.current_time())

    def has_ended(self) -> bool:
        """Whether the target has ended or broken the connection."""
        return self._is_broken or bool(
            self._stream.get_extra_info('peer_has_ended')
        )

    async def ask(self, request: bytes) -> WitnessAnswer:
        """Send a status check, and return what shows the process.

        Also behind one that was not answered: bytes that reach a process which
        has ended bring the end of the connection.
        """
        try:
            self.used_at = trio.current_time()
            await self._read_late()
            await self._stream.write(request, ANSWER_SECONDS)
            return await self._read_answer()
        except httpcore.TimeoutException:
            self.is_spent = True
            return WitnessAnswer.silent
        except (httpcore.ReadError, httpcore.WriteError):
            self._is_broken = True
            return WitnessAnswer.ended

    async def aclose(self) -> None:
        """Close the connection."""
        with trio.CancelScope(shield=True):
            await self._stream.aclose()

    async def _read_late(self) -> None:
        """Read what has come of earlier answers."""
        for _ in range(MAX_LATE_READS):
            if not self._stream.get_extra_info('is_readable'):
                return
            await self._read()

    async def _read_answer(self) -> WitnessAnswer:
        """Read an answer, and find out if it is the last one.

        What comes late is the answer to an earlier status check.
        """
        answer = await self._read()
        if not _is_last(answer):
            await trio.sleep(CLOSE_SECONDS)
        self.is_last = _is_last(answer) or self.has_ended()
        self.is_spent = self.is_last
        return WitnessAnswer.answered

    async def _read(self) -> bytes:
        """Return bytes of an answer. Raises ReadError at the end."""
        received = await self._stream.read(READ_BYTES, ANSWER_SECONDS)
        if not received:
            raise httpcore.ReadError('The target has ended the connection')
        return received


def _is_last(answer: bytes) -> bool:
    """Whether the target closes the connection behind an answer."""
    head = answer.lower()
    return b'connection: close' in head or head.startswith(b'http/1.0')
