"""Forwards requests through a router, with stand-in targets and store."""

import base64
import time

import httpcore
import msgspec
import pytest
import trio
from peridotwell_platform.headers import PlatformTargetAdapter

from peridotwell.forwarding import handler
from peridotwell.forwarding.answering import response_recorder
from peridotwell.forwarding.sending import dispatch
from peridotwell.metrics import Measure, Series
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

RECEIPT = b'x-server-seal'


CONFIG = configuration(
    10,
    stand_in.route('read', 'idempotent'),
    stand_in.route('book', 'non_idempotent', max_attempts=1),
    stand_in.route('draft', 'streaming', max_attempts=1),
    stand_in.route('ask', 'streaming', resumable=True),
    stand_in.route('open', 'idempotent', anonymous=True),
)


WITH_NEW_ROUTE = {
    **CONFIG,
    'version': CONFIG['version'] + 1,
    'routes': [*CONFIG['routes'], stand_in.route('new', 'idempotent')],
}
UNREADABLE = {'version': 12, 'routes': 'none'}
REFUSED_BY_OLDER = 'table.refused_by_older'


class RouterHarness:
    """A router with two targets and a store, all in this process."""

    def __init__(self, store, targets, router, address):
        self.store = store
        self.targets = targets
        self.router = router
        self.address = address
        self.pool = httpcore.AsyncConnectionPool()
        self._number = 0

    async def send_request(self, path, method='GET', body=b'', **fields):
        self._number += 1
        headers = caller_headers(
            self._number, **{'x_deadline_ms': '1000', **fields}
        )
        if body:
            headers['content-length'] = str(len(body))
        return await call(self.pool, self.address, method, path, headers, body)

    def script_responses(self, *responses):
        """Handle the next requests to any target with `responses`, in order."""
        remaining = list(responses)

        async def respond(target, exchange):
            step = remaining.pop(0) if remaining else stand_in.respond_ok
            await step(target, exchange)

        for target in self.targets:
            target.script.extend([respond] * len(responses))

    def count_requests(self):
        return sum(len(target.requests) for target in self.targets)


@pytest.fixture
def logged_events(monkeypatch):
    lines = []
    monkeypatch.setattr(
        response_recorder,
        'log_event',
        lambda name, **fields: lines.append((name, fields)),
    )
    return lines


@pytest.fixture
async def harness(nursery):
    store, address = await start_store(nursery, CONFIG)
    targets = [stand_in.TargetStandIn(name) for name in ('i-1', 'i-2')]
    for target in targets:
        target_address = await nursery.start(
            serve_http, target.handle, f'{LOCALHOST}:0'
        )
        store.put(f'servers/{target.name}', target_entry(target_address))
    started = await start_router(nursery, 'r-1', address)
    return RouterHarness(store, targets, started.router, started.address)


async def test_response_is_forwarded_unchanged(harness):
    resp = await harness.send_request('/book/x?q=%2F1', 'POST', b'kilograms')
    assert (resp.status, resp.content) == (200, b'done')
    assert dict(resp.headers)[RECEIPT].startswith(b'seal.')
    (request,) = [
        each for target in harness.targets for each in target.requests
    ]
    method, path, headers, body = request
    assert (method, path, body) == ('POST', b'/book/x', b'kilograms')
    assert headers['x-tenant'] == 'tenant-1'
    assert 'x-credential' not in headers
    assert 0 < int(headers['x-deadline-ms']) <= 1000


@pytest.mark.parametrize(
    ('path', 'fields', 'status'),
    [
        ('/other/x', {}, 404),
        ('/read', {}, 404),
        ('/read/x', {'host': 'b.example'}, 404),
        ('/read/x', {'x_credential': 'wrong'}, 401),
        ('/read/x', {'x_credential': ''}, 401),
        ('/open/x', {'x_credential': ''}, 200),
        ('/read/x', {'x_request_id': ''}, 400),
        ('/read/x', {'x_long': 'x' * 3000}, 431),
    ],
)
async def test_invalid_requests_are_refused_with_their_status(
    harness, path, fields, status
):
    resp = await harness.send_request(path, **fields)
    assert resp.status == status
    assert RECEIPT not in dict(resp.headers) or status == 200
    assert harness.count_requests() == (status == 200)


