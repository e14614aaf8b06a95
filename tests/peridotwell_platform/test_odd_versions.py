"""Versions of the configuration with odd entries, of the page's whole grammar.

Guards against versions that are refused as a whole for one odd entry, which
takes all other routes, keys and services of the version out of force (issue
65).
"""

import copy

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from peridotwell_platform.entries import PlatformEntryDecoder

from peridotwell.errors import EntryError

ENTRIES = PlatformEntryDecoder()
ABSENT = object()
KEYS_OF_EACH = 3
# As they are written in JSON.
WRITTEN = (
    b'null',
    b'0',
    b'-1',
    b'7.0',
    b'"7"',
    b'1e400',
    b'-1e400',
    b'1e-9',
    b'9' * 30,
    b'9' * 5000,
    b'true',
    b'"true"',
    b'""',
    b'"/"',
    b'"/r0/"',
    b'"odd"',
    b'"\\ud800"',
    b'"\xff"',
    b'[]',
    b'{}',
    b'[[[7]]]',
    b'[null]',
    b'["k0-0"]',
    b'[{"service":"s0"},{"service":"s1","weight":1.0}]',
    b'[{"service":null,"weight":null}]',
    b'{"slots":64.0,"kv_capacity_tokens":"9"}',
    b'NaN',
    b'-Infinity',
)
VALUES = st.one_of(
    st.just(ABSENT),
    st.sampled_from(WRITTEN).map(msgspec.Raw),
    st.integers(-(2**40), 2**40).map(float),
)
ROUTE_FIELDS = (
    'name',
    'host',
    'path_prefix',
    'kind',
    'timeout_ms',
    'slo_ms',
    'priority',
    'service',
    'split',
    'max_attempts',
    'anonymous',
    'sticky',
    'resumable',
    'gap_target_ms',
    'unknown',
)
FIELDS = {
    'routes': ROUTE_FIELDS,
    'services': ('name', 'health_path', 'max_conns', 'engine', 'unknown'),
    'tenants': ('name', 'api_keys', 'priority', 'unknown'),
}
LIMITS = (
    'max_header_bytes',
    'max_body_bytes',
    'header_timeout_ms',
    'idle_timeout_ms',
)
SERVED_ROUTES = 6


def make_route(number):
    """Return a route; every third one is nested in another one."""
    prefix = f'/r{number}/'
    if number % 3 == 2:
        prefix = f'/r{number - 2}{prefix}'
    target = (
        {'service': f's{number % 3}'}
        if number % 2
        else {
            'split': [
                {'service': 's0', 'weight': 90},
                {'service': 's1', 'weight': 0.5},
            ]
        }
    )
    return {
        'name': f'r-{number}',
        'host': ('a.example', 'B.Example')[number % 2],
        'path_prefix': prefix,
        'kind': ('idempotent', 'non_idempotent', 'streaming')[number % 3],
        'timeout_ms': 1500,
        'slo_ms': 300,
        'priority': number % 4,
        'max_attempts': 1 + number % 2,
        'anonymous': number % 5 == 0,
        'sticky': False,
        'resumable': number % 3 == 2,
        'gap_target_ms': 300,
        **target,
    }


def make_document(route_count):
    engine = {'slots': 64, 'kv_capacity_tokens': 9000, 'kv_token_bytes': 1}
    return {
        'version': 7,
        'routes': [make_route(number) for number in range(route_count)],
        'services': [
            {'name': f's{number}', 'max_conns': 9, 'engine': engine}
            for number in range(3)
        ],
        'limits': dict.fromkeys(LIMITS, 9000),
        'tenants': [
            {
                'name': f't{number}',
                'api_keys': [f'k{number}-{key}' for key in range(KEYS_OF_EACH)],
                'priority': number,
            }
            for number in range(3)
        ],
    }


@st.composite
def odd_entries(draw):
    """Return the list, the position, the field and its value of an entry."""
    name = draw(st.sampled_from(list(FIELDS)))
    return (
        name,
        draw(st.integers(0, 2)),
        draw(st.sampled_from((*FIELDS[name], '*'))),
        draw(VALUES),
    )


def put(entry, field, value):
    """Set or remove a field."""
    if value is ABSENT:
        entry.pop(field, None)
    else:
        entry[field] = value


def decode(document):
    return ENTRIES.decode_table(msgspec.json.encode(document), 1)


def split_versions(odd, route_count):
    """Return a document with odd entries, and one without these entries."""
    whole = make_document(route_count)
    without = copy.deepcopy(whole)
    for name, number, field, value in odd:
        if field == '*':
            whole[name][number] = None if value is ABSENT else value
        elif isinstance(whole[name][number], dict):
            put(whole[name][number], field, value)
    for name in FIELDS:
        numbers = {each[1] for each in odd if each[0] == name}
        without[name] = [
            entry
            for number, entry in enumerate(without[name])
            if number not in numbers
        ]
    return whole, without


