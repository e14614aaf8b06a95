"""Requests while an entry of the version in force cannot be read."""

import msgspec
import pytest
import trio

from peridotwell.fleet.replica import table_fault_log
from tests.peridotwell_platform import stand_in
from tests.peridotwell_platform.test_path import CONFIG, harness

__all__ = ('harness',)


def put_version(harness, **changes):
    """Let the store acknowledge a version with these changes."""
    document = {**CONFIG, 'version': CONFIG['version'] + 1, **changes}
    harness.store.put('op/config', msgspec.json.encode(document))


async def wait_for_version(harness):
    """Wait until the router has taken the version."""
    directory = harness.router._components.directory
    with trio.fail_after(2):
        while directory.table.version == CONFIG['version']:
            await trio.sleep(0.01)


# Guards against callers that are told by all routers that a new route does not
# exist, and against requests of a dropped one that are served, since another
# entry of the version cannot be read (issue 65).
@pytest.mark.parametrize(
    'odd',
    [
        stand_in.route('odd', 'idempotent', priority=1.0),
        stand_in.route('odd', 'unknown kind'),
        stand_in.route('odd', 'idempotent', max_attempts=0),
        stand_in.route('odd', 'idempotent', service=None),
        stand_in.route('read', 'idempotent', host='A.EXAMPLE'),
    ],
)
async def test_new_routes_and_keys_are_in_force_beside_an_odd_route(
    harness, odd
):
    routes = [
        odd,
        *(each for each in CONFIG['routes'] if each['name'] != 'ask'),
        stand_in.route('new', 'idempotent'),
    ]
    tenants = [*CONFIG['tenants'], {'name': 'u', 'api_keys': ['new-key']}]
    put_version(harness, routes=routes, tenants=tenants)
    await wait_for_version(harness)
    assert (await harness.send_request('/new/x')).status == 200
    resp = await harness.send_request('/read/x', x_credential='new-key')
    assert resp.status == 200
    assert (await harness.send_request('/ask/x')).status == 404
    assert (await harness.send_request('/odd/x')).status in {200, 404, 503}


# Guards against callers that give up since a route in force cannot be read.
async def test_requests_of_an_unreadable_route_may_be_sent_again(
    harness, monkeypatch
):
    lines = []
    monkeypatch.setattr(
        table_fault_log,
        'log_failure',
        lambda event, **fields: lines.append((event, fields)),
    )
    odd = stand_in.route('odd', 'idempotent', service=None)
    put_version(harness, routes=[*CONFIG['routes'], odd])
    await wait_for_version(harness)
    resp = await harness.send_request('/odd/x')
    assert resp.status == 503
    assert float(dict(resp.headers)[b'retry-after']) > 0
    assert (await harness.send_request('/never/x')).status == 404
    assert (await harness.send_request('/read/x')).status == 200
    ((event, fields),) = lines
    assert event == 'table.entries_unreadable'
    assert (fields['version'], fields['unreadable']) == (2, 1)
    assert 'route odd' in fields['faults']


async def test_paths_are_in_doubt_while_that_of_a_route_is_unreadable(harness):
    odd = stand_in.route('odd', 'idempotent', host=None, path_prefix=None)
    put_version(harness, routes=[*CONFIG['routes'], odd])
    await wait_for_version(harness)
    assert (await harness.send_request('/odd/x')).status == 503
    assert (await harness.send_request('/read/x')).status == 200


# Guards against callers that give up since their customer cannot be read.
async def test_unknown_keys_are_in_doubt_while_a_customer_is_unreadable(
    harness,
):
    put_version(harness, tenants=[{'api_keys': ['k']}, *CONFIG['tenants']])
    await wait_for_version(harness)
    resp = await harness.send_request('/read/x', x_credential='k')
    assert resp.status == 503
    assert float(dict(resp.headers)[b'retry-after']) > 0
    resp = await harness.send_request('/read/x', x_credential='')
    assert resp.status == 401
    assert (await harness.send_request('/read/x')).status == 200
    assert (await harness.send_request('/open/x')).status == 200
