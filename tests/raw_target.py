"""A target that sends scripted bytes, and breaks off in any way."""

import socket
import struct
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial

import trio

HEAD_END = b'\r\n\r\n'
REQUEST_ID = b'x-request-id: '
# An active close with this option resets the connection.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@dataclass(frozen=True)
class RawResponse:
    """Bytes of a response, and how its connection ends after them.

    `{id}` in the head is replaced by the id of the request. `endless` bytes
    are sent again and again, each time after `pause_seconds`, until the other
    side closes.
    """

    head: tuple[str, ...]
    body: bytes = b''
    reset: bool = False
    endless: bytes = b''
    pause_seconds: float = 0


@dataclass
class RawTarget:
    """Serves the responses in turn, the last one for all further requests."""

    responses: list[RawResponse]
    requests: list[bytes] = field(default_factory=list)

    async def start(self, nursery: trio.Nursery) -> str:
        """Listen, and return the address."""
        return await listen(nursery, self._serve)

    async def _serve(self, stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError):
            request = await read_request(stream)
            if not request:
                return
            self.requests.append(request)
            number = min(len(self.requests), len(self.responses)) - 1
            request_id = request_field(request, REQUEST_ID)
            await send(stream, self.responses[number], request_id)


async def listen(nursery: trio.Nursery, serve) -> str:
    """Serve connections on a free port; return the address."""
    listeners = await nursery.start(
        partial(trio.serve_tcp, serve, 0, host='127.0.0.1')
    )
    port = listeners[0].socket.getsockname()[1]
    return f'127.0.0.1:{port}'


async def read_request(stream: trio.SocketStream) -> bytes:
    """Return a request with its body, or nothing if the connection ends."""
    request = b''
    while HEAD_END not in request:
        part = await stream.receive_some()
        if not part:
            return b''
        request += part
    body_bytes = int(request_field(request, b'content-length: ') or b'0')
    missing = body_bytes - len(request.partition(HEAD_END)[2])
    while missing > 0:
        part = await stream.receive_some(missing)
        if not part:
            return b''
        missing -= len(part)
    return request


def request_field(request: bytes, name: bytes) -> bytes:
    for line in request.lower().split(b'\r\n'):
        if line.startswith(name):
            return line.removeprefix(name)
    return b''


async def send(
    stream: trio.SocketStream, response: RawResponse, request_id: bytes
) -> None:
    head = '\r\n'.join(response.head).encode()
    head = head.replace(b'{id}', request_id)
    await stream.send_all(head + response.body)
    while response.endless:
        await trio.sleep(response.pause_seconds)
        await stream.send_all(response.endless)
    if response.reset:
        # The bytes before the reset arrive first.
        await trio.sleep(0.02)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
