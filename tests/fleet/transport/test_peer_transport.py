"""Frames of peers that are too long, or too many."""

import pytest
import trio
import zmq

from peridotwell.fleet.transport.frames import MAX_FRAME_BYTES
from peridotwell.fleet.transport.peer_transport import ZmqPeerTransport

SETTLE_SECONDS = 0.3
FRAMES = 400
FRAME_BYTES = 100_000
# Of a connection: what the sockets of both sides hold, and the queue.
MAX_QUEUED = 300


@pytest.fixture
def transport():
    opened = ZmqPeerTransport('127.0.0.1:0')
    yield opened
    opened.close()


@pytest.fixture
def sender(transport):
    with zmq.Context() as context, context.socket(zmq.PUSH) as opened:
        opened.setsockopt(zmq.LINGER, 0)
        opened.setsockopt(zmq.SNDHWM, 10)
        opened.connect(f'tcp://{transport.address}')
        yield opened


async def first_frame(transport):
    async for content in transport.received_frames():
        return content
    raise AssertionError


# Guards against frames of any length that are held in memory.
async def test_a_frame_that_is_too_long_is_not_received(transport, sender):
    sender.send(bytes(MAX_FRAME_BYTES + 1))
    await trio.sleep(SETTLE_SECONDS)
    with trio.move_on_after(SETTLE_SECONDS):
        content = await first_frame(transport)
        raise AssertionError(len(content))
    # The sender opens another connection.
    with zmq.Context() as context, context.socket(zmq.PUSH) as other:
        other.connect(f'tcp://{transport.address}')
        other.send(b'short')
        with trio.fail_after(5):
            assert await first_frame(transport) == b'short'


# Guards against frames without end while this process does not read them.
async def test_frames_that_are_not_read_wait_with_their_sender(
    transport, sender
):
    sent = 0
    with trio.move_on_after(2):
        while sent < FRAMES:
            try:
                sender.send(bytes(FRAME_BYTES), zmq.NOBLOCK)
            except zmq.Again:
                await trio.sleep(0.001)
            else:
                sent += 1
    assert sent < MAX_QUEUED
