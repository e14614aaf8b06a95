"""The target client against valid and faulty responses of targets."""

import time
from functools import partial

import httpcore
import pytest
import trio

from peridotwell.attempt_errors import (
    ConnectionFailed,
    RefusedByTarget,
    ResponseLost,
    ResponseMismatch,
    ResponseTimeout,
    ResponseTruncated,
)
from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.serving.asgi import serve_http
from peridotwell.serving.event_stream import (
    EventLimit,
    split_events,
    validated_events,
)
from peridotwell.serving.request_parser import forwarded_headers
from peridotwell.serving.target_client import (
    ResponseTimeouts,
    TargetClient,
    TargetHealth,
)
from peridotwell.serving.target_response import BodyEnd
from tests.kept_target import EVENT, KeptTarget
from tests.raw_server import raw_server, response
from tests.raw_target import RawResponse, RawTarget

OWN_REQUEST_ID = 'x-request-id: mine'
CHUNKED = 'transfer-encoding: chunked'

MAX_SILENCE_SECONDS = 0.2
# Longer than this process may stand still beside others.
MAX_RESPONSE_SECONDS = 5


def make_client(address):
    return TargetClient(
        Target('t', address, TargetKind.service, Pool('dc1', 'ledger'))
    )


async def fetch(
    address,
    *,
    new_connection=True,
    require_request_id=True,
    max_seconds=MAX_SILENCE_SECONDS,
):
    request = httpcore.Request(
        'GET',
        f'http://{address}/',
        headers=[('host', address), ('x-request-id', 'mine')],
    )
    response_context = make_client(address).send(
        request,
        ResponseTimeouts(max_seconds, max_seconds),
        new_connection=new_connection,
        require_request_id=require_request_id,
    )
    async with response_context as target_response:
        return target_response.status, await target_response.read_body()


RESPONSES = {
    'complete': (response(200, b'abc', OWN_REQUEST_ID), False, (200, b'abc')),
    'error status': (response(500, b'x', OWN_REQUEST_ID), False, (500, b'x')),
    'chunked': (
        response(
            200, b'3\r\nabc\r\n0\r\n\r\n', OWN_REQUEST_ID, CHUNKED, length=0
        ),
        False,
        (200, b'abc'),
    ),
    'refusal': (
        response(503, b'', 'x-refused: leaving'),
        False,
        RefusedByTarget,
    ),
    'truncated': (
        response(200, b'ab', OWN_REQUEST_ID, length=9),
        False,
        ResponseTruncated,
    ),
    'truncated chunk': (
        response(200, b'9\r\nabc', OWN_REQUEST_ID, CHUNKED, length=0),
        False,
        ResponseTruncated,
    ),
    'no marked end': (
        response(200, b'abc', OWN_REQUEST_ID, length=0),
        False,
        ResponseTruncated,
    ),
    'of another request': (
        response(200, b'x', 'x-request-id: other'),
        False,
        ResponseMismatch,
    ),
    'without request id': (response(200, b'x'), False, ResponseMismatch),
    'invalid response': (b'\x00\x01\x02\r\n\r\n', False, ResponseLost),
    'closed without a response': (b'', False, ResponseLost),
    'no response': (b'', True, ResponseTimeout),
    'timeout within the body': (
        response(200, b'ab', OWN_REQUEST_ID, length=9),
        True,
        ResponseTimeout,
    ),
}


@pytest.mark.parametrize('new_connection', [True, False])
@pytest.mark.parametrize('name', RESPONSES)
async def test_each_response_has_its_outcome(name, new_connection):
    response_bytes, silent, outcome = RESPONSES[name]
    max_seconds = MAX_SILENCE_SECONDS if silent else MAX_RESPONSE_SECONDS
    async with raw_server(response_bytes, silent=silent) as address:
        fetch_response = partial(
            fetch,
            address,
            new_connection=new_connection,
            max_seconds=max_seconds,
        )
        if isinstance(outcome, tuple):
            assert await fetch_response() == outcome
            return
        with pytest.raises(outcome) as caught:
            await fetch_response()
        assert caught.value.may_have_run is (outcome is not RefusedByTarget)


