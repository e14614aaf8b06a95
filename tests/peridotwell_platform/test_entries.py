"""Entries of the platform's store are decoded or rejected."""

import msgspec
import pytest
from peridotwell_platform.entries import PlatformEntryDecoder

from peridotwell.domain.routing_table import RequestKind
from peridotwell.domain.target import ReportNumber
from peridotwell.errors import EntryError

ENTRIES = PlatformEntryDecoder()
ROUTE = {
    'name': 'r-1',
    'host': 'a.example',
    'path_prefix': '/a/',
    'kind': 'streaming',
    'timeout_ms': 15000,
    'slo_ms': 500,
    'priority': 1,
    'split': [
        {'service': 'big', 'weight': 90},
        {'service': 'small', 'weight': 10},
    ],
    'max_attempts': 2,
    'anonymous': False,
    'sticky': True,
    'resumable': True,
    'gap_target_ms': 300,
}
CONFIG = {
    'version': 7,
    'routes': [ROUTE],
    'services': [
        {
            'name': 'big',
            'health_path': '/healthz',
            'max_conns': 360,
            'protocol': 'h1',
            'engine': {
                'slots': 64,
                'kv_capacity_tokens': 950785,
                'kv_token_bytes': 18432,
            },
        },
        {'name': 'small', 'max_conns': 100},
    ],
    'limits': {
        'max_header_bytes': 1000,
        'max_body_bytes': 2000,
        'idle_timeout_ms': 15000,
    },
    'tenants': [{'name': 't', 'api_keys': ['k1', 'k2'], 'priority': 1}],
}
SERVER = {
    'service': 'big',
    'address': '10.0.0.9:8080',
    'zone': 'north',
    'state': 'ready',
    'slots': 64,
    'born': 1700000000000,
    'seq': 4,
}


def encode(document) -> bytes:
    return msgspec.json.encode(document)


def test_configuration_is_decoded():
    table = ENTRIES.decode_table(encode(CONFIG), 42)
    route = table.find_route('a.example', '/a/b')
    assert (table.version, table.revision) == (7, 42)
    assert route.kind is RequestKind.streaming
    assert route.may_repeat
    assert (route.timeout_seconds, route.objective_seconds) == (15, 0.5)
    assert route.max_gap_seconds == 0.3
    assert table.services['big'].engine.can_fetch_cache
    assert table.services['small'].engine is None
    assert table.find_customer('k2').name == 't'
    assert table.limits.body_bytes == 2000


def test_requests_are_split_between_services_by_weight():
    route = ENTRIES.decode_table(encode(CONFIG), 1).routes[0]
    chosen = [route.choose_service(str(number)) for number in range(1000)]
    assert 850 < chosen.count('big') < 950
    assert route.choose_service('x') == route.choose_service('x')


@pytest.mark.parametrize(
    ('kind', 'resumable', 'may_repeat'),
    [
        ('idempotent', False, True),
        ('non_idempotent', False, False),
        ('streaming', False, False),
        ('streaming', True, True),
    ],
)
def test_route_kind_determines_whether_requests_may_be_repeated(
    kind, resumable, may_repeat
):
    route = {**ROUTE, 'kind': kind, 'resumable': resumable}
    table = ENTRIES.decode_table(encode({**CONFIG, 'routes': [route]}), 1)
    assert table.routes[0].may_repeat is may_repeat


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'\xff\xfe',
        b'[]',
        encode({**CONFIG, 'routes': [{**ROUTE, 'kind': 'other'}]}),
        encode({'version': 1}),
    ],
)
def test_invalid_configuration_is_rejected(content):
    with pytest.raises(EntryError):
        ENTRIES.decode_table(content, 1)