async def test_body_over_the_limit_is_refused(harness):
    resp = await harness.send_request('/book/x', 'POST', b'x' * 6000)
    assert (resp.status, harness.count_requests()) == (413, 0)


FAULTS_THAT_MAY_HAVE_RUN = [
    stand_in.respond_for_another_request,
    stand_in.respond_without_receipt,
    stand_in.truncate_response,
    stand_in.never_respond,
    stand_in.respond_with_status(503),
    stand_in.respond_with_status(429),
    stand_in.respond_with_status(421),
]


@pytest.mark.parametrize('fault', FAULTS_THAT_MAY_HAVE_RUN)
async def test_non_idempotent_request_that_may_have_run_is_not_retried(
    harness, fault
):
    harness.script_responses(fault, stand_in.respond_ok)
    resp = await harness.send_request('/book/x', 'POST', b'kilograms')
    assert resp.status in {502, 504}
    assert RECEIPT not in dict(resp.headers)
    assert harness.count_requests() == 1


@pytest.mark.parametrize('fault', FAULTS_THAT_MAY_HAVE_RUN)
async def test_idempotent_request_is_retried_on_another_target(harness, fault):
    harness.script_responses(fault, stand_in.respond_ok)
    resp = await harness.send_request('/read/x')
    assert (resp.status, resp.content) == (200, b'done')
    assert harness.count_requests() == 2


@pytest.mark.parametrize('path', ['/book/x', '/read/x', '/draft/x'])
async def test_refused_request_is_retried_on_another_target(harness, path):
    harness.script_responses(
        stand_in.refuse_as_not_executed, stand_in.respond_ok
    )
    resp = await harness.send_request(path, 'POST', b'kilograms')
    assert (resp.status, harness.count_requests()) == (200, 2)


async def test_target_whose_address_was_reused_gets_no_more_requests(harness):
    """Guards against refused requests when another target has the address."""
    replaced, _ = harness.targets
    replaced.script.extend([stand_in.refuse_as_misdirected] * 20)
    for _ in range(20):
        assert (
            await harness.send_request('/book/x', 'POST', b'kg')
        ).status == 200
    assert len(replaced.requests) <= 2


async def test_request_refused_by_all_targets_gets_503_with_retry_after(
    harness,
):
    harness.script_responses(
        stand_in.refuse_as_not_executed,
        stand_in.refuse_as_not_executed,
        stand_in.refuse_as_not_executed,
    )
    resp = await harness.send_request('/book/x', 'POST', b'kilograms')
    assert resp.status == 503
    assert float(dict(resp.headers)[b'retry-after']) > 0


async def test_error_response_of_a_target_is_forwarded_with_its_receipt(
    harness,
):
    harness.script_responses(stand_in.respond_with_status(500))
    resp = await harness.send_request('/book/x', 'POST', b'kilograms')
    assert resp.status == 500
    assert RECEIPT in dict(resp.headers)
    assert harness.count_requests() == 1


async def test_attempts_are_limited_by_the_route(harness):
    harness.script_responses(*[stand_in.respond_with_status(500)] * 4)
    resp = await harness.send_request('/read/x')
    assert (resp.status, harness.count_requests()) == (500, 2)


async def test_stream_is_forwarded_event_by_event(harness):
    harness.script_responses(stand_in.stream_events(1, 5))
    resp = await harness.send_request('/draft/x', 'POST', b'q')
    assert resp.content.count(b'data: x') == 5


async def test_resumable_stream_continues_on_another_target(harness):
    harness.script_responses(
        stand_in.stream_events(1, 3, ends=False), stand_in.stream_events(3, 5)
    )
    resp = await harness.send_request('/ask/x', 'POST', b'q')
    numbers = [line for line in resp.content.split(b'\n') if b'id:' in line]
    assert numbers == [b'id: %d' % number for number in range(1, 6)]
    last = [each for target in harness.targets for each in target.requests][-1]
    assert '3' in {
        headers.get('last-event-id')
        for target in harness.targets
        for _, _, headers, _ in target.requests
    }, last