STATUS_LINE = ('HTTP/1.1 200 OK', '')
HEADS_WITHOUT_END = {
    'fields': RawResponse(STATUS_LINE, endless=b'x-a: b\r\n'),
    'a field': RawResponse((*STATUS_LINE[:1], 'x-a: '), endless=b'y' * 4096),
    'interim responses': RawResponse(
        ('',), endless=b'HTTP/1.1 100 Continue\r\n\r\n'
    ),
    'fields now and then': RawResponse(
        STATUS_LINE, endless=b'x-a: b\r\n', pause_seconds=0.05
    ),
    'interim responses now and then': RawResponse(
        ('',), endless=b'HTTP/1.1 100 Continue\r\n\r\n', pause_seconds=0.05
    ),
}


# Guards against a head without an end that holds a request until its deadline.
@pytest.mark.parametrize('name', HEADS_WITHOUT_END)
async def test_head_without_end_is_given_up_in_time(nursery, name):
    address = await RawTarget([HEADS_WITHOUT_END[name]]).start(nursery)
    with trio.fail_after(1), pytest.raises((ResponseTimeout, ResponseLost)):
        await fetch(address)


async def test_body_without_end_is_given_up_at_its_limit(nursery):
    head = ('HTTP/1.1 200 OK', OWN_REQUEST_ID, CHUNKED, '', 'fffffff', '')
    endless = RawResponse(head, endless=b'y' * 65536)
    address = await RawTarget([endless]).start(nursery)
    with trio.fail_after(5), pytest.raises(ResponseTruncated):
        await fetch(address)


async def test_repeated_headers_are_all_forwarded():
    cookies = ('set-cookie: a=1', 'set-cookie: b=2', 'connection: close')
    async with raw_server(response(200, b'', *cookies)) as address:
        request = httpcore.Request(
            'GET', f'http://{address}/', headers=[('host', address)]
        )
        async with make_client(address).send(
            request, ResponseTimeouts(0.2, 0.2)
        ) as target_response:
            passed = forwarded_headers(target_response.fields)
    assert passed == (('set-cookie', 'a=1'), ('set-cookie', 'b=2'))


@pytest.mark.parametrize(
    ('response_bytes', 'outcome'),
    [
        (response(200, b'x'), (200, b'x')),
        (response(200, b'x', 'x-request-id: other'), ResponseMismatch),
    ],
)
async def test_request_id_may_be_missing_but_not_differ(
    response_bytes, outcome
):
    async with raw_server(response_bytes) as address:
        if outcome is not ResponseMismatch:
            assert await fetch(address, require_request_id=False) == outcome
            return
        with pytest.raises(ResponseMismatch):
            await fetch(address, require_request_id=False)


async def test_failed_connection_means_nothing_was_sent():
    with pytest.raises(ConnectionFailed) as caught:
        await fetch('127.0.0.1:1')
    assert not caught.value.may_have_run


async def test_invalid_health_response_is_a_typed_error():
    async with raw_server(response(200, b'[')) as address:
        with pytest.raises(ResponseTruncated):
            await make_client(address).check_health()


def event(position, request_id='mine'):
    return b'id: %d\ndata: {"id":"%b"}\n\n' % (position, request_id.encode())


DONE = b'data: [DONE]\n\n'
STREAMS = {
    'complete': ([event(1), event(2), DONE], 0, [1, 2, 0]),
    'in one-byte chunks': (
        [bytes((byte,)) for byte in event(1) + event(2) + DONE],
        0,
        [1, 2, 0],
    ),
    'resumed': ([event(3), event(4), DONE], 2, [3, 4, 0]),
    'resumed too early': ([event(1), event(2), event(3), DONE], 2, [3, 0]),
    'repeated': ([event(1), event(1), event(2), DONE], 0, [1, 2, 0]),
    'gap': ([event(1), event(3)], 0, ResponseTruncated),
    'resumed too late': ([event(5)], 2, ResponseTruncated),
    'ended early': ([event(1)], 0, ResponseTruncated),
    'ended within an event': ([event(1)[:-3]], 0, ResponseTruncated),
    'without token numbers': (
        [b'data: {"id":"mine"}\n\n'],
        0,
        ResponseTruncated,
    ),
    'event of another request': (
        [event(1), event(2, 'other'), DONE],
        0,
        ResponseMismatch,
    ),
    'endless event': ([b'x' * 600_000] * 2, 0, ResponseTruncated),
}


async def iterate_chunks(chunks):
    for chunk in chunks:
        yield chunk


