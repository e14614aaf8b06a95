"""Run one stand-in as a process that announces its address on stdout."""

import sys
from collections.abc import Awaitable, Callable

import msgspec
import trio

from peridotwell.serving.asgi import HttpExchange, serve_http

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
    """Serve `handler` on `bind` until the process is ended."""
    trio.run(_announce_and_serve, handler, bind, background)
