"""A replica of the service `svc`, which may be killed and started again."""

import json
import time
from contextlib import suppress
from dataclasses import dataclass

import trio
from tests.ports import find_free_port

from harness_2.store import Store

__all__ = ('Replica', 'Run')

HEARTBEAT_SECONDS = 1.2
READ_BYTES = 65536
HEAD_END = b'\r\n\r\n'
HEALTH = '/healthz'
MISDIRECTED = (
    b'HTTP/1.1 421 Misdirected Request\r\n'
    b'X-Replica-Id: %b\r\nContent-Length: 0\r\n\r\n'
)
REPORT = {
    'stage': 'both',
    'models': [{'name': 'm', 'version': 1, 'adapters': []}],
    'busy': False,
    'seq': 0,
    'queued': 0,
    'active': 0,
    'kv_used': 0,
    'kv_total': 900_000,
    'handles': 0,
    'epoch': 1,
    'next_token': 1,
    'held': [],
}


@dataclass
class Run:
    """A request that a replica runs."""

    at: float
    request_id: str
    method: str
    path: str
    after: int


@dataclass
class _Request:
    method: str
    path: str
    fields: dict[str, str]


class Replica:
    """A replica; `listed` is the address that its entry in the store tells.

    Its streams have `events` events, one each `gap_seconds`. With `framing`
    'channel', they have no length and end with their channel.
    """

    def __init__(self, name: str, store: Store, version: str = 'v1') -> None:
        """Create a replica that writes into a store."""
        self.name = name
        self.version = version
        self.runs: list[Run] = []
        self.events = 40
        self.gap_seconds = 0.1
        self.framing = 'chunks'
        self.address = f'127.0.0.1:{find_free_port()}'
        self.listed = self.address
        self.state = 'ready'
        self._store = store
        self._born = 0
        self._seq = 0
        self._process = trio.CancelScope()

    async def start(self, nursery: trio.Nursery, version: str = '') -> None:
        """Start a process of the replica, of another version if one is given.

        It writes into the store at once, and at each heartbeat.
        """
        self.version = version or self.version
        self._born = int(time.time() * 1000)
        self._seq = 0
        await nursery.start(self._run_process)

    def kill(self) -> None:
        """End the process; the system closes its channels and its port."""
        self._process.cancel()

    def write_entry(self) -> None:
        """Write into the store, unless that is down."""
        self._seq += 1
        entry = {
            'service': 'svc',
            'address': self.listed,
            'zone': 'north',
            'version': self.version,
            'slots': 64,
            'state': self.state,
            'cold_left_ms': 0,
            'born': self._born,
            'seq': self._seq,
        }
        if not self._store.is_down:
            key = f'servers/{self.name}'
            self._store.put(key, json.dumps(entry).encode())

    def event_id(self, number: int, request_id: str) -> int:
        """Return the id of an event of a stream, by its number from 1 on."""
        return number

    async def _run_process(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        host, _, port = self.address.rpartition(':')
        self._process = trio.CancelScope()
        with self._process:
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(int(port), host=host)
                task_status.started()
                nursery.start_soon(self._write_entries)
                await trio.serve_listeners(
                    self._serve, listeners, handler_nursery=nursery
                )

    async def _write_entries(self) -> None:
        while True:
            self.write_entry()
            await trio.sleep(HEARTBEAT_SECONDS)

    async def _serve(self, stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while await self._serve_request(stream):
                """Answer one request after the other."""

    async def _serve_request(self, stream: trio.SocketStream) -> bool:
        """Answer a request; return whether the channel stays open."""
        request = await _read_request(stream)
        if request is None:
            return False
        if request.path.startswith('/peridotwell/') or request.path == HEALTH:
            await self._send_report(stream)
            return True
        fields = request.fields
        if fields.get('x-expect-replica') != self.name:
            await stream.send_all(MISDIRECTED % self.name.encode())
            return True
        run = Run(
            time.time(),
            fields.get('x-request-id', ''),
            request.method,
            request.path,
            int(fields.get('last-event-id') or 0),
        )
        self.runs.append(run)
        if 'x-model' in fields:
            return await self._send_stream(stream, run)
        content = f'{self.name} {run.request_id}'.encode()
        length = f'Content-Length: {len(content)}'
        await stream.send_all(self._head(run, length) + content)
        return True

    async def _send_report(self, stream: trio.SocketStream) -> None:
        content = json.dumps(REPORT).encode()
        await stream.send_all(
            b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
            b'X-Replica-Id: %b\r\nContent-Length: %d\r\n\r\n%b'
            % (self.name.encode(), len(content), content)
        )

    def _head(self, run: Run, *lines: str) -> bytes:
        seal = f'{self.name}.{self.version}.{len(self.runs)}'
        return '\r\n'.join(
            (
                'HTTP/1.1 200 OK',
                f'X-Request-Id: {run.request_id}',
                f'X-Server-Seal: {seal}',
                'X-Replica-Load: 1,0,64',
                *lines,
                '',
                '',
            )
        ).encode()

    async def _send_stream(self, stream: trio.SocketStream, run: Run) -> bool:
        is_chunked = self.framing == 'chunks'
        mark = (
            'Transfer-Encoding: chunked' if is_chunked else 'Connection: close'
        )
        kind = 'Content-Type: text/event-stream'
        await stream.send_all(self._head(run, kind, mark))
        for number in range(1, self.events + 1):
            event_id = self.event_id(number, run.request_id)
            if event_id <= run.after:
                continue
            await trio.sleep(self.gap_seconds)
            event = f'id: {event_id}\ndata: {self.version}\n\n'.encode()
            if is_chunked:
                event = b'%x\r\n%b\r\n' % (len(event), event)
            await stream.send_all(event)
        if is_chunked:
            await stream.send_all(b'0\r\n\r\n')
            return True
        await stream.send_eof()
        return False


async def _read_request(stream: trio.SocketStream) -> _Request | None:
    """Read a request with its body; None if the channel ends."""
    content = b''
    while HEAD_END not in content:
        part = await stream.receive_some(READ_BYTES)
        if not part:
            return None
        content += part
    head, _, body = content.partition(HEAD_END)
    request = _parse_head(head.decode('latin-1'))
    missing = int(request.fields.get('content-length', '0')) - len(body)
    while missing > 0:
        missing -= len(await stream.receive_some(missing))
    return request


def _parse_head(head: str) -> _Request:
    first, *lines = head.split('\r\n')
    method, path, _ = first.split(' ')
    pairs = (line.partition(':') for line in lines)
    fields = {name.lower(): text.strip() for name, _, text in pairs}
    return _Request(method, path, fields)
