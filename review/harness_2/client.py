"""A client that sends one request on a channel of its own."""

import time
from collections.abc import Iterable
from dataclasses import dataclass, field

import trio

__all__ = ('Reply', 'client_fields', 'prompt_fields', 'send_request')

Fields = Iterable[tuple[str, str]]
READ_BYTES = 65536
HEXADECIMAL = 16
WAIT_SECONDS = 20.0


@dataclass
class Reply:
    """What a client got.

    `end` tells how the answer ended: 'chunks', 'length' or 'channel' if it
    looks complete, else what broke it off.
    """

    status: int = 0
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    end: str = ''
    sent_at: float = 0
    ended_at: float = 0

    @property
    def looks_complete(self) -> bool:
        """Whether the client takes the answer for complete."""
        return self.end in {'chunks', 'length', 'channel'}

    def events(self) -> list[str]:
        """Return the texts of the events of a stream."""
        lines = self.body.decode().splitlines()
        marks = [line for line in lines if line.startswith('data: ')]
        return [line.removeprefix('data: ') for line in marks]


def client_fields(request_id: str, deadline_ms: int = 12_000) -> Fields:
    """Return the header fields of a request of a tenant."""
    return (
        ('Host', 'a.example'),
        ('X-Request-Id', request_id),
        ('X-Deadline-Ms', str(deadline_ms)),
        ('X-Credential', 'key-1'),
    )


def prompt_fields(shared: str, own: str) -> Fields:
    """Return the header fields of a prompt with a shared and an own part."""
    return (
        ('X-Model', 'm'),
        ('X-Token-Counts', '1200,60'),
        ('X-Prompt-Prefix', f'{shared}:1000,{own}:200'),
    )


async def send_request(
    address: str, method: str, path: str, fields: Fields, body: bytes = b''
) -> Reply:
    """Send a request and read the answer to its end."""
    host, _, port = address.rpartition(':')
    reply = Reply(sent_at=time.time())
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in fields]
    if body:
        lines.append(f'Content-Length: {len(body)}')
    head = '\r\n'.join((*lines, '', '')).encode()
    with trio.move_on_after(WAIT_SECONDS) as scope:
        try:
            async with await trio.open_tcp_stream(host, int(port)) as stream:
                await stream.send_all(head + body)
                await _read(stream, reply)
        except OSError:
            reply.end = 'no channel'
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            reply.end = 'reset'
    if scope.cancelled_caught:
        reply.end = 'no end in time'
    reply.ended_at = time.time()
    return reply


async def _read(stream: trio.SocketStream, reply: Reply) -> None:
    source = _Source(stream)
    head = await source.until(b'\r\n\r\n')
    if head is None:
        reply.end = 'closed in the head'
        return
    first, *lines = head.decode('latin-1').split('\r\n')
    reply.status = int(first.split()[1])
    for line in lines:
        name, _, text = line.partition(':')
        reply.fields[name.lower()] = text.strip()
    if reply.fields.get('transfer-encoding') == 'chunked':
        reply.end = await _read_chunks(source, reply)
    elif 'content-length' in reply.fields:
        length = int(reply.fields['content-length'])
        is_whole = await source.more(length, reply)
        reply.end = 'length' if is_whole else 'closed in the body'
    else:
        while await source.more(1, reply):
            """Read until the end of the channel."""
        reply.end = 'channel'


async def _read_chunks(source: '_Source', reply: Reply) -> str:
    while True:
        size = await source.until(b'\r\n')
        if size is None:
            return 'closed between chunks'
        if not await source.more(int(size, HEXADECIMAL), reply):
            return 'closed in a chunk'
        if await source.until(b'\r\n') is None:
            return 'closed in a chunk'
        if not int(size, HEXADECIMAL):
            return 'chunks'


class _Source:
    """Reads a channel piece by piece."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._content = b''

    async def until(self, mark: bytes) -> bytes | None:
        """Return what comes before a mark, None if the channel ends."""
        while mark not in self._content:
            if not await self._receive():
                return None
        found, _, rest = self._content.partition(mark)
        self._content = rest
        return found

    async def more(self, length: int, reply: Reply) -> bool:
        """Add so many bytes to the body; return False if some are missing."""
        while len(self._content) < length:
            if not await self._receive():
                reply.body += self._content
                self._content = b''
                return False
        reply.body += self._content[:length]
        self._content = self._content[length:]
        return True

    async def _receive(self) -> bool:
        part = await self._stream.receive_some(READ_BYTES)
        self._content += part
        return bool(part)