# A well-formed configuration that cannot be served replaced the one in force.
@pytest.mark.parametrize(
    'changes',
    [
        {'timeout_ms': 0},
        {'timeout_ms': -5},
        {'path_prefix': 'a/'},
        {'path_prefix': '/a'},
        {'max_attempts': 0},
        {'split': [{'service': 'big', 'weight': 0}]},
        {'split': [], 'service': ''},
    ],
)
def test_configuration_that_cannot_be_served_is_rejected(changes):
    document = {**CONFIG, 'routes': [{**ROUTE, **changes}]}
    with pytest.raises(EntryError, match='r-1'):
        ENTRIES.decode_table(encode(document), 1)


@pytest.mark.parametrize(
    ('path', 'prefix'),
    [('/a/', '/a/'), ('/a/b/c', '/a/b/'), ('/a/bc', '/a/'), ('/b/a/', None)],
)
def test_longest_matching_path_prefix_is_selected(path, prefix):
    routes = [ROUTE, {**ROUTE, 'name': 'r-2', 'path_prefix': '/a/b/'}]
    table = ENTRIES.decode_table(encode({**CONFIG, 'routes': routes}), 1)
    found = table.find_route('A.example:80', path)
    assert (found.prefix if found else None) == prefix
    assert table.find_route('b.example', path) is None


def test_target_is_decoded():
    target = ENTRIES.decode_target('servers/i-1', encode(SERVER))
    assert (target.name, target.pool.name) == ('i-1', 'big')
    assert target.pool.data_centre == 'north'
    assert target.incarnation == '1700000000000'
    assert target.report == ReportNumber(1700000000000, 4)
    assert not target.leaving


def test_draining_target_is_leaving():
    server = {**SERVER, 'state': 'draining'}
    assert ENTRIES.decode_target('servers/i-1', encode(server)).leaving


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'not json',
        b'{"service": 1}',
        encode({**SERVER, 'state': 'resting'}),
        encode({**SERVER, 'address': 'nowhere'}),
        encode({**SERVER, 'address': '10.0.0.1:²'}),
        encode({**SERVER, 'address': '10.0.0.1:70000'}),
        encode({**SERVER, 'born': 'today'}),
        encode({key: SERVER[key] for key in SERVER if key != 'service'}),
        encode({key: SERVER[key] for key in SERVER if key != 'address'}),
    ],
)
def test_invalid_target_entry_is_rejected(content):
    with pytest.raises(EntryError):
        ENTRIES.decode_target('servers/i-1', content)


# Guards against a live target that is removed from use because a number of its
# entry is written as 64.0, or because an optional field is null.
@pytest.mark.parametrize('name', ['slots', 'born', 'seq'])
def test_whole_numbers_of_a_target_may_be_written_with_a_fraction(name):
    usual = ENTRIES.decode_target('servers/i-1', encode(SERVER))
    server = {**SERVER, name: float(SERVER[name])}
    assert ENTRIES.decode_target('servers/i-1', encode(server)) == usual


@pytest.mark.parametrize('name', ['slots', 'born', 'seq', 'version', 'other'])
def test_null_in_the_entry_of_a_target_means_absent(name):
    absent = {key: SERVER[key] for key in SERVER if key != name}
    usual = ENTRIES.decode_target('servers/i-1', encode(absent))
    server = {**SERVER, name: None}
    assert ENTRIES.decode_target('servers/i-1', encode(server)) == usual


def test_versions_of_a_target_are_compared_by_value():
    for written in (3, 3.0, '3'):
        content = encode({**SERVER, 'version': written})
        assert ENTRIES.decode_target('servers/i-1', content).software == '3'


# Guards against a target in use by an entry that another writer has written.
@pytest.mark.parametrize(
    'changes',
    [
        {'slots': 64.5},
        {'slots': -1.0},
        {'slots': '64'},
        {'seq': True},
        {'service': None},
        {'state': None},
        {'address': 7.0},
    ],
)
def test_fields_of_another_value_name_no_target(changes):
    with pytest.raises(EntryError):
        ENTRIES.decode_target('servers/i-1', encode({**SERVER, **changes}))
