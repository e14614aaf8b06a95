"""The contract of targets, with their faults as bytes on the wire."""

import httpcore
import pytest

from peridotwell.attempt_errors import (
    ConnectionFailed,
    RefusedByTarget,
    ResponseLost,
    ResponseMismatch,
    ResponseTimeout,
    ResponseTruncated,
)
from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.serving.event_stream import split_events, validated_events
from peridotwell.serving.request_parser import forwarded_headers
from peridotwell.serving.target_client import ResponseTimeouts, TargetClient
from tests.raw_server import raw_server, response

OWN = 'x-request-id: mine'
CHUNKED = 'transfer-encoding: chunked'


def make_link(address):
    return TargetClient(
        Target('t', address, TargetKind.service, Pool('dc1', 'ledger'))
    )


async def fetch(address, *, new_connection=True, require_request_id=True):
    request = httpcore.Request(
        'GET',
        f'http://{address}/',
        headers=[('host', address), ('x-request-id', 'mine')],
    )
    sending = make_link(address).send(
        request,
        ResponseTimeouts(0.2, 0.2),
        new_connection=new_connection,
        require_request_id=require_request_id,
    )
    async with sending as answer:
        return answer.status, await answer.read_body()


ANSWERS = {
    'whole': (response(200, b'abc', OWN), False, (200, b'abc')),
    'an error of its own': (response(500, b'x', OWN), False, (500, b'x')),
    'chunked': (
        response(200, b'3\r\nabc\r\n0\r\n\r\n', OWN, CHUNKED, length=0),
        False,
        (200, b'abc'),
    ),
    'refusal': (
        response(503, b'', 'x-refused: leaving'),
        False,
        RefusedByTarget,
    ),
    'cut': (response(200, b'ab', OWN, length=9), False, ResponseTruncated),
    'cut chunk': (
        response(200, b'9\r\nabc', OWN, CHUNKED, length=0),
        False,
        ResponseTruncated,
    ),
    'no marked end': (
        response(200, b'abc', OWN, length=0),
        False,
        ResponseTruncated,
    ),
    'of another request': (
        response(200, b'x', 'x-request-id: other'),
        False,
        ResponseMismatch,
    ),
    'of nobody': (response(200, b'x'), False, ResponseMismatch),
    'garbage': (b'\x00\x01\x02\r\n\r\n', False, ResponseLost),
    'closed': (b'', False, ResponseLost),
    'silent': (b'', True, ResponseTimeout),
    'silent in the middle': (
        response(200, b'ab', OWN, length=9),
        True,
        ResponseTimeout,
    ),
}


@pytest.mark.parametrize('new_connection', [True, False])
@pytest.mark.parametrize('name', ANSWERS)
async def test_every_ending_has_its_kind(name, new_connection):
    answer, silent, outcome = ANSWERS[name]
    async with raw_server(answer, silent=silent) as address:
        if isinstance(outcome, tuple):
            assert (
                await fetch(address, new_connection=new_connection) == outcome
            )
            return
        with pytest.raises(outcome) as caught:
            await fetch(address, new_connection=new_connection)
        assert caught.value.may_have_run is (outcome is not RefusedByTarget)


async def test_repeated_headers_are_all_passed_on():
    cookies = ('set-cookie: a=1', 'set-cookie: b=2', 'connection: close')
    async with raw_server(response(200, b'', *cookies)) as address:
        request = httpcore.Request(
            'GET', f'http://{address}/', headers=[('host', address)]
        )
        async with make_link(address).send(
            request, ResponseTimeouts(0.2, 0.2)
        ) as answer:
            passed = forwarded_headers(answer.fields)
    assert passed == (('set-cookie', 'a=1'), ('set-cookie', 'b=2'))


@pytest.mark.parametrize(
    ('answer', 'outcome'),
    [
        (response(200, b'x'), (200, b'x')),
        (response(200, b'x', 'x-request-id: other'), ResponseMismatch),
    ],
)
async def test_services_need_not_echo_but_never_another_id(answer, outcome):
    async with raw_server(answer) as address:
        if outcome is not ResponseMismatch:
            assert await fetch(address, require_request_id=False) == outcome
            return
        with pytest.raises(ResponseMismatch):
            await fetch(address, require_request_id=False)


async def test_no_connection_means_nothing_was_sent():
    with pytest.raises(ConnectionFailed) as caught:
        await fetch('127.0.0.1:1')
    assert not caught.value.may_have_run


async def test_health_that_is_garbage_is_a_typed_error():
    async with raw_server(response(200, b'[')) as address:
        with pytest.raises(ResponseTruncated):
            await make_link(address).check_health()


def event(position, owner='mine'):
    return b'id: %d\ndata: {"id":"%b"}\n\n' % (position, owner.encode())


DONE = b'data: [DONE]\n\n'
STREAMS = {
    'whole': ([event(1), event(2), DONE], 0, [1, 2, 0]),
    'in small parts': (
        [bytes((byte,)) for byte in event(1) + event(2) + DONE],
        0,
        [1, 2, 0],
    ),
    'resumed': ([event(3), event(4), DONE], 2, [3, 4, 0]),
    'resumed too early': ([event(1), event(2), event(3), DONE], 2, [3, 0]),
    'repeated': ([event(1), event(1), event(2), DONE], 0, [1, 2, 0]),
    'gap': ([event(1), event(3)], 0, ResponseTruncated),
    'resumed too late': ([event(5)], 2, ResponseTruncated),
    'stopped': ([event(1)], 0, ResponseTruncated),
    'stopped in an event': ([event(1)[:-3]], 0, ResponseTruncated),
    'without numbers': ([b'data: {"id":"mine"}\n\n'], 0, ResponseTruncated),
    'crossed': ([event(1), event(2, 'other'), DONE], 0, ResponseMismatch),
    'endless event': ([b'x' * 600_000] * 2, 0, ResponseTruncated),
}


async def as_parts(parts):
    for part in parts:
        yield part


@pytest.mark.parametrize('name', STREAMS)
async def test_stream_is_in_order_or_an_error(name):
    parts, received, outcome = STREAMS[name]
    events = validated_events(split_events(as_parts(parts)), received, 'mine')
    if isinstance(outcome, list):
        positions = [event.position async for event in events]
        assert positions == outcome
        return
    with pytest.raises(outcome):
        positions = [event.position async for event in events]