async def test_a_stream_waits_for_an_engine_that_is_heard(harness, nursery):
    """An engine with a queue sends a new stream nothing for some time.

    Guards against resending such a stream although the engine responds on
    other connections. It happened when four of six engines had left: streams
    were sent to another engine with a queue, and failed there too.
    """
    harness.script_responses(
        stand_in.stream_events(1, 100), stand_in.stream_events(1, 100)
    )
    for _ in harness.targets:
        nursery.start_soon(harness.send_request, '/draft/x', 'POST', b'q')
    await trio.sleep(0.1)
    for target in harness.targets:
        target.script.clear()
    harness.script_responses(
        stand_in.respond_after_queue_delay, stand_in.respond_after_queue_delay
    )
    resp = await harness.send_request('/ask/x', 'POST', b'q')
    assert (resp.status, harness.count_requests()) == (200, 3)


async def test_truncated_stream_that_is_not_resumable_fails_visibly(harness):
    harness.script_responses(stand_in.stream_events(1, 3, ends=False))
    with pytest.raises(httpcore.RemoteProtocolError):
        await harness.send_request('/draft/x', 'POST', b'q')
    assert harness.count_requests() == 1


async def test_failed_stream_logs_a_time_and_records_no_first_token(
    harness, logged_events
):
    """Guards against logging a negative time to the first token."""
    harness.script_responses(stand_in.respond_with_status(500))
    resp = await harness.send_request('/draft/x', 'POST', b'q')
    assert resp.status == 500
    while not logged_events:
        await trio.sleep(0)
    (line,) = [
        fields for name, fields in logged_events if name.endswith('answered')
    ]
    assert 0 <= line['first_seconds'] <= line['whole_seconds']
    series = Series('tenant-1', 'draft', Measure.first_token)
    assert not harness.router.metrics.sketch(series).count


# Guards against logs that do not tell whether a response came on a connection
# that had served others, or how much of it came.
async def test_the_log_tells_how_a_response_came(harness, logged_events):
    harness.store.delete('servers/i-2')
    await trio.sleep(stand_in.SETTLE_SECONDS * 10)
    for _ in range(2):
        await harness.send_request('/read/x')
        await harness.send_request('/ask/x', 'POST', b'q')
    # The end of a stream is logged after its caller has it.
    with trio.fail_after(1):
        while len(logged_events) < 4:
            await trio.sleep(0)
    answered = [
        (fields['earlier_requests'], fields['body_bytes'], fields['body_end'])
        for name, fields in logged_events
        if name.endswith('answered')
    ]
    assert answered == [
        (0, len(b'done'), 'length'),
        (1, len(b'data: done\n\n'), 'length'),
        (2, len(b'done'), 'length'),
        (3, len(b'data: done\n\n'), 'length'),
    ]


# Guards against error responses that leave no trace when another target is
# asked after them.
async def test_the_log_tells_each_error_response(harness, monkeypatch):
    lines = []
    monkeypatch.setattr(
        dispatch,
        'log_failure',
        lambda name, **fields: lines.append((name, fields)),
    )
    harness.script_responses(stand_in.respond_with_status(500))
    resp = await harness.send_request('/read/x')
    assert resp.status == 200
    ((name, fields),) = lines
    assert name == 'attempt.error_response'
    assert (fields['status'], fields['attempt']) == (500, 1)


# Guards against requests without any line: their callers left while the router
# read their bodies.
@pytest.mark.parametrize('body', [b'kg', b'k'])
async def test_the_log_names_a_request_whose_caller_leaves(
    harness, monkeypatch, body
):
    lines = []
    has_line = trio.Event()

    def record(name, **fields):
        lines.append((name, fields))
        has_line.set()

    monkeypatch.setattr(handler, 'log_event', record)
    harness.script_responses(stand_in.never_respond)
    fields = caller_headers(7, content_length='2', x_deadline_ms='1000')
    head = ''.join(f'{name}: {text}\r\n' for name, text in fields.items())
    host, _, port = harness.address.partition(':')
    stream = await trio.open_tcp_stream(host, int(port))
    await stream.send_all(
        f'POST /book/x HTTP/1.1\r\n{head}\r\n'.encode() + body
    )
    await trio.sleep(0.1)
    await stream.aclose()
    with trio.fail_after(1):
        await has_line.wait()
    begun = {'request': 'id-7', 'begun': False}
    assert lines == [('request.caller_left', begun)]


