"""Bodies of requests for which there is no memory."""

import httpcore
import pytest
import trio

from peridotwell.errors import RequestBodiesFull, RequestTooLarge
from peridotwell.policy.room.body_budget import BodyBudget
from peridotwell.serving.asgi import HttpServer
from tests.ports import find_free_port

MAX_BYTES = 100_000
LIMIT_BYTES = 200_000


class Server:
    """A server that keeps each body until it may answer."""

    def __init__(self):
        self.bodies = []
        self.budget = BodyBudget(MAX_BYTES)
        self.may_answer = trio.Event()
        self.address = f'127.0.0.1:{find_free_port()}'

    async def start(self, nursery):
        server = HttpServer(self._handle, self.budget)
        nursery.start_soon(self._run, server)
        await trio.sleep(0.05)

    async def _run(self, server):
        await server.run(self.address, shutdown=trio.sleep_forever)

    async def _handle(self, exchange):
        try:
            body = await exchange.body(LIMIT_BYTES)
        except (RequestBodiesFull, RequestTooLarge) as exc:
            await exchange.respond(exc.status)
            return
        self.bodies.append(len(body))
        await self.may_answer.wait()
        await exchange.respond(200)


@pytest.fixture
async def server(nursery):
    started = Server()
    await started.start(nursery)
    return started


async def post(server, content):
    async with httpcore.AsyncConnectionPool() as pool:
        resp = await pool.request(
            'POST', f'http://{server.address}/', content=content
        )
    return resp.status


async def in_parts():
    for _ in range(20):
        yield bytes(MAX_BYTES // 10)


# Guards against bodies of requests that fill the memory.
async def test_a_body_without_room_is_refused(server, nursery):
    nursery.start_soon(post, server, bytes(60_000))
    with trio.fail_after(5):
        while not server.bodies:
            await trio.sleep(0.01)
        assert await post(server, bytes(60_000)) == 503
        server.may_answer.set()
        while server.budget.taken_bytes:
            await trio.sleep(0.01)
        assert await post(server, bytes(60_000)) == 200


async def test_a_body_of_unknown_length_is_refused_when_it_has_no_room(
    server,
):
    with trio.fail_after(5):
        resp = await post_parts(server)
    assert resp == 503


async def post_parts(server):
    async with httpcore.AsyncConnectionPool() as pool:
        resp = await pool.request(
            'POST',
            f'http://{server.address}/',
            headers=[('transfer-encoding', 'chunked')],
            content=in_parts(),
        )
    return resp.status


async def test_a_body_that_is_too_long_is_refused_for_its_length(server):
    with trio.fail_after(5):
        assert await post(server, bytes(LIMIT_BYTES + 1)) == 413


async def in_tiny_parts():
    for _ in range(MAX_BYTES // 20):
        yield b'ab'


# Guards against bodies that take many times their length in memory: each of
# their parts is kept by itself until the last one has come.
async def test_a_body_of_tiny_parts_counts_for_what_it_takes(server):
    with trio.fail_after(20):
        assert await post(server, in_tiny_parts()) == 503
    assert not server.bodies
