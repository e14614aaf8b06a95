"""Routers and targets in two data centres, one of which is evacuated."""

import itertools

import httpcore
import msgspec
import pytest
import trio

from peridotwell.policy.retries.gradual_return import RAMP_SECONDS
from peridotwell.serving.asgi import serve_http
from peridotwell.serving.socket_network import SocketNetwork
from tests.peridotwell_platform import stand_in
from tests.peridotwell_platform.router_setup import (
    LOCALHOST,
    call,
    caller_headers,
    configuration,
    start_router,
    start_store,
    target_entry,
)
from tests.ports import find_free_port

CONFIG = configuration(
    100,
    stand_in.route('read', 'idempotent'),
    stand_in.route('ask', 'streaming', resumable=True, timeout_ms=6000),
)
# The data centre of the routers, which they prefer.
EVACUATED = 'north'
KEY = f'op/evacuate/{EVACUATED}'
# Of the 5 s in which no request may arrive any more.
KNOWN_SECONDS = 1.0
INTERVAL_SECONDS = 0.01
STREAMS = 6


class Target(stand_in.TargetStandIn):
    """A target that records when requests arrive."""

    def __init__(self, name, data_centre):
        super().__init__(name)
        self.data_centre = data_centre
        self.arrivals = []

    async def handle(self, exchange):
        self.arrivals.append(trio.current_time())
        await super().handle(exchange)