async def test_request_to_a_silent_target_gets_504_at_the_deadline(harness):
    harness.script_responses(stand_in.never_respond)
    started_at = trio.current_time()
    resp = await harness.send_request(
        '/book/x', 'POST', b'kg', x_deadline_ms='300'
    )
    assert resp.status == 504
    assert trio.current_time() - started_at < 0.8


@pytest.mark.parametrize('path', ['/book/x', '/draft/x'])
async def test_response_at_the_deadline_is_not_truncated(
    harness, path, monkeypatch
):
    """A target that gives up at the deadline responds at that moment.

    Guards against cutting the connection of the caller instead of forwarding
    the response, as happened to half of these callers on a recorded day.
    """
    caller_fields = PlatformTargetAdapter.caller_fields

    def pass_the_deadline(self, response):
        time.sleep(0.1)
        return caller_fields(self, response)

    monkeypatch.setattr(
        PlatformTargetAdapter, 'caller_fields', pass_the_deadline
    )
    harness.script_responses(stand_in.respond_with_status(504))
    resp = await harness.send_request(path, 'POST', b'kg', x_deadline_ms='60')
    assert resp.status == 504


async def test_timeout_of_the_route_limits_the_deadline_of_the_caller(harness):
    harness.script_responses(stand_in.never_respond)
    started_at = trio.current_time()
    resp = await harness.send_request(
        '/book/x', 'POST', b'kg', x_deadline_ms='60000'
    )
    assert resp.status == 504
    assert trio.current_time() - started_at < stand_in.TIMEOUT_MS / 1000 + 0.5


async def test_disconnected_caller_cancels_the_request_on_the_target(harness):
    disconnected = trio.Event()

    async def wait_for_disconnect(target, exchange):
        await exchange.wait_for_disconnect()
        disconnected.set()

    harness.script_responses(wait_for_disconnect)
    with trio.move_on_after(0.3):
        await harness.send_request('/book/x', 'POST', b'kilograms')
    with trio.fail_after(0.5):
        await disconnected.wait()


async def test_leaving_target_gets_no_new_requests(harness):
    value = harness.store.items['servers/i-1']['value']
    entry = msgspec.json.decode(base64.b64decode(value))
    harness.store.put(
        'servers/i-1',
        msgspec.json.encode({**entry, 'state': 'draining'}),
    )
    await trio.sleep(0.3)
    for _ in range(10):
        assert (await harness.send_request('/read/x')).status == 200
    assert not harness.targets[0].requests


async def test_changed_configuration_takes_effect_immediately(harness):
    changed = {**CONFIG, 'version': 2, 'routes': CONFIG['routes'][1:]}
    harness.store.put('op/config', msgspec.json.encode(changed))
    await trio.sleep(0.3)
    assert (await harness.send_request('/read/x')).status == 404


async def test_log_of_a_refusal_tells_how_late_the_router_hears_of_changes(
    harness, caplog
):
    await trio.sleep(0.3)
    await harness.send_request('/new/x')
    lines = [record.msg for record in caplog.records]
    refused = [each for each in lines if each['event'] == 'request.refused']
    assert refused[-1]['follows_store']
    assert 0 <= refused[-1]['store_answer_age'] < 3
    assert 0 <= refused[-1]['knowledge_age'] < 1
    assert list(refused[-1])[:8] == [
        'event',
        'request',
        'code',
        'seen',
        'table',
        'knowledge_age',
        'source',
        'revision',
    ]
    assert refused[-1]['table_revision'] <= refused[-1]['revision']


