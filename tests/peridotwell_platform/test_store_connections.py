"""Connections to the store that go silent, and calls that outlive a restore."""

from contextlib import suppress

import pytest
import trio
from peridotwell_platform.store import PlatformStore

from peridotwell.errors import StoreResponseLost
from peridotwell.serving.asgi import serve_http
from tests.peridotwell_platform import stand_in

LOCALHOST = '127.0.0.1'
ANSWER = b'{"lease": 1}'
WAIT_SECONDS = 20


class SilencingServer:
    """Answers each call, but none on connections from before `silence`."""

    def __init__(self) -> None:
        self.silenced = 0
        self.opened = 0
        # Number of calls that got no answer.
        self.ignored = 0

    def silence(self) -> None:
        """Let all open connections go silent; new ones work."""
        self.silenced = self.opened

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host=LOCALHOST)
            port = listeners[0].socket.getsockname()[1]
            task_status.started(f'{LOCALHOST}:{port}')
            nursery.start_soon(trio.serve_listeners, self._handle, listeners)

    async def _handle(self, stream):
        with suppress(trio.BrokenResourceError):
            await self._answer(stream)

    async def _answer(self, stream):
        self.opened += 1
        number = self.opened
        while chunk := await stream.receive_some():
            if not chunk.endswith(b'}'):
                # The head; the body follows.
                continue
            if number <= self.silenced:
                self.ignored += 1
                await trio.sleep_forever()
            # Long enough for several calls to be open at the same time.
            await trio.sleep(0.05)
            await stream.send_all(
                b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b'
                % (len(ANSWER), ANSWER)
            )


@pytest.fixture
async def silenced(nursery):
    """A server, and a client whose three connections to it have gone silent."""
    server = SilencingServer()
    store = PlatformStore(await nursery.start(server.serve))
    async with trio.open_nursery() as calls:
        for _ in range(3):
            calls.start_soon(store.grant_lease, 4)
    assert server.opened == 3
    server.silence()
    return server, store


# Guards against a router that does not hear the store for seconds more, because
# its next call takes another connection that has gone silent with the first.
async def test_after_a_lost_answer_no_other_old_connection_is_used(silenced):
    server, store = silenced
    with pytest.raises(StoreResponseLost):
        await store.write('key', b'value', expected=0)
    with trio.fail_after(0.5):
        await store.grant_lease(4)
    assert server.ignored == 1


# The same for a call that is sent again while the first one waits.
async def test_a_repeated_call_uses_no_other_old_connection(silenced):
    server, store = silenced
    with trio.fail_after(1.5):
        await store.grant_lease(4)
    assert server.ignored == 1


# Guards against a router that goes on waiting for changes of a store that was
# restored from a copy meanwhile, although another call has told so.
async def test_a_waiting_call_ends_when_another_one_tells_of_a_restore(
    nursery,
):
    store = stand_in.StoreStandIn()
    address = await nursery.start(serve_http, store.handle, f'{LOCALHOST}:0')
    store.put('op/config', b'{}')
    client = PlatformStore(address)
    snapshot = await client.read_snapshot()
    ended = trio.Event()

    async def wait():
        with pytest.raises(StoreResponseLost):
            await client.wait_for_changes(snapshot.revision, WAIT_SECONDS)
        ended.set()

    nursery.start_soon(wait)
    await trio.sleep(0.1)
    store.restore(store.copy())
    with trio.fail_after(1):
        await client.grant_lease(4)
        await ended.wait()
