"""A proxy that forwards every request to the engine given by --target.

It uses the same HTTP libraries as a router but takes no decisions, so it is
the baseline for the costs of a router.
"""

import httpcore
from absl import app, flags

from peridotwell.serving.http_exchange import HttpExchange
from standins.server import run_server

__all__ = ('PassThrough',)

TARGET = flags.DEFINE_string('target', None, 'host:port of the engine')
BIND = flags.DEFINE_string('listen', '127.0.0.1:0', 'host:port to listen on')


class PassThrough:
    """Forwards requests, and their responses part by part."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._pool = httpcore.AsyncConnectionPool(max_connections=1024)

    async def handle(self, exchange: HttpExchange) -> None:
        """Forward one request."""
        body = await exchange.body()
        async with self._pool.stream(
            exchange.method,
            f'http://{self._target}{exchange.path}',
            headers=[(b'content-type', b'application/json')],
            content=body,
        ) as resp:
            await exchange.start_response(resp.status)
            async for part in resp.aiter_stream():
                await exchange.write(part)
            await exchange.finish()


def main(argv: list[str]) -> None:
    """Run the pass-through proxy until the process is ended."""
    run_server(PassThrough(TARGET.value).handle, BIND.value)


if __name__ == '__main__':
    app.run(main)