@pytest.mark.parametrize('name', STREAMS)
async def test_stream_is_complete_and_in_order_or_an_error(name):
    chunks, received, outcome = STREAMS[name]
    events = validated_events(
        split_events(iterate_chunks(chunks), EventLimit(1)), received, 'mine'
    )
    if isinstance(outcome, list):
        positions = [event.position async for event in events]
        assert positions == outcome
        return
    with pytest.raises(outcome):
        positions = [event.position async for event in events]


async def fetch_all(nursery, target, *request_ids):
    """Send requests one after the other; return the bodies."""
    address = await target.start(nursery)
    client = make_client(address)
    bodies = []
    for request_id in request_ids:
        request = httpcore.Request(
            'GET',
            f'http://{address}/',
            headers=[('host', address), ('x-request-id', request_id)],
        )
        timeouts = ResponseTimeouts(MAX_RESPONSE_SECONDS, MAX_RESPONSE_SECONDS)
        async with client.send(request, timeouts) as target_response:
            bodies.append(await target_response.read_body())
    return bodies


# Guards against "not run" for a request whose response cannot be told from an
# earlier refusal: of another id, or of none.
@pytest.mark.parametrize(
    ('request_id_line', 'second_id'),
    [
        ('x-request-id: {last}\r\n', 'b'),
        ('', 'b'),
    ],
)
async def test_an_earlier_refusal_is_not_one_of_the_next_request(
    nursery, request_id_line, second_id
):
    extra = (
        'HTTP/1.1 503 x\r\nx-refused: full\r\n'
        f'{request_id_line}content-length: 0\r\n\r\n'
    )
    with pytest.raises(ResponseMismatch) as caught:
        await fetch_all(nursery, KeptTarget(extra), 'a', second_id)
    assert caught.value.may_have_run


# Guards against an answer to an earlier attempt, sent once more and late, that
# a later attempt with the same id takes for its own.
@pytest.mark.parametrize(
    'head',
    ['200 x\r\ncontent-length: 5', '503 x\r\nx-refused: full'],
)
async def test_a_request_whose_id_was_just_used_gets_its_own_response(
    nursery, head
):
    extra = f'HTTP/1.1 {head}\r\nx-request-id: {{last}}\r\n'
    extra += '\r\nearly' if '200' in head else 'content-length: 0\r\n\r\n'
    target = KeptTarget(extra)
    bodies = await fetch_all(nursery, target, 'a', 'a', 'a')
    assert bodies == [EVENT] * 3
    assert not target.extras_sent
    assert target.runs == ['a', 'a', 'a']


async def test_a_refusal_with_the_id_of_its_request_is_believed(nursery):
    extra = (
        'HTTP/1.1 503 x\r\nx-refused: full\r\nx-request-id: b\r\n'
        'content-length: 0\r\n\r\n'
    )
    with pytest.raises(RefusedByTarget):
        await fetch_all(nursery, KeptTarget(extra), 'a', 'b')


# Guards against a health check whose answer is lost because this process stood
# still until its time had ended.
async def test_a_health_check_outlasts_a_standstill(nursery):
    async def handle(exchange):
        await trio.sleep(0.05)
        await exchange.respond_json({'boot': 'b1', 'slots': 2})

    async def stand_still():
        await trio.sleep(0.03)
        time.sleep(1)

    address = await nursery.start(serve_http, handle, '127.0.0.1:0')
    nursery.start_soon(stand_still)
    health = await make_client(address).check_health()
    assert health == TargetHealth('b1', slots=2)


async def test_a_health_check_ends_in_time(nursery):
    async def handle(exchange):
        await trio.sleep_forever()

    address = await nursery.start(serve_http, handle, '127.0.0.1:0')
    with trio.fail_after(1.5), pytest.raises(ResponseTimeout):
        await make_client(address).check_health()


# Guards against responses to HEAD that count as cut, or are asked for again,
# because nothing marks the end of a body that they do not have.
@pytest.mark.parametrize('is_kept', [True, False])
async def test_a_response_to_head_ends_with_its_fields(is_kept):
    sent = response(200, b'', OWN_REQUEST_ID, length=0)
    async with raw_server(sent, silent=is_kept) as address:
        request = httpcore.Request(
            'HEAD',
            f'http://{address}/',
            headers=[('host', address), ('x-request-id', 'mine')],
        )
        timeouts = ResponseTimeouts(MAX_RESPONSE_SECONDS, MAX_RESPONSE_SECONDS)
        async with make_client(address).send(request, timeouts) as received:
            assert await received.read_body() == b''
            assert received.body_end is BodyEnd.none
