"""What callers get while calls to the store are left without an answer.

One router with its background tasks and its request handler, in virtual time.
Callers ask for a route that a configuration adds and for one that it drops.
"""

from collections import Counter
from dataclasses import dataclass, field, replace

import msgspec
import pytest
import trio

from peridotwell.domain.routing_table import RequestKind, Route, WeightedService
from peridotwell.errors import StoreResponseLost
from peridotwell.serving.caller_connection import ServerStop
from peridotwell.serving.http_exchange import HttpExchange
from tests.fleet.replica.test_service_directory import Decoder
from tests.forwarding.test_returned_store import (
    IN_FORCE_SECONDS,
    WATCH_MARGIN_SECONDS,
    OutageStore,
    start_router,
)

CHANGED_AT = 10.0
ASK_SECONDS = 0.05
OBSERVED_SECONDS = 3.5
SLOW_RESPONSE_SECONDS = 2.6
SLOW_ANSWERS_SECONDS = (0.7, 1.3)
# Time in which a store is known to be slow.
KNOWN_SLOW_SECONDS = 3.0
# From the change to the time when calls fall silent, in both directions.
PHASES = tuple(step / 20 for step in range(-44, 1))
SNAPSHOTS_SECONDS = (0.002, 0.2, 0.3)
LARGE_SNAPSHOTS_SECONDS = (0.4, 1.0)
ADDED, DROPPED = '/added/', '/dropped/'
ROUTES = {1: DROPPED, 2: ADDED}


class RouteDecoder(Decoder):
    """Decodes a version into a table with the route of that version.

    No target serves it, so a request that the table allows is not served
    either, but for another reason.
    """

    def decode_table(self, content, revision):
        table = super().decode_table(content, revision)
        route = Route(
            'r',
            'h',
            ROUTES[table.version],
            RequestKind.idempotent,
            (WeightedService('no-targets'),),
            5,
            0.5,
        )
        return replace(table, routes=(route,))


@dataclass
class SilentChangesStore(OutageStore):
    """From `silent_at` on, calls that ask for changes hear nothing.

    With `only_watches`, those are answered that do not wait. A snapshot takes
    `snapshot_seconds`.
    """

    silent_at: float = 0
    snapshot_seconds: float = 0
    only_watches: bool = False
    calls: Counter = field(default_factory=Counter)

    async def read_snapshot(self):
        if trio.current_time() < self.silent_at:
            return await super().read_snapshot()
        self.calls['snapshot'] += 1
        snapshot = await super().read_snapshot()
        await trio.sleep(self.snapshot_seconds)
        return snapshot

    async def wait_for_changes(self, after, wait_seconds):
        started_at = trio.current_time()
        self.calls['changes'] += started_at >= self.silent_at
        if self.only_watches and not wait_seconds:
            return await super().wait_for_changes(after, wait_seconds)
        with trio.move_on_at(max(self.silent_at, started_at)):
            return await super().wait_for_changes(after, wait_seconds)
        limit = max(wait_seconds + WATCH_MARGIN_SECONDS, SLOW_RESPONSE_SECONDS)
        await trio.sleep_until(started_at + limit)
        raise StoreResponseLost('no response')


class Caller:
    """Sends requests and keeps the code of each one's error by its time."""

    def __init__(self, handler):
        self.codes = {ADDED: {}, DROPPED: {}}
        self._handler = handler

    async def ask(self, path):
        sent_at = trio.current_time()
        body = bytearray()
        messages = iter(({'type': 'http.request', 'body': b''},))

        async def receive():
            return next(messages, None) or await trio.sleep_forever()

        async def send(message):
            body.extend(message.get('body', b''))

        scope = {
            'method': 'GET',
            'path': path,
            'raw_path': path.encode(),
            'query_string': b'',
            'headers': ((b'host', b'h'), (b'x-request-id', b'1')),
        }
        await self._handler.handle(
            HttpExchange(scope, receive, send, ServerStop())
        )
        error = msgspec.json.decode(bytes(body))['error']
        self.codes[path][sent_at] = error['code']

    def codes_from(self, path, since):
        """Return the codes of requests that were sent from a time on."""
        return Counter(
            code for at, code in self.codes[path].items() if at >= since
        )


