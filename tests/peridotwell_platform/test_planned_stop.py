"""A router that stops, and callers who use their connections until the end."""

from dataclasses import dataclass, replace

import h11
import msgspec
import pytest
import trio

from peridotwell.domain.bounds import DeploymentBounds
from peridotwell.forwarding import router as router_module
from tests.peridotwell_platform import stand_in
from tests.peridotwell_platform.router_setup import caller_headers
from tests.peridotwell_platform.test_path import CONFIG, harness

__all__ = ('harness',)

STOP_DELAY_SECONDS = 0.5
GRACE_SECONDS = 3.0
# When requests that still run are cut.
CUT_SECONDS = GRACE_SECONDS - router_module.STOP_MARGIN_SECONDS
LONG_DEADLINE_MS = '20000'
PATHS = ['/book/x', '/read/x', '/draft/x']


@dataclass(frozen=True)
class Answer:
    """One response, as the caller has read it."""

    status: int
    fields: dict[bytes, bytes]
    body: bytes

    @property
    def closes(self) -> bool:
        return self.fields.get(b'connection') == b'close'


class Caller:
    """A caller with one connection that it uses again and again."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.protocol = h11.Connection(h11.CLIENT)
        self.number = 0

    async def send(self, path, deadline_ms=LONG_DEADLINE_MS):
        self.number += 1
        headers = caller_headers(self.number, x_deadline_ms=deadline_ms)
        if self.protocol.our_state is h11.DONE:
            self.protocol.start_next_cycle()
        request = h11.Request(
            method='POST',
            target=path,
            headers=[*headers.items(), ('content-length', '1')],
        )
        for event in (request, h11.Data(b'q'), h11.EndOfMessage()):
            await self.stream.send_all(self.protocol.send(event))

    async def read(self, started=None) -> Answer:
        """Return the response; set `started` at its first part."""
        head = None
        body = b''
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                data = await self.stream.receive_some()
                self.protocol.receive_data(data)
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if started is not None:
                    started.set()
            elif isinstance(event, h11.EndOfMessage):
                return Answer(head.status_code, dict(head.headers), body)
            else:
                raise AssertionError(f'no complete response: {event}')


@pytest.fixture
async def stopping(harness, monkeypatch):
    """A router with long deadlines, whose stop takes a short time."""
    monkeypatch.setattr(router_module, 'STOP_DELAY_SECONDS', STOP_DELAY_SECONDS)
    bounds = DeploymentBounds(grace_seconds=GRACE_SECONDS)
    harness.router.reload(replace(harness.router.settings, bounds=bounds))
    routes = [
        {**route, 'timeout_ms': 30_000, 'slo_ms': 0}
        for route in CONFIG['routes']
    ]
    changed = {**CONFIG, 'version': 2, 'routes': routes}
    harness.store.put('op/config', msgspec.json.encode(changed))
    directory = harness.router._components.directory
    with trio.fail_after(2):
        while directory.table.version < 2:
            await trio.sleep(0.01)
    return harness


async def connect(harness):
    host, _, port = harness.address.partition(':')
    return Caller(await trio.open_tcp_stream(host, int(port)))


def respond_after(seconds):
    async def respond(target, exchange):
        await trio.sleep(seconds)
        await stand_in.respond_ok(target, exchange)

    return respond


def stream_for(seconds):
    async def respond(target, exchange):
        fields = stand_in.receipt_headers(target, exchange)
        await exchange.start_response(200, fields)
        await exchange.write(b'id: 1\ndata: x\n\n')
        await trio.sleep(seconds)
        await exchange.finish(b'id: 2\ndata: x\n\n')

    return respond


# Guards against callers whose next request gets no answer, because they were
# not told that a stopping router closes their connection.
@pytest.mark.parametrize('path', ['/book/x', '/read/x'])
async def test_an_answer_after_the_stop_delay_closes_its_connection(
    stopping, path
):
    stopping.script_responses(respond_after(STOP_DELAY_SECONDS + 0.3))
    caller = await connect(stopping)
    await caller.send(path)
    await trio.sleep(0.1)
    stopping.router.stop_requested.set()
    answer = await caller.read()
    assert (answer.status, answer.closes) == (200, True)


# Guards against the same where the answer had begun before the stop, so that
# its caller could not be told.
async def test_a_request_after_a_stream_from_before_the_stop_is_answered(
    stopping,
):
    stopping.script_responses(stream_for(STOP_DELAY_SECONDS + 0.3))
    caller = await connect(stopping)
    started = trio.Event()
    await caller.send('/draft/x')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.read, started)
        await started.wait()
        stopping.router.stop_requested.set()
    await caller.send('/book/x', '500')
    answer = await caller.read()
    assert (answer.status, answer.closes) == (200, True)


# Guards against requests that are taken late in a planned stop, sent on, and
# cut at its end with no answer.
@pytest.mark.parametrize('path', PATHS)
async def test_a_late_request_that_may_not_end_in_time_is_refused(
    stopping, path
):
    stopping.script_responses(stream_for(STOP_DELAY_SECONDS + 0.3))
    caller = await connect(stopping)
    started = trio.Event()
    await caller.send('/draft/x')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.read, started)
        await started.wait()
        stopping.router.stop_requested.set()
    count = stopping.count_requests()
    await caller.send(path)
    with trio.fail_after(0.2):
        answer = await caller.read()
    assert (answer.status, answer.closes) == (503, True)
    assert answer.fields[b'retry-after'] == b'0'
    assert stopping.count_requests() == count


# Guards against requests that still run at the end of a planned stop and whose
# callers get no answer.
@pytest.mark.parametrize('path', PATHS)
async def test_a_request_that_does_not_end_in_time_is_answered_before_the_end(
    stopping, path
):
    stopping.script_responses(*[stand_in.never_respond] * 3)
    caller = await connect(stopping)
    await caller.send(path)
    await trio.sleep(0.1)
    stopping.router.stop_requested.set()
    with trio.fail_after(CUT_SECONDS):
        answer = await caller.read()
    assert (answer.status, answer.closes) == (504, True)
