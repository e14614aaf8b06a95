"""What a router hears of the store while each turn of its event loop is long.

A router that is short of processor time handles many requests a turn. What the
store says must be in force after a few turns, whatever its size.
"""

import base64
import socket
import threading
import time
from contextlib import suppress

import msgspec
import pytest
import trio
from peridotwell_platform.store import PlatformStore

from tests.peridotwell_platform.stand_in import route

TURN_SECONDS = 0.02
# Connecting, sending the call, reading and ending the response.
MAX_TURNS = 16
ROUTES = 2500
REVISION = 7
READ_BYTES = 65536


class BusyLoop:
    """An event loop each turn of which takes some time."""

    def __init__(self):
        self.turns = 0

    async def run(self):
        while True:
            time.sleep(TURN_SECONDS)
            self.turns += 1
            await trio.lowlevel.checkpoint()


def configuration():
    routes = [
        route(f'route-{number}', 'idempotent') for number in range(ROUTES)
    ]
    content = msgspec.json.encode({'version': 1, 'routes': routes})
    return {
        'key': 'op/config',
        'value': base64.b64encode(content).decode(),
        'rev': REVISION,
    }


ANSWERS = {
    'watch': {'events': [configuration()], 'current_rev': REVISION},
    'snapshot': {'items': [configuration()], 'current_rev': REVISION},
}


def answer(listener, document):
    """Answer one call, in a thread of its own."""
    conn, _ = listener.accept()
    with conn:
        conn.recv(READ_BYTES)
        body = msgspec.json.encode(document)
        head = f'HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n'
        conn.sendall(head.encode() + body)
        with suppress(ConnectionError):
            conn.recv(READ_BYTES)


# Guards against an older configuration, and targets that have left, in use for
# seconds, because a large answer was read in parts, one a turn.
@pytest.mark.parametrize('kind', list(ANSWERS))
async def test_a_large_answer_is_read_in_few_turns(nursery, kind):
    listener = socket.create_server(('127.0.0.1', 0))
    server = threading.Thread(
        target=answer, args=(listener, ANSWERS[kind]), daemon=True
    )
    server.start()
    store = PlatformStore(f'127.0.0.1:{listener.getsockname()[1]}')
    loop = BusyLoop()
    nursery.start_soon(loop.run)
    if kind == 'watch':
        heard = await store.wait_for_changes(REVISION - 1, 1)
    else:
        heard = await store.read_snapshot()
    listener.close()
    assert [each.key for each in heard.entries] == ['op/config']
    assert loop.turns <= MAX_TURNS
