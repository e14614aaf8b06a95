"""Answers of targets as bytes: whole, cut, without a length, or sent again."""

import socket
from dataclasses import dataclass

import trio

from tests.raw_target import HEAD_END, RESET_ON_CLOSE
from tests.soak.standstill import StillStream

__all__ = ('Answer', 'Manner', 'Request', 'pieces_of', 'send_answer')

SETTLE_SECONDS = 0.02


@dataclass(frozen=True)
class Request:
    """A request that a target has read."""

    path: str
    headers: dict[str, str]

    @classmethod
    def parse(cls, content: bytes) -> 'Request':
        """Return the request that the bytes are."""
        head = content.partition(HEAD_END)[0].decode('latin-1')
        first, *lines = head.split('\r\n')
        fields = (line.partition(':') for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in fields}
        return cls(first.split(' ')[1], headers)


@dataclass(frozen=True)
class Answer:
    """An answer; `pause_seconds` pass before each piece of its body."""

    status: int
    fields: tuple[tuple[str, str], ...]
    pieces: tuple[bytes, ...]
    pause_seconds: float = 0

    @property
    def body(self) -> bytes:
        """The whole body."""
        return b''.join(self.pieces)


@dataclass(frozen=True)
class Manner:
    """How an answer is sent.

    `framing` is 'length', 'chunks' or 'open' (until the connection ends);
    `cut` is 'end', 'reset' or empty: how the connection ends amid the body.
    """

    framing: str
    cut: str = ''

    @property
    def closes(self) -> bool:
        """Whether the connection ends with the answer."""
        return bool(self.cut) or self.framing == 'open'


async def send_answer(
    stream: trio.SocketStream | StillStream, answer: Answer, manner: Manner
) -> None:
    """Send an answer; end the connection if the manner says so."""
    await stream.send_all(_head(answer, manner))
    for piece in pieces_of(answer, manner):
        await trio.sleep(answer.pause_seconds)
        await stream.send_all(_frame(piece, manner))
    if not manner.cut and manner.framing == 'chunks':
        await stream.send_all(b'0\r\n\r\n')
    if manner.cut == 'reset':
        # The bytes before the reset arrive first.
        await trio.sleep(SETTLE_SECONDS)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    if manner.closes:
        await stream.aclose()


def pieces_of(answer: Answer, manner: Manner) -> tuple[bytes, ...]:
    """Return the pieces that are sent of an answer."""
    return _cut(answer.pieces) if manner.cut else answer.pieces


def _head(answer: Answer, manner: Manner) -> bytes:
    lines = [f'HTTP/1.1 {answer.status} x']
    lines.extend(f'{name}: {value}' for name, value in answer.fields)
    if manner.framing == 'length':
        lines.append(f'content-length: {len(answer.body)}')
    if manner.framing == 'chunks':
        lines.append('transfer-encoding: chunked')
    return '\r\n'.join([*lines, '', '']).encode()


def _cut(pieces: tuple[bytes, ...]) -> tuple[bytes, ...]:
    if len(pieces) > 1:
        return pieces[: len(pieces) // 2]
    return tuple(piece[: len(piece) // 2] for piece in pieces)


def _frame(piece: bytes, manner: Manner) -> bytes:
    if manner.framing == 'chunks':
        return b'%x\r\n%b\r\n' % (len(piece), piece)
    return piece
