"""In-process stand-ins for the platform's store and for a target."""

import base64
from collections import deque
from dataclasses import dataclass
from urllib.parse import parse_qsl

import msgspec
import trio

from peridotwell.serving.http_exchange import HttpExchange

SETTLE_SECONDS = 0.01

TIMEOUT_MS = 1500
# Longer than `slo_ms` of the routes, and well below their deadlines.
QUEUE_SECONDS = 0.5


def route(name, kind, **changes):
    """Return a route as the configuration document in the store has it."""
    return {
        'name': name,
        'host': 'a.example',
        'path_prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': TIMEOUT_MS,
        'slo_ms': 100,
        'service': 'svc',
        'max_attempts': 2,
        **changes,
    }


@dataclass(frozen=True)
class StoreCopy:
    """What a store held at a moment, its leases included."""

    items: dict
    revision: int
    leases: frozenset[int]
    last_lease: int
    events: tuple


class StoreStandIn:
    """A store in memory; each call takes the next one of `faults`.

    An int is returned as the status; 'silent' never responds; 'lost' executes
    the call and never responds; 'garbage' returns invalid JSON.
    """

    def __init__(self) -> None:
        self.items = {}
        self.events = []
        self.revision = 10
        self.oldest_revision = 0
        self.leases = set()
        self.faults = deque()
        self.calls = []
        self.page_size = 3
        # The keys of calls that read one entry, and a fault that each meets.
        self.keys_read = []
        # The keys of calls of one entry that were answered with its value.
        self.keys_transferred = []
        self.read_fault = None
        # The status of transactions that write nothing, None to execute them.
        self.empty_status = None
        # None if the answers tell none.
        self.era = 1
        # Whether a restore is told by the next era.
        self.is_era_rising = True
        # After a number of further calls, the copy to go back to.
        self.restore_after_calls = None
        # Watches hear nothing, and wait on, until the next loss of history.
        self.is_mute = False
        self._last_lease = 0
        self._changed = trio.Event()
        self._cut = trio.Event()

    def copy(self) -> StoreCopy:
        """Return a copy, from which the store may be restored later."""
        return StoreCopy(
            dict(self.items),
            self.revision,
            frozenset(self.leases),
            self._last_lease,
            tuple(self.events),
        )

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy; revisions and leases are given out again."""
        self.show(copy)
        self.leases = set(copy.leases)
        self._last_lease = copy.last_lease
        if self.is_era_rising and self.era is not None:
            self.era += 1

    def show(self, copy: StoreCopy) -> None:
        """Answer reads as of a copy, as a store does that lags behind."""
        self.items = dict(copy.items)
        self.revision = copy.revision
        self.events = list(copy.events)
        self._changed.set()
        self._changed = trio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        self._notify_watches(self._write(key, value, lease))
        return self.revision

    def put_untold(self, key: str, value: bytes) -> int:
        """Write an entry that no watch tells."""
        self._write(key, value, 0)
        return self.revision

    def _write(self, key: str, value: bytes, lease: int):
        self.revision += 1
        old = self.items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'rev': self.revision,
            'created': old['created'] if old else self.revision,
            'lease': lease,
        }
        self.items[key] = item
        return item

    def delete(self, key: str) -> None:
        self.revision += 1
        self.items.pop(key)
        self._notify_watches(
            {'key': key, 'rev': self.revision, 'deleted': True}
        )

    def drop_history(self) -> None:
        self.events.clear()
        self.oldest_revision = self.revision
        if self.is_mute:
            self.is_mute = False
            self._cut.set()
            self._cut = trio.Event()

    def cut_watches(self) -> None:
        """End the connections of the watches that wait."""
        self._cut.set()
        self._changed.set()
        self._cut = trio.Event()
        self._changed = trio.Event()

    def expire_lease(self, lease: int) -> None:
        self.leases.discard(lease)
        for key in [k for k, i in self.items.items() if i['lease'] == lease]:
            self.delete(key)

    def _notify_watches(self, event) -> None:
        self.events.append(event)
        self._changed.set()
        self._changed = trio.Event()

    async def handle(self, exchange: HttpExchange) -> None:
        body = await exchange.body()
        name = exchange.path.removeprefix('/peridotwell/')
        self.calls.append(name)
        self._restore_if_due()
        fault = self.faults.popleft() if self.faults else None
        key_read = _key_read(name, exchange.query_string, body)
        if key_read:
            self.keys_read.append(key_read)
            fault = fault or self.read_fault
        if fault == 'silent':
            await trio.sleep_forever()
        if isinstance(fault, int):
            await exchange.respond_json({}, fault)
            return
        outcome = await self._run(exchange, name, body)
        if outcome is None:
            raise ConnectionResetError('the watch is cut')
        status, document = outcome
        if fault == 'lost':
            await trio.sleep_forever()
        if fault == 'garbage':
            await exchange.respond(200, b'{"items":')
            return
        fields = () if self.era is None else (('store-era', str(self.era)),)
        await exchange.respond_json(document, status, fields)

    def _restore_if_due(self) -> None:
        if self.restore_after_calls is None:
            return
        calls, copy = self.restore_after_calls
        if calls:
            self.restore_after_calls = (calls - 1, copy)
            return
        self.restore_after_calls = None
        self.restore(copy)

    async def _run(self, exchange, name, body):
        query = dict(parse_qsl(exchange.query_string, keep_blank_values=True))
        match name.split('/'):
            case ['kv-key']:
                item = self.items.get(query['key'])
                self.keys_transferred.append(query['key'])
                return (200, item) if item else (404, {})
            case ['kv-range']:
                return 200, self._range(query)
            case ['kv-watch']:
                return await self._watch(query)
            case ['kv-txn']:
                return self._txn(msgspec.json.decode(body))
            case ['kv-lease']:
                self._last_lease += 1
                self.leases.add(self._last_lease)
                return 200, {'lease': self._last_lease, 'ttl_ms': 1000}
            case ['kv-keep', lease]:
                known = int(lease) in self.leases
                return (200 if known else 404), {'ttl_ms': 1000}
        return 404, {}

    def _range(self, query):
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query['path_prefix'])
            and key > query.get('after', '')
        )
        return {
            'items': [self.items[key] for key in keys[: self.page_size]],
            'has_more': len(keys) > self.page_size,
            'current_rev': self.revision,
        }

    async def _watch(self, query):
        after = int(query['after'])
        if not self.oldest_revision <= after <= self.revision:
            return 410, {}
        cut = self._cut
        with trio.move_on_after(int(query['wait_ms']) / 1000):
            while self.revision <= after and not cut.is_set():
                await self._changed.wait()
        if self.is_mute:
            await cut.wait()
        if cut.is_set():
            return None
        events = [event for event in self.events if event['rev'] > after]
        return 200, {'events': events, 'current_rev': self.revision}

    def _txn(self, document):
        is_empty = not document['writes'] and not document['remove']
        if is_empty and self.empty_status:
            return self.empty_status, {}
        for row in document['expect']:
            item = self.items.get(row['key'])
            if (item['rev'] if item else 0) != row['rev']:
                keys = [each['key'] for each in document['expect']]
                found = [self.items[key] for key in keys if key in self.items]
                self.keys_transferred += [each['key'] for each in found]
                return 412, {'items': found}
        for row in document['writes']:
            if row['lease'] and row['lease'] not in self.leases:
                return 404, {}
            value = base64.b64decode(row['value'])
            self.put(row['key'], value, row['lease'])
        return 200, {'rev': self.revision}


def _key_read(name, query_string, body):
    """Return the key of a call that reads or compares one entry, or ''."""
    if name == 'kv-key':
        return dict(parse_qsl(query_string))['key']
    if name == 'kv-txn':
        document = msgspec.json.decode(body)
        if not document['writes'] and not document['remove']:
            return document['expect'][0]['key']
    return ''


class TargetStandIn:
    """A target that responds as scripted and records its requests.

    `script` holds coroutine functions, one for each request. Without one, the
    target returns 200 with its receipt. Status checks are answered apart.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.script = deque()
        self.requests = []

    async def handle(self, exchange: HttpExchange) -> None:
        body = await exchange.body()
        if exchange.path == STATUS_PATH:
            await exchange.respond_json({})
            return
        headers = dict(exchange.headers)
        self.requests.append(
            (exchange.method, exchange.raw_path, headers, body)
        )
        respond = self.script.popleft() if self.script else respond_ok
        await respond(self, exchange)


