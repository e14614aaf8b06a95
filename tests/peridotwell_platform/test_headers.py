"""Translation of the header fields of the platform's callers and targets."""

import httpcore
import pytest
from peridotwell_platform.headers import (
    PlatformCallerAdapter,
    PlatformTargetAdapter,
)

from peridotwell.domain.routing_table import RequestKind, Route, WeightedService
from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.errors import BadRequest, EntryError
from peridotwell.forwarding.adapters import (
    ReportedLoad,
    RoutedRequest,
    TargetRequest,
)
from peridotwell.policy.brittle.brittleness import Brittleness
from peridotwell.policy.health.target_notices import NO_NOTICE
from peridotwell.policy.placement.prompt_cache_index import part_id
from peridotwell.serving.caller_connection import ServerStop
from peridotwell.serving.http_exchange import HttpExchange
from peridotwell.serving.target_response import TargetResponse

CALLERS = PlatformCallerAdapter()
TARGETS = PlatformTargetAdapter()
ROUTE = Route(
    'r', 'h', '/', RequestKind.streaming, (WeightedService('s'),), 15, 0.5
)
TARGET = Target('i-1', '10.0.0.1:80', TargetKind.engine, Pool('a', 's'))
OTHER_TARGET = Target('i-2', '10.0.0.2:80', TargetKind.engine, Pool('a', 's'))


def make_exchange(**fields: str) -> HttpExchange:
    pairs = [
        (name.replace('_', '-').encode(), text.encode())
        for name, text in fields.items()
    ]
    scope = {
        'method': 'POST',
        'path': '/',
        'raw_path': b'/',
        'query_string': b'',
        'headers': pairs,
    }
    return HttpExchange(scope, None, None, ServerStop())


def make_response(status: int = 200, **fields: str) -> TargetResponse:
    headers = [
        (name.replace('_', '-').encode(), text.encode())
        for name, text in fields.items()
    ]
    return TargetResponse(httpcore.Response(status, headers=headers))


def make_routed_request(metadata, **changes) -> RoutedRequest:
    values = {
        'request_id': metadata.request_id,
        'customer': 'tenant-1',
        'route': ROUTE,
        'service': 's',
        'priority': 2,
        'method': 'POST',
        'target_path': b'/a',
        'passed_fields': metadata.passed_fields,
        'body': b'',
        'prompt': metadata.prompt,
        'arrived_at': 0,
        'deadline_at': 10,
        'fingerprint': 1,
        'table_version': 1,
        **changes,
    }
    return RoutedRequest(**values)


def test_request_headers_are_decoded():
    metadata = CALLERS.read(
        make_exchange(
            x_request_id='1',
            x_credential='key',
            x_deadline_ms='1500',
            x_model='m',
            x_token_counts='1460,80',
            x_prompt_prefix='a:800,b:410,c:250',
        ),
    )
    assert (metadata.request_id, metadata.api_key) == ('1', 'key')
    assert metadata.deadline_seconds == 1.5
    assert metadata.prompt.placement_key == 'b'
    assert metadata.prompt.own_tokens == 250
    assert metadata.prompt.output_tokens == 80


@pytest.mark.parametrize(
    'fields',
    [{}, {'x_request_id': '1', 'x_deadline_ms': 'soon'}],
)
def test_invalid_request_headers_are_named_in_the_error(fields):
    with pytest.raises(BadRequest, match='X-'):
        CALLERS.read(make_exchange(**fields))


@pytest.mark.parametrize(
    'field',
    [
        'x_tenant',
        'x_hold',
        'x_pin_ms',
        'x_kv_backup',
        'kv_from',
        'kv_fetch',
        'x_expect_replica',
        'x_expect_version',
        'x_request_priority',
        'x_credential',
        'connection',
        'transfer_encoding',
        'te',
        'upgrade',
        'content_length',
    ],
)
def test_fields_set_by_the_router_are_dropped_from_requests(field):
    metadata = CALLERS.read(
        make_exchange(x_request_id='1', **{field: 'forged'})
    )
    names = {name for name, _ in metadata.passed_fields}
    assert names == {b'x-request-id'}


def test_fields_named_by_connection_are_not_forwarded():
    metadata = CALLERS.read(
        make_exchange(
            x_request_id='1', connection='x-hop', x_hop='1', x_keep='2'
        ),
    )
    assert (b'x-keep', b'2') in metadata.passed_fields
    assert all(name != b'x-hop' for name, _ in metadata.passed_fields)


