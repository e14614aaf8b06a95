"""Answers that the planned stop of a router cuts, as their callers see them."""

import signal
from contextlib import suppress
from dataclasses import dataclass, field

import h11
import pytest
import trio

from tests.peridotwell_platform import router_setup, stand_in
from tests.peridotwell_platform.test_program import SETTINGS
from tests.ports import find_free_port
from tests.processes.stuttering_target import BODY, EVENTS, FRAMINGS
from tests.processes.test_broken_answers import (
    running,
    wait_for_port,
    wait_until_ready,
)

GRACE_SECONDS = 2
BEGIN_SECONDS = 0.5
WAIT_SECONDS = 8
TIMEOUT_MS = 20_000
CONFIG = router_setup.configuration(
    100,
    stand_in.route('read', 'idempotent', timeout_ms=TIMEOUT_MS, slo_ms=0),
    stand_in.route('book', 'non_idempotent', timeout_ms=TIMEOUT_MS, slo_ms=0),
    stand_in.route('draft', 'streaming', timeout_ms=TIMEOUT_MS, slo_ms=0),
    stand_in.route(
        'ask', 'streaming', resumable=True, timeout_ms=TIMEOUT_MS, slo_ms=0
    ),
)
STREAM = b''.join(EVENTS)
WHOLE = {'read': BODY, 'book': BODY, 'draft': STREAM, 'ask': STREAM}


@dataclass
class Caller:
    """A caller with one request, and what it got.

    `is_complete` tells whether the answer looks complete.
    """

    path: str
    request_id: str
    version: str
    status: int = 0
    body: bytes = b''
    is_complete: bool = False
    _protocol: h11.Connection = field(
        default_factory=lambda: h11.Connection(h11.CLIENT)
    )

    async def run(self, port: int) -> None:
        """Send the request, and read its answer to the end."""
        stream = await trio.open_tcp_stream('127.0.0.1', port)
        fields = router_setup.caller_headers(0, x_request_id=self.request_id)
        request = h11.Request(
            method='GET', target=self.path, headers=[*fields.items()]
        )
        head = self._protocol.send(request)
        self._protocol.send(h11.EndOfMessage())
        await stream.send_all(head.replace(b'HTTP/1.1', self.version.encode()))
        with suppress(trio.BrokenResourceError, h11.RemoteProtocolError):
            await self._read(stream)

    async def _read(self, stream: trio.SocketStream) -> None:
        while not self.is_complete:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                self._protocol.receive_data(await stream.receive_some())
            elif isinstance(event, h11.Response):
                self.status = event.status_code
            elif isinstance(event, h11.Data):
                self.body += event.data
            else:
                self.is_complete = isinstance(event, h11.EndOfMessage)

    def is_sound(self) -> bool:
        """Whether the answer is whole, a failure, or looks cut."""
        whole = WHOLE[self.path.split('/')[1]]
        return (
            not self.is_complete
            or self.status >= 500
            or self.body == whole.replace(b'{id}', self.request_id.encode())
        )


# Guards against answers that a planned stop cuts and that look complete, also
# to callers to whom the end of the connection marks that of the body.
@pytest.mark.parametrize('version', ['HTTP/1.1', 'HTTP/1.0'])
async def test_an_answer_that_a_planned_stop_cuts_never_looks_complete(
    nursery, tmp_path, version
):
    store, address = await router_setup.start_store(nursery, CONFIG)
    ports = {name: find_free_port() for name in ('front', 'ready', 'peers')}
    target = find_free_port()
    entry = router_setup.target_entry(f'127.0.0.1:{target}')
    store.put('servers/i-1', entry)
    path = tmp_path / 'node.toml'
    path.write_text(
        SETTINGS.format(grace=GRACE_SECONDS, store=address, **ports)
    )
    callers = [
        Caller(f'/{route}/{framing}/slow', f'{route}-{framing}', version)
        for route in WHOLE
        for framing in FRAMINGS
    ]
    with (
        running('-m', 'tests.processes.stuttering_target', target),
        running('platform/start.py', PERIDOTWELL_SETTINGS=str(path)) as router,
    ):
        await wait_for_port(target)
        await wait_until_ready(ports['ready'])
        with trio.fail_after(WAIT_SECONDS):
            async with trio.open_nursery() as calling:
                for caller in callers:
                    calling.start_soon(caller.run, ports['front'])
                await trio.sleep(BEGIN_SECONDS)
                router.send_signal(signal.SIGTERM)
    assert not [caller for caller in callers if not caller.is_sound()]
    assert any(caller.body and caller.status == 200 for caller in callers)
