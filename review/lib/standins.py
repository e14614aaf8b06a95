# flake8: noqa
"""Small stand-ins for the cases: store, replicas, callers, router processes.

They use the standard library only. All addresses are loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
STORE_IP = '127.77.0.1'
REPLICA_IP = '127.77.1.1'
ROUTER_IP = '127.77.2.{}'
HEARTBEAT_SECONDS = 1.2
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """The file record.txt: one line for each thing that happened."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w')
        self._started = time.monotonic()

    def __call__(self, text):
        seconds = time.monotonic() - self._started
        self._file.write(f'{seconds:8.3f} {text}\n')
        self._file.flush()


def free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def free_ports(ip, count):
    socks = [socket.socket() for _ in range(count)]
    try:
        for sock in socks:
            sock.bind((ip, 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()


async def read_head(reader):
    """Return the start line and the fields of a message, None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    fields = {}
    for line in lines[1:]:
        name, colon, text = line.partition(':')
        if colon:
            fields[name.strip().lower()] = text.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if 'chunked' in fields.get('transfer-encoding', '').lower():
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0] or b'0', 16)
            chunk = await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body
            body += chunk
    return await reader.readexactly(int(fields.get('content-length', '0')))


class Store:
    """The platform's metadata store, in memory."""

    def __init__(self):
        self.rev = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self._next_lease = 1
        self._changed = asyncio.Event()
        self.address = ''
        self.watch_writers = set()

    async def start(self):
        server = await asyncio.start_server(self._serve, STORE_IP, 0)
        self.address = f'{STORE_IP}:{server.sockets[0].getsockname()[1]}'
        asyncio.get_running_loop().create_task(self._expire())

    def put(self, key, value, lease=0):
        self.rev += 1
        known = self.items.get(key)
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'rev': self.rev,
            'created': known['created'] if known else self.rev,
            'lease': lease,
        }
        self._record(self.items[key])

    def delete(self, key):
        if self.items.pop(key, None) is None:
            return
        self.rev += 1
        self._record({'key': key, 'rev': self.rev, 'deleted': True})

    def _record(self, event):
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease in [n for n, (_, t) in self.leases.items() if t < now]:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i['lease'] == lease]:
            self.delete(key)

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (head := await read_head(reader)) is not None:
                line, fields = head
                body = await read_body(reader, fields)
                await asyncio.sleep(0.004)
                status, document = await self._answer(line, body, writer)
                content = json.dumps(document).encode()
                writer.write(
                    b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                    b'Store-Era: 1\r\nContent-Length: %d\r\n\r\n%b'
                    % (status, len(content), content)
                )
                await writer.drain()
        writer.close()

    async def _answer(self, line, body, writer):
        method, target, _ = line.split(' ')
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        call = parts.path.removeprefix('/peridotwell/')
        if call == 'kv-key':
            item = self.items.get(query['key'])
            return (
                (200, item | {'current_rev': self.rev}) if item else (404, {})
            )
        if call == 'kv-range':
            return 200, self._range(query)
        if call == 'kv-watch':
            return 200, await self._watch(query, writer)
        document = json.loads(body) if body else {}
        if call == 'kv-txn':
            return self._txn(document)
        if call == 'kv-lease':
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            ttl = document['ttl_ms']
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {'lease': lease, 'ttl_ms': ttl}
        name, _, number = call.partition('/')
        if name == 'kv-keep' and int(number) in self.leases:
            ttl, _ = self.leases[int(number)]
            self.leases[int(number)] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {}
        if name == 'kv-lease-end' and int(number) in self.leases:
            self._end_lease(int(number))
            return 200, {}
        return 404, {}

    def _range(self, query):
        items = [
            self.items[key]
            for key in sorted(self.items)
            if key.startswith(query.get('path_prefix', ''))
            and key > query.get('after', '')
        ]
        return {
            'items': items[:500],
            'has_more': len(items) > 500,
            'current_rev': self.rev,
        }

    async def _watch(self, query, writer):
        prefix, after = query.get('path_prefix', ''), int(query['after'])
        until = time.monotonic() + int(query.get('wait_ms', '0')) / 1000
        self.watch_writers.add(writer)
        try:
            while True:
                changed = self._changed
                events = [
                    each
                    for each in self.history
                    if each['rev'] > after and each['key'].startswith(prefix)
                ]
                left = until - time.monotonic()
                if events or left <= 0:
                    return {'events': events, 'current_rev': self.rev}
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(changed.wait(), left)
        finally:
            self.watch_writers.discard(writer)

    def _txn(self, document):
        for row in document.get('expect', ()):
            item = self.items.get(row['key'])
            if (item['rev'] if item else 0) != row['rev']:
                found = [
                    self.items[r['key']]
                    for r in document['expect']
                    if r['key'] in self.items
                ]
                return 412, {'items': found}
        for row in document.get('writes', ()):
            if row.get('lease') and row['lease'] not in self.leases:
                return 404, {}
        for row in document.get('writes', ()):
            value = base64.b64decode(row['value'])
            self.put(row['key'], value, row.get('lease', 0))
        for key in document.get('remove', ()):
            self.delete(key)
        return 200, {'rev': self.rev}


