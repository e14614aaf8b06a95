"""A TCP server that sends the same bytes for every request."""

from contextlib import asynccontextmanager
from functools import partial

import trio


@asynccontextmanager
async def raw_server(response_bytes: bytes, *, silent: bool = False):
    """Yield the address of a server that sends the same bytes each time.

    It closes the connection after that; with `silent`, it leaves it open.
    """

    async def serve(stream):
        await stream.receive_some(65536)
        await stream.send_all(response_bytes)
        if silent:
            await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            partial(trio.serve_tcp, serve, 0, host='127.0.0.1')
        )
        port = listeners[0].socket.getsockname()[1]
        yield f'127.0.0.1:{port}'
        nursery.cancel_scope.cancel()


def response(status, body=b'', *headers, length=None):
    lines = [f'HTTP/1.1 {status} x', *headers]
    if length != 0:
        lines.append(f'content-length: {length or len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body
