"""Runs an HTTP handler as the only server of a process."""

import sys
from collections.abc import Awaitable, Callable

import msgspec
import trio

from peridotwell.serving.asgi import serve_http
from peridotwell.serving.http_exchange import HttpExchange

__all__ = ('run_server',)


async def _announce_and_serve(
    handler: Callable[[HttpExchange], Awaitable[None]],
    bind: str,
    background: Callable[[], Awaitable[None]] | None,
) -> None:
    async with trio.open_nursery() as nursery:
        address = await nursery.start(serve_http, handler, bind)
        announcement = msgspec.json.encode({'address': address})
        sys.stdout.write(f'{announcement.decode()}\n')
        sys.stdout.flush()
        if background is not None:
            nursery.start_soon(background)


def run_server(
    handler: Callable[[HttpExchange], Awaitable[None]],
    bind: str,
    background: Callable[[], Awaitable[None]] | None = None,
) -> None:
    """Serve `handler` on `bind` (host:port) until the process is ended.

    Prints the address in use to standard output, as one JSON line with the key
    `address`. Runs `background` as well if it is given.
    """
    trio.run(_announce_and_serve, handler, bind, background)
