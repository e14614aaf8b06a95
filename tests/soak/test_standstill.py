"""A target that stands still reads what lay there when it goes on."""

import random
import socket

import pytest
import trio

from tests.accepting import serve_connections
from tests.raw_target import RESET_ON_CLOSE
from tests.soak.proxy import start_proxy
from tests.soak.records import Arrived, TakenBack, now
from tests.soak.target import SoakTarget

REQUEST = (
    b'POST /book/x HTTP/1.1\r\nHost: a\r\nX-Request-Id: q1-book\r\n'
    b'Content-Length: 8\r\n\r\nquestion'
)
STILL_SECONDS = 0.3


@pytest.fixture
async def target(nursery):
    """A target behind the two proxies that routers have to it."""
    started = SoakTarget('t0', [], random.Random(1))
    address = await nursery.start(serve_connections, started.serve)
    started.proxy = await start_proxy(nursery, address)
    started.ways.append(await start_proxy(nursery, started.proxy.address))
    return started


async def connect(target):
    host, _, port = target.ways[0].address.rpartition(':')
    return await trio.open_tcp_stream(host, int(port))


async def test_a_target_that_stands_still_answers_when_it_goes_on(target):
    stream = await connect(target)
    target.stand_still()
    sent_at = now()
    await stream.send_all(REQUEST)
    with trio.move_on_after(STILL_SECONDS) as waiting:
        await stream.receive_some()
    assert waiting.cancelled_caught
    assert not target.records
    target.go_on()
    assert b'200' in await stream.receive_some()
    arrived = target.records[0]
    assert isinstance(arrived, Arrived)
    assert arrived.at >= sent_at + STILL_SECONDS
    assert sent_at <= arrived.sent_on_at < sent_at + STILL_SECONDS


# Guards against targets that run what their router has taken back: bytes stay
# readable after a reset (issue 68).
async def test_a_request_whose_connection_was_reset_does_not_run(target):
    stream = await connect(target)
    target.stand_still()
    await stream.send_all(REQUEST)
    await trio.sleep(STILL_SECONDS)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    await stream.aclose()
    target.go_on()
    await trio.sleep(STILL_SECONDS)
    assert [type(each) for each in target.records] == [TakenBack]


# An ordinary close does not take back what has been sent.
async def test_a_request_whose_connection_was_closed_runs(target):
    stream = await connect(target)
    target.stand_still()
    await stream.send_all(REQUEST)
    await stream.aclose()
    await trio.sleep(STILL_SECONDS)
    target.go_on()
    await trio.sleep(STILL_SECONDS)
    assert isinstance(target.records[0], Arrived)


async def test_the_next_request_of_a_connection_has_a_time_of_its_own(target):
    stream = await connect(target)
    for _ in range(2):
        sent_at = now()
        await stream.send_all(REQUEST)
        received = b''
        while not received.endswith(b'q1-book'):
            received += await stream.receive_some()
        arrived = [each for each in target.records if isinstance(each, Arrived)]
        assert sent_at <= arrived[-1].sent_on_at <= arrived[-1].at
        await trio.sleep(STILL_SECONDS)


async def test_a_held_request_was_sent_when_its_first_bytes_came(target):
    stream = await connect(target)
    target.ways[0].hold('requests', 'responses')
    sent_at = now()
    await stream.send_all(REQUEST[:30])
    await trio.sleep(STILL_SECONDS)
    await stream.send_all(REQUEST[30:])
    target.ways[0].release('requests', 'responses')
    await stream.receive_some()
    assert target.records[0].sent_on_at < sent_at + STILL_SECONDS