class Fleet:
    """Two routers, two targets in each data centre, and their callers."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.targets = [
            Target(f'{name}-{number}', name)
            for name in ('north', 'south')
            for number in range(2)
        ]
        self.statuses = []
        self.routers = []
        self.store = None
        self._store_address = ''
        self._numbers = itertools.count()

    async def start(self, data_centres=('north', 'south')):
        self.store, self._store_address = await start_store(
            self.nursery, CONFIG
        )
        for target in self.targets:
            if target.data_centre not in data_centres:
                continue
            address = await self.nursery.start(
                serve_http, target.handle, f'{LOCALHOST}:0'
            )
            entry = msgspec.json.decode(target_entry(address))
            self.store.put(
                f'servers/{target.name}',
                msgspec.json.encode({**entry, 'zone': target.data_centre}),
            )

    async def start_router(self, store_address=''):
        started = await start_router(
            self.nursery,
            f'r-{len(self.routers)}',
            store_address or self._store_address,
            f'{LOCALHOST}:{find_free_port()}',
        )
        self.routers.append(started)

    async def send(self, path='/read/x', router=None):
        number = next(self._numbers)
        chosen = self.routers[number % len(self.routers)]
        if router is not None:
            chosen = self.routers[router]
        headers = caller_headers(number, x_deadline_ms='6000')
        async with httpcore.AsyncConnectionPool() as pool:
            resp = await call(pool, chosen.address, 'GET', path, headers, b'')
        self.statuses.append(resp.status)
        return resp

    async def send_for(self, seconds):
        """Send requests at a steady rate; wait until all are answered."""
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                nursery.start_soon(self.send)
                await trio.sleep(INTERVAL_SECONDS)

    def arrivals(self, data_centre, begin=0, end=float('inf')):
        """Return how many requests have arrived in a time."""
        return sum(
            begin <= at < end
            for target in self.targets
            if target.data_centre == data_centre
            for at in target.arrivals
        )


@pytest.fixture
async def fleet(nursery):
    fleet = Fleet(nursery)
    await fleet.start()
    for _ in range(2):
        await fleet.start_router()
    await trio.sleep(0.5)
    return fleet


# Guards against requests at a data centre that the operator evacuates.
async def test_no_request_arrives_until_the_key_is_removed(fleet):
    await fleet.send_for(1)
    assert fleet.arrivals(EVACUATED)
    evacuated_at = trio.current_time()
    fleet.store.put(KEY, b'{}')
    await fleet.send_for(3)
    assert not fleet.arrivals(EVACUATED, evacuated_at + KNOWN_SECONDS)
    removed_at = trio.current_time()
    fleet.store.delete(KEY)
    await fleet.send_for(RAMP_SECONDS + 2)
    assert set(fleet.statuses) == {200}
    early, late, after = (
        fleet.arrivals(EVACUATED, removed_at + begin, removed_at + begin + 2)
        for begin in (0, 3, RAMP_SECONDS)
    )
    assert 0 < early < late < after


# Guards against streams that are cut by an evacuation.
async def test_a_stream_of_an_evacuated_data_centre_goes_on(fleet):
    async def respond_slowly(target, exchange):
        fields = stand_in.receipt_headers(target, exchange)
        await exchange.start_response(200, fields)
        for number in range(20):
            await exchange.write(b'id: %d\ndata: x\n\n' % number)
            await trio.sleep(0.1)
        await exchange.finish()

    for target in fleet.targets:
        target.script.extend([respond_slowly] * STREAMS)
    bodies = []

    async def read():
        resp = await fleet.send('/ask/x')
        bodies.append(resp.content.count(b'data: x'))

    async with trio.open_nursery() as nursery:
        for _ in range(STREAMS):
            nursery.start_soon(read)
            await trio.sleep(0.05)
        begun = fleet.arrivals(EVACUATED)
        fleet.store.put(KEY, b'{}')
    assert begun
    assert bodies == [20] * STREAMS
    # None was begun again elsewhere.
    assert sum(len(target.requests) for target in fleet.targets) == STREAMS


# Guards against a router that knows only what the store has told it before.
async def test_a_router_without_the_store_learns_of_it_from_the_other(fleet):
    store_is_cut = False

    async def handle(exchange):
        if store_is_cut:
            await trio.sleep_forever()
        await fleet.store.handle(exchange)

    address = await fleet.nursery.start(serve_http, handle, f'{LOCALHOST}:0')
    await fleet.start_router(address)
    await trio.sleep(1)
    store_is_cut = True
    await trio.sleep(1)
    evacuated_at = trio.current_time()
    fleet.store.put(KEY, b'{}')
    await trio.sleep(2.5)
    for _ in range(20):
        await fleet.send(router=2)
    assert set(fleet.statuses) == {200}
    assert not fleet.arrivals(EVACUATED, evacuated_at)


# Guards against a router that starts during the evacuation.
async def test_a_router_that_has_just_started_sends_nothing_there(fleet):
    fleet.store.put(KEY, b'{}')
    await fleet.start_router()
    for _ in range(20):
        await fleet.send(router=2)
    assert not fleet.arrivals(EVACUATED)


# Guards against requests that wait for a data centre that is evacuated, and
# against callers that all return at once.
async def test_requests_are_refused_at_once_without_another_data_centre(
    nursery,
):
    fleet = Fleet(nursery)
    await fleet.start(data_centres=(EVACUATED,))
    await fleet.start_router()
    fleet.store.put(KEY, b'{}')
    await trio.sleep(KNOWN_SECONDS)
    waits = set()
    for _ in range(10):
        with trio.fail_after(0.5):
            resp = await fleet.send()
        fields = {name.lower(): text for name, text in resp.headers}
        assert resp.status == 503
        waits.add(fields[b'retry-after'])
    assert len(waits) > 1
    assert not fleet.arrivals(EVACUATED)


# Guards against requests that are sent to a target which was chosen before the
# evacuation was known.
async def test_a_request_that_is_not_sent_yet_goes_elsewhere(
    fleet, monkeypatch
):
    directories = [each.router._components.directory for each in fleet.routers]
    connect_tcp = SocketNetwork.connect_tcp

    async def connect_slowly(self, host, port, *arguments, **options):
        if KEY not in fleet.store.items:
            fleet.store.put(KEY, b'{}')
        while not all(each.evacuations.data_centres for each in directories):
            await trio.sleep(0.01)
        return await connect_tcp(self, host, port, *arguments, **options)

    monkeypatch.setattr(SocketNetwork, 'connect_tcp', connect_slowly)
    await fleet.send()
    assert fleet.statuses == [200]
    assert not fleet.arrivals(EVACUATED)
    assert sum(each.evacuations.diverted for each in directories) == 1