def paths_of(entry):
    """Return the path that an odd route may have taken from another one."""
    if not isinstance(entry, dict):
        return set()
    texts = [entry.get('host'), entry.get('path_prefix')]
    plain = [
        each if isinstance(each, str) else bytes(each or b'').strip(b'"')
        for each in texts
        if each is None or isinstance(each, str | msgspec.Raw)
    ]
    return {
        tuple(
            each if isinstance(each, str) else each.decode('latin-1')
            for each in plain
        )
    }


def request_path(route):
    return route.host, f'{route.prefix}x'


@given(
    st.lists(odd_entries(), min_size=1, max_size=4),
    st.sampled_from([SERVED_ROUTES, SERVED_ROUTES + 350]),
)
@example([('routes', 0, 'priority', msgspec.Raw(b'1.0'))], SERVED_ROUTES)
@example([('routes', 1, 'kind', msgspec.Raw(b'"odd"'))], SERVED_ROUTES)
@example([('routes', 2, '*', ABSENT)], SERVED_ROUTES)
def test_what_is_not_odd_is_in_force_as_without_the_odd_entries(
    odd, route_count
):
    whole, without = split_versions(odd, route_count)
    table, usual = decode(whole), decode(without)
    taken = set().union(*(paths_of(entry) for entry in whole['routes'][:3]))
    for route in usual.routes:
        if (route.host, route.prefix) not in taken:
            assert table.find_route(*request_path(route)) == route
    odd_tenants = {each[1] for each in odd if each[0] == 'tenants'}
    for key, customer in usual.customers.items():
        # An odd customer may have the first key of another one as well.
        if key != 'k0-0' or not odd_tenants:
            assert table.find_customer(key) == customer
    for name, service in usual.services.items():
        assert table.services[name].name == service.name
    assert table.limits == usual.limits
    assert table.has_customers


# Guards against a route that is refused with 404 since it cannot be read.
@given(
    st.integers(0, 2),
    st.sampled_from(
        sorted(set(ROUTE_FIELDS) - {'host', 'path_prefix'}),
    ),
    VALUES,
)
def test_a_route_with_an_odd_field_is_served_or_in_doubt(number, field, value):
    document = make_document(SERVED_ROUTES)
    put(document['routes'][number], field, value)
    table = decode(document)
    path = request_path(decode(make_document(SERVED_ROUTES)).routes[number])
    assert table.find_route(*path) is not None or table.is_in_doubt(*path)
    if table.find_route(*path) is None:
        assert table.faults


# Guards against keys that are refused with 401 since they cannot be read.
@given(st.integers(0, 2), st.sampled_from(['name', '*']), VALUES)
def test_keys_of_an_odd_customer_are_known_or_in_doubt(number, field, value):
    document = make_document(SERVED_ROUTES)
    if field == '*':
        document['tenants'][number] = None if value is ABSENT else value
    else:
        put(document['tenants'][number], field, value)
    table = decode(document)
    for key in range(KEYS_OF_EACH):
        is_known = table.find_customer(f'k{number}-{key}') is not None
        assert is_known or table.has_unreadable_customers


@given(st.sampled_from(LIMITS), VALUES)
def test_an_odd_limit_costs_nothing_else(name, value):
    document = make_document(SERVED_ROUTES)
    usual = decode(document)
    put(document['limits'], name, value)
    table = decode(document)
    assert table.routes == usual.routes
    assert table.customers == usual.customers
    assert table.services == usual.services
    assert table.limits.header_bytes >= 1
    assert table.limits.body_bytes >= 1
    assert table.limits.idle_seconds > 0


@given(st.sampled_from(['services', 'limits', 'unknown']), VALUES)
def test_an_odd_part_of_the_document_costs_nothing_else(name, value):
    document = make_document(SERVED_ROUTES)
    usual = decode(document)
    put(document, name, value)
    table = decode(document)
    assert table.routes == usual.routes
    assert table.customers == usual.customers


# Guards against another reading of the same version: entry by entry, because
# of one odd field, and as a whole.
@pytest.mark.parametrize('route_count', [SERVED_ROUTES, SERVED_ROUTES + 350])
def test_a_version_is_read_alike_entry_by_entry_and_as_a_whole(route_count):
    document = make_document(route_count)
    usual = decode(document)
    assert decode({**document, 'version': 7.0}) == usual


@given(VALUES)
def test_a_version_without_routes_is_refused(value):
    document = make_document(0)
    put(document, 'routes', value)
    try:
        table = decode(document)
    except EntryError:
        return
    assert not table.routes
    assert value == msgspec.Raw(b'[]')