async def ask_around_a_change(nursery, store):
    """Change the configuration; return the caller and when it was changed."""
    store.items = {'table': (b'1', 1)}
    caller = Caller(start_router(nursery, store, RouteDecoder()).handler)
    await trio.sleep_until(CHANGED_AT)
    store.put('table', b'2')
    async with trio.open_nursery() as asking:
        while trio.current_time() < CHANGED_AT + OBSERVED_SECONDS:
            asking.start_soon(caller.ask, ADDED)
            asking.start_soon(caller.ask, DROPPED)
            await trio.sleep(ASK_SECONDS)
    return caller


# Guards against requests that are refused, or served on a dropped route, by an
# older configuration: each call that tells of the newer one is answered as late
# as it may be.
@pytest.mark.parametrize('only_watches', [False, True])
@pytest.mark.parametrize('snapshot_seconds', SNAPSHOTS_SECONDS)
@pytest.mark.parametrize('phase', PHASES)
async def test_no_request_is_decided_by_an_old_configuration(
    autojump_clock, nursery, phase, snapshot_seconds, only_watches
):
    never = CHANGED_AT * 10
    store = SilentChangesStore(never, never, hangs=True)
    store.silent_at = CHANGED_AT + phase
    store.snapshot_seconds = snapshot_seconds
    store.only_watches = only_watches
    caller = await ask_around_a_change(nursery, store)
    late_at = CHANGED_AT + IN_FORCE_SECONDS
    assert 'unknown_path' not in caller.codes_from(ADDED, late_at)
    assert 'no_target' not in caller.codes_from(DROPPED, late_at)
    assert caller.codes_from(DROPPED, 0)['no_target']
    assert caller.codes_from(ADDED, late_at)['no_target']


# Guards against an older configuration that stays in force for as long as a
# store tells no changes, because each check gives up all entries, which take
# longer to arrive than a check may last.
@pytest.mark.parametrize('snapshot_seconds', LARGE_SNAPSHOTS_SECONDS)
async def test_all_entries_are_taken_that_arrive_after_a_check_has_failed(
    autojump_clock, nursery, snapshot_seconds
):
    never = CHANGED_AT * 10
    store = SilentChangesStore(never, never, hangs=True)
    store.silent_at = CHANGED_AT - 1
    store.snapshot_seconds = snapshot_seconds
    caller = await ask_around_a_change(nursery, store)
    taken_by = CHANGED_AT + IN_FORCE_SECONDS + snapshot_seconds
    assert 'no_target' not in caller.codes_from(DROPPED, taken_by)
    assert caller.codes_from(ADDED, taken_by)['no_target']


@dataclass
class SlowStore(OutageStore):
    """From CHANGED_AT on, answers take `answer_seconds`."""

    answer_seconds: float = 0

    async def call(self, seconds):
        if trio.current_time() >= CHANGED_AT:
            await trio.sleep(self.answer_seconds)


# Guards against requests on known routes that are refused again and again,
# because a store that is slow to tell all entries is away only by turns.
@pytest.mark.parametrize('answer_seconds', SLOW_ANSWERS_SECONDS)
async def test_known_routes_are_served_while_the_store_is_slow(
    autojump_clock, nursery, answer_seconds
):
    never = CHANGED_AT * 10
    store = SlowStore(never, never, hangs=True)
    store.answer_seconds = answer_seconds
    store.items = {'table': (b'1', 1)}
    caller = Caller(start_router(nursery, store, RouteDecoder()).handler)
    known_slow_at = CHANGED_AT + KNOWN_SLOW_SECONDS
    await trio.sleep_until(known_slow_at)
    async with trio.open_nursery() as asking:
        while trio.current_time() < known_slow_at + 2 * OBSERVED_SECONDS:
            asking.start_soon(caller.ask, DROPPED)
            await trio.sleep(ASK_SECONDS)
    assert set(caller.codes_from(DROPPED, 0)) == {'no_target'}
