"""What callers get while a version was told and is not in force."""

import httpcore
import msgspec
import pytest
import trio

from peridotwell.forwarding.handover.handover_protocol import (
    HandoverInfo,
    encode_info,
)
from tests.peridotwell_platform import stand_in
from tests.peridotwell_platform.router_setup import (
    LOCALHOST,
    call,
    caller_headers,
    configuration,
    start_router,
    start_store,
)
from tests.ports import find_free_port

KEY = 'op/config'
CONFIG = configuration(10, stand_in.route('read', 'idempotent'))
NEWER, NEXT = CONFIG['version'] + 1, CONFIG['version'] + 2
# Its number can be read, and nothing else.
UNREADABLE = {'version': NEWER, 'routes': 'none'}
# By path and by key.
UNKNOWN = (('/new/x', 'key-1', 404), ('/read/x', 'new-key', 401))


class Router:
    """A router with its store, and what it answers to unknown requests."""

    def __init__(self, store, address, handover_address):
        self.store = store
        self.address = address
        self.handover_address = handover_address
        self.pool = httpcore.AsyncConnectionPool()

    async def write(self, document):
        self.store.put(KEY, document)
        await trio.sleep(0.3)

    async def ask(self, path, api_key):
        headers = caller_headers(1, x_credential=api_key)
        return await call(self.pool, self.address, 'GET', path, headers, b'')

    async def hand_over(self, path):
        info = HandoverInfo('r-2', 'c', 0, 1, 1, CONFIG['version'])
        (name, text), *_ = encode_info(info)
        headers = {**caller_headers(1), name.decode(): text.decode()}
        return await call(
            self.pool, self.handover_address, 'GET', path, headers, b''
        )

    async def statuses(self):
        return [
            (await self.ask(path, api_key)).status
            for path, api_key, _ in UNKNOWN
        ]


@pytest.fixture
async def router(nursery):
    store, store_address = await start_store(nursery, CONFIG)
    handover = f'{LOCALHOST}:{find_free_port()}'
    started = await start_router(
        nursery, 'r-1', store_address, handover=handover
    )
    return Router(store, started.address, handover)


# Guards against callers that are told for good that a route or a key does not
# exist which a version has that could not be taken.
@pytest.mark.parametrize(
    'document', [msgspec.json.encode(UNREADABLE), b'{"version":', b'\xff']
)
async def test_nothing_is_refused_for_good_while_a_newer_version_was_seen(
    router, document
):
    assert await router.statuses() == [404, 401]
    await router.write(document)
    for path, api_key, _ in UNKNOWN:
        resp = await router.ask(path, api_key)
        assert resp.status == 503
        assert float(dict(resp.headers)[b'retry-after']) > 0
    resp = await router.hand_over('/new/x')
    assert resp.status == 503
    await router.write(msgspec.json.encode({**CONFIG, 'version': NEXT}))
    assert await router.statuses() == [404, 401]
    assert (await router.hand_over('/new/x')).status == 404


# Guards against 503 without end after a write that was executed late.
async def test_a_lower_version_that_was_executed_later_is_not_newer(router):
    await router.write(msgspec.json.encode({**CONFIG, 'version': NEXT}))
    await router.write(msgspec.json.encode(UNREADABLE))
    assert await router.statuses() == [404, 401]