def test_request_to_a_target_has_the_fields_of_the_platform():
    metadata = CALLERS.read(
        make_exchange(x_request_id='1', x_model='m', x_prompt_prefix='a:8,b:4'),
    )
    request = TargetRequest(
        make_routed_request(metadata), TARGET, 4, fetch_from=OTHER_TARGET
    )
    fields = dict(TARGETS.request_fields(request))
    assert fields[b'x-deadline-ms'] == b'6000'
    assert fields[b'x-tenant'] == b'tenant-1'
    assert fields[b'x-expect-replica'] == b'i-1'
    assert fields[b'kv-fetch'] == b'10.0.0.2:80'
    assert fields[b'x-request-priority'] == b'2'
    assert fields[b'x-request-id'] == b'1'


def test_resumed_stream_has_one_last_event_id():
    metadata = CALLERS.read(make_exchange(x_request_id='1', last_event_id='3'))
    request = TargetRequest(
        make_routed_request(metadata), TARGET, 4, resume_after='8'
    )
    found = [
        text
        for name, text in TARGETS.request_fields(request)
        if name == b'last-event-id'
    ]
    assert found == [b'8']


@pytest.mark.parametrize(
    ('response', 'not_run'),
    [
        (make_response(503, x_not_executed='1'), True),
        (make_response(429, x_not_executed='1'), True),
        (make_response(421, x_replica_id='i-2'), True),
        (make_response(503, x_server_seal='s'), False),
        (make_response(500, x_server_seal='s'), False),
        (make_response(200, x_server_seal='s'), False),
    ],
)
def test_responses_that_mean_not_executed(response, not_run):
    assert bool(TARGETS.refusal_reason(response)) is not_run


@pytest.mark.parametrize('status', [408, 421, 429, 503])
def test_not_executed_status_of_an_executed_request_is_not_forwarded(status):
    assert not TARGETS.may_forward(make_response(status, x_server_seal='s'))


def test_encoded_body_is_not_forwarded():
    assert not TARGETS.may_forward(make_response(content_encoding='gzip'))


@pytest.mark.parametrize('text', ['', '3', '3,0', '3,x,8', 'a,b,c'])
def test_invalid_load_is_ignored(text):
    response = make_response(x_replica_load=text)
    assert TARGETS.reported_load(response) is None
    assert TARGETS.unread_load(response) == text


# Guards against targets whose load is unknown because their reports have more
# figures than counts, and against a pace that is taken for zero.
@pytest.mark.parametrize(
    ('text', 'pace', 'is_read'),
    [
        ('3,1,8', None, True),
        ('3,1,8,140', 1.4, True),
        ('3,1,8,40', 0.4, True),
        ('3,1,8,140,7', 1.4, False),
        ('3,1,8,', None, False),
        ('3,1,8,0', None, False),
        ('3,1,8,-5', None, False),
        ('3,1,8,x', None, False),
        ('3,1,8,100001', None, False),
    ],
)
def test_load_is_decoded(text, pace, is_read):
    response = make_response(x_replica_load=text)
    assert TARGETS.reported_load(response) == ReportedLoad(3, 1, 8, pace)
    assert TARGETS.unread_load(response) == ('' if is_read else text)


def test_response_without_a_load_has_nothing_unread():
    assert not TARGETS.unread_load(make_response())


def test_list_of_cached_parts_is_decoded():
    content = b'{"epoch":1,"held":[["","a1",500,"m"]],"next_token":3}'
    (part,) = TARGETS.decode_cache_list(content)
    assert part.part_id == part_id('m', 'a1')
    assert part.tokens == 500


def test_invalid_list_of_cached_parts_is_rejected():
    with pytest.raises(EntryError):
        TARGETS.decode_cache_list(b'{"held":[[1]]}')


def test_notice_of_a_target_that_leaves_or_sheds_load():
    adapter = PlatformTargetAdapter()
    assert adapter.notice(make_response(server_leaving='1')).is_leaving
    shed = adapter.notice(make_response(503, retry_after='0.5'))
    assert (shed.is_leaving, shed.pause_seconds) == (False, 0.5)
    assert adapter.notice(make_response(500, retry_after='0.5')) is NO_NOTICE
    assert adapter.notice(make_response()) is NO_NOTICE


def test_notice_of_a_brittle_target():
    adapter = PlatformTargetAdapter()
    fields = {'server_brittle': '5', 'x_replica_load': '6,1,8'}
    answer = adapter.notice(make_response(**fields)).brittleness
    assert answer == Brittleness(5, False, 6, 1, 8)
    full = make_response(503, x_not_executed='1', **fields)
    assert adapter.notice(full).brittleness == Brittleness(5, True, 6, 1, 8)
    failed = make_response(503, **fields)
    assert not adapter.notice(failed).brittleness.is_rejection
    untold = make_response(503, x_not_executed='1', server_brittle='2')
    assert adapter.notice(untold).brittleness == Brittleness(2, True)
    assert adapter.notice(make_response(server_brittle='x')) is NO_NOTICE


def test_answer_of_another_target_at_the_address_says_nothing():
    response = make_response(421, server_leaving='1', retry_after='1')
    assert PlatformTargetAdapter().notice(response) is None
