"""A server process whose responses have no mark of their end: `PORT`.

`/whole` gets a whole body, any other path a part of it and nothing more.
"""

import sys

import trio

from peridotwell.serving.asgi import serve_http
from peridotwell.serving.http_exchange import HttpExchange

__all__ = ('BODY', 'PART')

OK = 200
BODY = b'data: x\n\n' * 200_000
PART = BODY[:900]


async def respond(exchange: HttpExchange) -> None:
    """Begin the response, and end it if asked to."""
    await exchange.start_raw_response(OK, (), ends_with_connection=True)
    if exchange.path == '/whole':
        await exchange.finish(BODY)
        return
    await exchange.write(PART)
    await trio.sleep_forever()


if __name__ == '__main__':
    trio.run(serve_http, respond, f'127.0.0.1:{sys.argv[1]}')