class Replica:
    """A replica: registers in the store and serves with `handle`.

    `handle(replica, line, fields, body, writer)` writes the answer.
    """

    def __init__(self, name, service, store, handle, version='1', slots=6):
        self.name = name
        self.service = service
        self.version = version
        self.slots = slots
        self.state = 'ready'
        self.running = 0
        self.waiting = 0
        self.born = int(time.time() * 1000)
        self._seq = 0
        self._store = store
        self._handle = handle
        self._beats = None
        self._server = None
        self.writers = set()
        self.address = ''

    async def start(self):
        self._server = await asyncio.start_server(self._serve, REPLICA_IP, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{REPLICA_IP}:{port}'
        self.write_entry(self.next_entry())
        self._beats = asyncio.get_running_loop().create_task(self._beat())

    def next_entry(self, state=None):
        """Return the next report of this replica."""
        self.state = state or self.state
        self._seq += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'z1',
            'version': self.version,
            'slots': self.slots,
            'state': self.state,
            'cold_left_ms': 0,
            'seq': self._seq,
            'born': self.born,
        }

    def write_entry(self, entry):
        """Have the store execute a report."""
        self._store.put(f'servers/{self.name}', json.dumps(entry).encode())

    def drain(self):
        """Report `draining`, now and from now on; go on serving."""
        self.write_entry(self.next_entry('draining'))

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self.write_entry(self.next_entry())

    def leave_list(self):
        """Remove the entry; go on serving."""
        self._beats.cancel()
        self._store.delete(f'servers/{self.name}')

    def exit(self):
        """End as a process does: close the port and reset all channels."""
        self._beats.cancel()
        self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (head := await read_head(reader)) is not None:
                line, fields = head
                body = await read_body(reader, fields)
                expected = fields.get('x-expect-replica', self.name)
                if expected != self.name:
                    writer.write(
                        b'HTTP/1.1 421 Misdirected Request\r\n'
                        b'X-Replica-Id: %b\r\nContent-Length: 0\r\n\r\n'
                        % self.name.encode()
                    )
                else:
                    await self._handle(self, line, fields, body, writer)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    def load_field(self):
        return f'{self.running},{self.waiting},{self.slots}'

    def answer(self, status, request_id, body=b'', **fields):
        """Return the bytes of a whole answer."""
        lines = [
            f'HTTP/1.1 {status} X',
            f'X-Request-Id: {request_id}',
            f'X-Replica-Load: {self.load_field()}',
            f'Content-Length: {len(body)}',
            *(f'{name.replace("_", "-")}: {v}' for name, v in fields.items()),
        ]
        return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Router:
    """One router process, started as the deploy file says."""

    def __init__(self, number, store_address, folder, seeds=()):
        self.name = f'edge-{number}'
        self.ip = ROUTER_IP.format(number)
        front, ready = free_ports(self.ip, 2)
        while True:
            first = free_port(self.ip)
            if first < 65500 and not {first, first + 1} & {front, ready}:
                break
        self.front, self.ready_port = front, ready
        self.process = None
        self._folder = Path(folder)
        self._path = self._folder / f'{self.name}.toml'
        self._path.write_text(
            f'''node = "{self.name}"
role = "router"
machine_class = "edge"
serves = ["edge"]
ip = "{self.ip}"
zone = "z1"
region = "r1"
port_range = [{first},{first + 1}]
seeds = []
bootstrap = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
z1 = "r1"
[listen]
front = "{self.ip}:{front}"
ready_addr = "{self.ip}:{ready}"
[limits]
cores = 1
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
config_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 54
cap_factor = 2
[provider]
address = "{store_address}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
'''
        )

    async def start(self):
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PERIDOTWELL_SETTINGS'] = str(self._path)
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3',
                'platform/start.py',
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.ready_port
            )
        except OSError:
            return False
        writer.write(
            b'GET /peridotwell/readyz HTTP/1.1\r\nHost: x\r\n'
            b'Connection: close\r\n\r\n'
        )
        head = await read_head(reader)
        writer.close()
        return head is not None and ' 200' in head[0]

    async def wait_ready(self, seconds=20):
        until = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() > until:
                raise CannotRun(f'{self.name} is not ready')
            await asyncio.sleep(0.05)

    async def kill(self, number=signal.SIGKILL):
        if self.process.returncode is None:
            self.process.send_signal(number)
        return await self.process.wait()

    def log_text(self):
        return (self._folder / f'{self.name}.log').read_text(errors='replace')


def config(version, routes, **more):
    return json.dumps(
        {
            'version': version,
            'routes': routes,
            'services': [
                {'name': name}
                for name in sorted({route['service'] for route in routes})
            ],
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 4194304,
                'header_timeout_ms': 10000,
                'idle_timeout_ms': 15000,
            },
            **more,
        }
    ).encode()


def run_case(folder, play):
    """Play a case and exit: 0 if the rule held, 1 if broken, 2 if not run.

    `play(folder, record)` returns whether the rule held.
    """
    record = Record(folder)
    routers = []

    async def limited():
        with tempfile.TemporaryDirectory() as temporary:
            try:
                return await asyncio.wait_for(
                    play(temporary, record, routers), 112
                )
            finally:
                for router in routers:
                    if router.process is not None:
                        with contextlib.suppress(ProcessLookupError):
                            await router.kill()
                if os.environ.get('KEEP_LOGS'):
                    for router in routers:
                        Path(os.environ['KEEP_LOGS'], router.name).write_text(
                            router.log_text()
                        )

    try:
        held = asyncio.run(limited())
    except Exception as exc:
        record(f'could not run: {exc!r}')
        print(f'could not run: {exc!r}', file=sys.stderr)
        os._exit(2)
    record('the rule held' if held else 'the rule was broken')
    print('held' if held else 'broken', flush=True)
    # Without the destructors of streams whose loop is closed.
    os._exit(0 if held else 1)
