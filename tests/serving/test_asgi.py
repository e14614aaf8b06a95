"""The HTTP server when a handler is cancelled while it sends."""

import httpcore
import trio

from peridotwell.serving.asgi import serve_http


async def fetch_body(address) -> bytes:
    async with httpcore.AsyncConnectionPool() as pool:
        resp = await pool.request(
            'GET',
            f'http://{address}/',
            extensions={'timeout': {'read': 1}},
        )
        return resp.content


async def test_end_of_response_is_sent_despite_cancellation(nursery):
    """Guards against a caller that waits forever for the end of a response.

    hypercorn considered the cancelled end sent and kept the connection open.
    The soak test found this with seed 6.
    """

    async def handle(exchange) -> None:
        await exchange.start_response(200)
        await exchange.write(b'all of it')
        with trio.CancelScope() as scope:
            scope.cancel()
            await exchange.finish()

    address = await nursery.start(serve_http, handle, '127.0.0.1:0')
    assert await fetch_body(address) == b'all of it'


async def test_start_of_response_is_sent_once_despite_cancellation(nursery):
    """Guards against an error response that hypercorn sent additionally."""

    async def handle(exchange) -> None:
        with trio.CancelScope() as scope:
            scope.cancel()
            await exchange.start_response(200)
        await exchange.finish(b'all of it')

    address = await nursery.start(serve_http, handle, '127.0.0.1:0')
    assert await fetch_body(address) == b'all of it'
