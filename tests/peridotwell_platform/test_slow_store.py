"""A store that takes long to answer, for routers that start or had lost it."""

from contextlib import suppress

import msgspec
import trio
from peridotwell_platform.entries import PlatformEntryDecoder
from peridotwell_platform.store import PlatformStore

from peridotwell.errors import StoreError
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.fleet.replica.store_follower import StoreFollower
from peridotwell.fleet.replica.store_reader import StoreReader
from peridotwell.fleet.transport.frames import Hello
from peridotwell.fleet.transport.router_registry import (
    ROUTERS_PREFIX,
    RouterRegistration,
)
from peridotwell.metrics import Metrics
from peridotwell.serving.asgi import serve_http
from tests.peridotwell_platform import stand_in

ANSWER_SECONDS = 1.3
LATE_SECONDS = 4


class SlowStore:
    """A store whose answers take a time."""

    def __init__(self) -> None:
        self.store = stand_in.StoreStandIn()
        self.seconds = 0

    async def handle(self, exchange):
        await trio.sleep(self.seconds)
        await self.store.handle(exchange)

    def configure(self, version):
        route = stand_in.route(f'read{version}', 'idempotent')
        document = {'version': version, 'routes': [route]}
        self.store.put('op/config', msgspec.json.encode(document))


async def follow(nursery, slow):
    """Follow a slow store; return the directory and its follower."""
    address = await nursery.start(serve_http, slow.handle, '127.0.0.1:0')
    directory = ServiceDirectory(PlatformEntryDecoder())
    reader = StoreReader(PlatformStore(address), directory, Metrics('', ''))
    follower = StoreFollower(
        reader,
        directory,
        Metrics('', ''),
        lambda now: True,
        trio.sleep_forever,
    )
    nursery.start_soon(follower.run)
    return directory, follower


# Guards against a router that never hears the store again, and serves by an old
# configuration, because it gives up each call before a slow store answers.
async def test_a_slow_store_is_heard_again_after_it_was_lost(nursery):
    slow = SlowStore()
    slow.configure(1)
    directory, follower = await follow(nursery, slow)
    with trio.fail_after(LATE_SECONDS):
        await directory.ready.wait()
        slow.seconds = ANSWER_SECONDS
        slow.store.faults.extend([503])
        # Ends the watch that waits: the next call gets the fault.
        slow.configure(2)
        while follower.is_connected:
            await trio.sleep(0.02)
    slow.configure(3)
    with trio.fail_after(LATE_SECONDS):
        while directory.table.version < 3:
            await trio.sleep(0.02)


# Guards against a router that has no configuration, and refuses all requests,
# because it started beside a slow store and gave up each page too soon.
async def test_a_router_that_starts_beside_a_slow_store_is_ready(nursery):
    slow = SlowStore()
    slow.seconds = ANSWER_SECONDS
    slow.configure(1)
    directory, _follower = await follow(nursery, slow)
    with trio.fail_after(LATE_SECONDS):
        await directory.ready.wait()
    assert directory.table.version == 1


async def test_an_entry_of_a_slow_store_is_read(nursery):
    slow = SlowStore()
    slow.seconds = ANSWER_SECONDS
    slow.store.put('key', b'value')
    address = await nursery.start(serve_http, slow.handle, '127.0.0.1:0')
    entry = await PlatformStore(address).read('key')
    assert entry is not None
    assert entry.value == b'value'


# Guards against a router that the others never learn of, because it started
# beside a slow store.
async def test_a_router_registers_beside_a_slow_store(nursery):
    slow = SlowStore()
    slow.seconds = ANSWER_SECONDS
    address = await nursery.start(serve_http, slow.handle, '127.0.0.1:0')
    own = Hello(1, 'r1', 'z1', '127.0.0.1:1', '127.0.0.1:2', 1, 1)
    registration = RouterRegistration(PlatformStore(address), own, 10)
    with suppress(StoreError):
        await registration.renew()
    assert list(slow.store.items) == [f'{ROUTERS_PREFIX}z1/r1']
