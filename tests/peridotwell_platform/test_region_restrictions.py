"""Restrictions of routes and customers to regions, from entry to target."""

import httpcore
import msgspec
import pytest
import trio
from peridotwell_platform.entries import PlatformEntryDecoder

from peridotwell.forwarding.handover.handover_protocol import (
    HandoverInfo,
    decode_info,
    encode_info,
)
from peridotwell.policy.placement.region_restriction import RegionTable
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

REGIONS = RegionTable({'north': 'eu', 'south': 'us'})
SOUTH = ['us']
CONFIG = configuration(
    100,
    stand_in.route('read', 'idempotent'),
    stand_in.route('book', 'idempotent', allowed_regions=SOUTH),
    stand_in.route('ask', 'streaming', allowed_regions=['mars']),
)
CONFIG['tenants'].append(
    {'name': 'tenant-2', 'api_keys': ['key-2'], 'allowed_regions': ['eu']}
)
# What must not open a route or a customer to all regions.
UNREADABLE = ([], 'us', 7, {}, [7], [''], [None])


def decode(route, tenant):
    """Return the table of a configuration with these fields."""
    document = configuration(
        1,
        stand_in.route('read', 'idempotent', **route),
        stand_in.route('book', 'non_idempotent'),
    )
    document['tenants'][0].update(tenant)
    content = msgspec.json.encode(document)
    return PlatformEntryDecoder().decode_table(content, 5)


def find_regions(table):
    route = table.find_route('a.example', '/read/x')
    customer = table.find_customer('key-1')
    return route and route.allowed_regions, customer.allowed_regions


def test_lists_of_regions_are_read():
    restricted = {'allowed_regions': ['eu', 'us']}
    expected = frozenset(('eu', 'us'))
    assert find_regions(decode(restricted, restricted)) == (expected, expected)
    assert find_regions(decode({'allowed_regions': None}, {})) == (None, None)


@pytest.mark.parametrize('regions', UNREADABLE)
def test_a_route_with_an_unreadable_list_is_in_doubt(regions):
    table = decode({'allowed_regions': regions}, {})
    assert table.find_route('a.example', '/read/x') is None
    assert table.is_in_doubt('a.example', '/read/x')
    assert any('allowed_regions' in fault for fault in table.faults)


@pytest.mark.parametrize('regions', UNREADABLE)
def test_a_customer_with_an_unreadable_list_reaches_no_region(regions):
    table = decode({}, {'allowed_regions': regions})
    assert find_regions(table) == (None, frozenset())
    assert any('allowed_regions' in fault for fault in table.faults)


# Guards against a list that allows more since one of its entries is odd.
def test_the_readable_part_of_a_list_is_in_force():
    odd = {'allowed_regions': [5, 'eu']}
    assert find_regions(decode(odd, odd)) == (frozenset(('eu',)),) * 2


def test_a_handover_carries_the_regions():
    info = HandoverInfo('r', 'c', 0, 1, 1, 1, frozenset(SOUTH))
    (_, text), *_ = encode_info(info)
    assert decode_info(text.decode()) == info


# Guards against routers that cannot read the handovers of an earlier build.
def test_a_handover_without_regions_can_be_read():
    info = HandoverInfo('r', 'c', 0, 1, 1, 1)
    (_, text), *_ = encode_info(info)
    assert decode_info(text.decode()).allowed_regions is None


@pytest.fixture
async def targets():
    return {
        data_centre: stand_in.TargetStandIn(data_centre)
        for data_centre in ('north', 'south', 'elsewhere')
    }


@pytest.fixture
async def send(nursery, targets):
    """Return a function that sends a request; it has the store."""
    store, store_address = await start_store(nursery, CONFIG)
    for target in targets.values():
        address = await nursery.start(
            serve_http, target.handle, f'{LOCALHOST}:0'
        )
        entry = msgspec.json.decode(target_entry(address))
        store.put(
            f'servers/{target.name}',
            msgspec.json.encode({**entry, 'zone': target.name}),
        )
    started = await start_router(nursery, 'r-1', store_address, regions=REGIONS)

    async def run(path, key='key-1'):
        headers = caller_headers(1, x_credential=key)
        async with httpcore.AsyncConnectionPool() as pool:
            return await call(pool, started.address, 'GET', path, headers, b'')

    run.store = store
    return run


def reached(targets):
    return {name for name, target in targets.items() if target.requests}


@pytest.mark.parametrize(
    ('path', 'key', 'data_centre'),
    [('/book/x', 'key-1', 'south'), ('/read/x', 'key-2', 'north')],
)
async def test_requests_go_to_allowed_regions_only(
    send, targets, path, key, data_centre
):
    for _ in range(10):
        assert (await send(path, key)).status == 200
    assert reached(targets) == {data_centre}


# Guards against a fallback to other regions, also in an outage.
@pytest.mark.parametrize(
    ('path', 'key'), [('/book/x', 'key-2'), ('/ask/x', 'key-1')]
)
async def test_requests_without_an_allowed_region_are_refused_at_once(
    send, targets, path, key
):
    with trio.fail_after(0.5):
        resp = await send(path, key)
    assert resp.status == 503
    assert any(name.lower() == b'retry-after' for name, _ in resp.headers)
    assert not reached(targets)


async def test_requests_do_not_leave_their_region_when_its_targets_fail(
    send, targets
):
    targets['south'].script.extend([stand_in.refuse_as_not_executed] * 3)
    assert (await send('/book/x')).status == 503
    send.store.delete('servers/south')
    await trio.sleep(0.3)
    assert (await send('/book/x')).status == 503
    assert reached(targets) == {'south'}
