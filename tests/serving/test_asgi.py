"""The server side of one exchange, when it is cancelled."""

import httpcore
import trio

from peridotwell.serving.asgi import serve_http


async def ask(address) -> bytes:
    async with httpcore.AsyncConnectionPool() as pool:
        resp = await pool.request(
            'GET',
            f'http://{address}/',
            extensions={'timeout': {'read': 1}},
        )
        return resp.content


async def test_an_end_that_is_cancelled_is_sent_all_the_same(nursery):
    """Found by the soak, seed 6: the caller waited for the end for ever.

    The server library took the end for sent and kept the connection.
    """

    async def handle(exchange) -> None:
        await exchange.start_response(200)
        await exchange.write(b'all of it')
        with trio.CancelScope() as scope:
            scope.cancel()
            await exchange.finish()

    address = await nursery.start(serve_http, handle, '127.0.0.1:0')
    assert await ask(address) == b'all of it'


async def test_a_start_that_is_cancelled_leaves_no_second_one(nursery):
    """The server library tried to send an error of its own after it."""

    async def handle(exchange) -> None:
        with trio.CancelScope() as scope:
            scope.cancel()
            await exchange.start_response(200)
        await exchange.finish(b'all of it')

    address = await nursery.start(serve_http, handle, '127.0.0.1:0')
    assert await ask(address) == b'all of it'