def receipt_headers(target: TargetStandIn, exchange: HttpExchange):
    return (
        ('x-request-id', exchange.headers['x-request-id']),
        ('x-server-seal', f'seal.{target.name}'),
        ('x-replica-load', '1,0,6'),
    )


STREAM_PATHS = ('/draft/', '/ask/')
STATUS_PATH = '/peridotwell/report'


async def respond_ok(target, exchange) -> None:
    is_stream = exchange.path.startswith(STREAM_PATHS)
    body = b'data: done\n\n' if is_stream else b'done'
    await exchange.respond(200, body, receipt_headers(target, exchange))


def respond_with_status(code: int, *, with_receipt: bool = True):
    async def respond(target, exchange) -> None:
        fields = receipt_headers(target, exchange) if with_receipt else ()
        await exchange.respond(code, b'failed', fields)

    return respond


async def refuse_as_not_executed(target, exchange) -> None:
    fields = (
        ('x-request-id', exchange.headers['x-request-id']),
        ('x-not-executed', '1'),
    )
    await exchange.respond(503, b'', fields)


async def refuse_as_misdirected(target, exchange) -> None:
    fields = (
        ('x-request-id', exchange.headers['x-request-id']),
        ('x-replica-id', 'other'),
    )
    await exchange.respond(421, b'', fields)


async def respond_for_another_request(target, exchange) -> None:
    fields = (('x-request-id', 'other'), ('x-server-seal', 'x'))
    await exchange.respond(200, b'not yours', fields)


async def respond_without_receipt(target, exchange) -> None:
    fields = (('x-request-id', exchange.headers['x-request-id']),)
    await exchange.respond(200, b'whose?', fields)


async def truncate_response(target, exchange) -> None:
    fields = (*receipt_headers(target, exchange), ('content-length', '100'))
    await exchange.start_response(200, fields)
    await exchange.write(b'half')


async def never_respond(target, exchange) -> None:
    await trio.sleep_forever()


async def respond_after_queue_delay(target, exchange) -> None:
    await trio.sleep(QUEUE_SECONDS)
    await stream_events(1, 2)(target, exchange)


def stream_events(first: int, last: int, *, ends: bool = True):
    async def respond(target, exchange) -> None:
        await exchange.start_response(200, receipt_headers(target, exchange))
        for number in range(first, last + 1):
            await exchange.write(b'id: %d\ndata: x\n\n' % number)
            await trio.sleep(SETTLE_SECONDS)
        if ends:
            await exchange.finish()

    return respond