# Guards against an incident without a trace: a router that learns that it
# refused what was in force says nothing.
async def test_log_tells_what_was_refused_by_an_older_configuration(
    harness, caplog
):
    assert (await harness.send_request('/new/x')).status == 404
    assert (await harness.send_request('/never/x')).status == 404
    harness.store.put('op/config', msgspec.json.encode(WITH_NEW_ROUTE))
    await trio.sleep(0.3)
    lines = [record.msg for record in caplog.records]
    refused = [each for each in lines if each['event'] == 'request.refused']
    told = [each for each in lines if each['event'] == REFUSED_BY_OLDER]
    assert len(refused) == 2
    assert len(told) == 1
    assert told[0]['request'] == refused[0]['request']
    assert told[0]['refused'] == 1
    assert told[0]['table'] == refused[0]['table'] == CONFIG['version']
    assert told[0]['version'] == WITH_NEW_ROUTE['version']


# Guards against refusals of which no line and no metric tells that a newer
# version was seen and is not in force.
async def test_log_and_metrics_tell_of_a_version_that_cannot_be_taken(
    harness, caplog
):
    harness.store.put('op/config', msgspec.json.encode(UNREADABLE))
    await trio.sleep(0.3)
    await harness.send_request('/new/x')
    lines = [record.msg for record in caplog.records]
    refused = [each for each in lines if each['event'] == 'request.refused']
    assert refused[-1]['seen'].startswith('12@')
    assert refused[-1]['table'] == CONFIG['version']
    gauges = harness.router.metrics.gauges
    with trio.fail_after(2):
        while not gauges.get('table.behind'):
            await trio.sleep(0.05)
    assert gauges['table.behind'] == UNREADABLE['version'] - CONFIG['version']
    assert harness.router.metrics.counters['table.not_taken'] == 1


# Guards against refusals that do not tell whether the path or the key was in
# force before.
async def test_log_tells_which_version_dropped_a_path_and_a_key(
    harness, caplog
):
    dropping = {**CONFIG, 'version': 11, 'routes': CONFIG['routes'][1:]}
    dropping['tenants'] = []
    harness.store.put('op/config', msgspec.json.encode(dropping))
    await trio.sleep(0.3)
    for path in ('/read/x', '/book/x', '/never/x'):
        await harness.send_request(path)
    lines = [record.msg for record in caplog.records]
    told = [
        (each['code'], each.get('dropped_by'), each.get('last_in'))
        for each in lines
        if each['event'] == 'request.refused'
    ]
    assert told == [
        ('unknown_path', 11, CONFIG['version']),
        ('unknown_credential', 11, CONFIG['version']),
        ('unknown_path', None, None),
    ]
    assert not any('key-1' in repr(each) for each in lines)


# Guards against callers that are told for good that their route or key does not
# exist, by a router that is late to hear of it.
async def test_an_outdated_router_refuses_nothing_for_good(harness):
    harness.store.faults.extend(['silent'] * 100)
    with trio.fail_after(8):
        while (await harness.send_request('/new/x')).status == 404:
            await trio.sleep(0.1)
    for path, key in (('/new/x', 'key-1'), ('/read/x', 'new-key')):
        resp = await harness.send_request(path, x_credential=key)
        assert resp.status == 503
        assert float(dict(resp.headers)[b'retry-after']) > 0
    assert (await harness.send_request('/read/x')).status == 200
    harness.store.faults.clear()
    with trio.fail_after(3):
        while (await harness.send_request('/new/x')).status == 503:
            await trio.sleep(0.1)
    resp = await harness.send_request('/read/x', x_credential='new-key')
    assert resp.status == 401


async def test_request_without_any_target_is_refused_immediately(harness):
    for name in ('i-1', 'i-2'):
        harness.store.delete(f'servers/{name}')
    await trio.sleep(0.3)
    started_at = trio.current_time()
    resp = await harness.send_request('/book/x', 'POST', b'kilograms')
    assert resp.status == 503
    assert trio.current_time() - started_at < 0.2


async def test_stopping_router_serves_requests_and_closes_connections(harness):
    assert (await harness.send_request('/read/x')).status == 200
    harness.router.stop_requested.set()
    await trio.sleep(0.1)
    assert harness.router.not_ready_reason() == 'stopping'
    resp = await harness.send_request('/read/x')
    assert resp.status == 200
    assert dict(resp.headers)[b'connection'] == b'close'
