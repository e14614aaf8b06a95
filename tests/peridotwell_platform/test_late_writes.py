"""The store executes a lower version after a higher one."""

import httpcore
import msgspec
import pytest
import trio

from peridotwell.serving.asgi import serve_http
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

BEFORE = configuration(10, stand_in.route('read', 'idempotent'))
HIGHER = {
    **BEFORE,
    'version': 60,
    'routes': [*BEFORE['routes'], stand_in.route('new', 'idempotent')],
}
LOWER = {**BEFORE, 'version': 59}
SETTLED_SECONDS = 2.0


async def ask(pool, address):
    """Return the status of a request for the route of the higher version."""
    headers = caller_headers(1, x_deadline_ms='300')
    return (await call(pool, address, 'GET', '/new/x', headers, b'')).status


# Guards against 404 at all routers alike for a route of an acknowledged
# version, also at a router that starts after a late write.
@pytest.mark.parametrize('told_apart_seconds', [0, 0.3])
async def test_no_router_refuses_a_route_of_the_higher_version(
    nursery, told_apart_seconds
):
    store, store_address = await start_store(nursery, BEFORE)
    target = stand_in.TargetStandIn('i-1')
    target_address = await nursery.start(
        serve_http, target.handle, f'{LOCALHOST}:0'
    )
    store.put('servers/i-1', target_entry(target_address))
    peers = [f'{LOCALHOST}:{find_free_port()}' for _ in range(3)]
    started = [
        await start_router(nursery, f'r-{number}', store_address, peer)
        for number, peer in enumerate(peers[:2])
    ]
    store.put('op/config', msgspec.json.encode(HIGHER))
    await trio.sleep(told_apart_seconds)
    store.put('op/config', msgspec.json.encode(LOWER))
    await trio.sleep(SETTLED_SECONDS)
    started.append(await start_router(nursery, 'r-2', store_address, peers[2]))
    await trio.sleep(SETTLED_SECONDS)
    async with httpcore.AsyncConnectionPool() as pool:
        statuses = [await ask(pool, each.address) for each in started]
    assert statuses == [200] * 3
    for each in started:
        gauges = each.router.metrics.gauges
        assert gauges['table.behind'] == 0
