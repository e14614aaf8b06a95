"""Streams that break off, whose next target does not answer with the rest."""

import httpcore
import pytest
import trio

from tests.peridotwell_platform import cut_fleet
from tests.raw_target import RawResponse, RawTarget

HEAD = ('x-request-id: {id}', 'x-server-seal: s')
STREAM = 'content-type: text/event-stream'
CHUNKED = 'transfer-encoding: chunked'
EVENTS = b'id: 1\ndata: x\n\nid: 2\ndata: x\n\n'
REST = b'id: 3\ndata: x\n\n'
WHOLE = EVENTS + REST
REFUSED = 503
MAX_REFUSED_SECONDS = 10
ERROR = b'{"error": "no such stream"}'


def chunk(content):
    return b'%x\r\n%b\r\n' % (len(content), content)


def answer(status, *fields, body=ERROR):
    length = f'content-length: {len(body)}'
    head = (f'HTTP/1.1 {status} x', *HEAD, *fields, length, '', '')
    return RawResponse(head, body)


BEGUN = RawResponse(
    ('HTTP/1.1 200 OK', *HEAD, STREAM, CHUNKED, '', ''),
    chunk(EVENTS) + chunk(b'id: 3\nda'),
)
GOES_ON = RawResponse(
    ('HTTP/1.1 200 OK', *HEAD, STREAM, CHUNKED, '', ''),
    chunk(REST) + b'0\r\n\r\n',
)
FAILURES = {
    'error': answer(500),
    'error without an id': RawResponse(
        ('HTTP/1.1 500 x', f'content-length: {len(ERROR)}', '', ''), ERROR
    ),
    'not found': answer(404),
    'error of a gateway': answer(503, 'content-type: text/html'),
    'success without content': RawResponse(('HTTP/1.1 204 x', *HEAD, '', '')),
    'another success': answer(201, STREAM, body=WHOLE),
    'document': answer(200, 'content-type: application/json'),
    'empty document': answer(200, 'content-type: text/html', body=b''),
    'redirect': answer(302, 'location: /x'),
    'error that looks like events': answer(500, STREAM, body=b'data: x\n\n'),
    'head in the body': RawResponse(
        ('HTTP/1.1 500 x', *HEAD, CHUNKED, '', ''),
        chunk(b'HTTP/1.1 500 x\r\n\r\n') + b'0\r\n\r\n',
    ),
    'part of a head': RawResponse(('HTTP/1.1 200 OK', HEAD[0])),
    'head without its end': RawResponse(
        ('HTTP/1.1 200 OK', *HEAD, STREAM, CHUNKED, '')
    ),
}


async def start_fleet(nursery, responses):
    """Start two routers, and a raw target for each list of responses."""
    targets = [RawTarget(list(each)) for each in responses]
    return await cut_fleet.start_raw_fleet(nursery, targets)


async def start_breaking_fleet(nursery, response, *, is_handed_over):
    """Start two targets; the first request breaks off, the next gets this."""
    fleet = await start_fleet(nursery, [[BEGUN, response]] * 2)
    # Whichever target is first begins the stream.
    requests = fleet.targets[0].requests
    fleet.targets[1].requests = requests
    if is_handed_over:
        await fleet.cut(0, 'refused')
    return fleet


async def read_stream(fleet, path='/ask/x', **fields):
    """Return the status, the body, and whether it ended as complete."""
    body = b''
    headers = cut_fleet.router_setup.caller_headers(
        0, **{'x-deadline-ms': '2500', **fields}
    )
    url = f'http://{fleet.routers[0].callers}{path}'
    async with (
        httpcore.AsyncConnectionPool() as pool,
        pool.stream('POST', url, headers=headers, content=b'q') as resp,
    ):
        try:
            async for part in resp.aiter_stream():
                body += part
        except httpcore.RemoteProtocolError:
            return resp.status, body, False
        return resp.status, body, True


async def read_begun_stream(fleet):
    """Read a stream, again while it is refused before a target has it.

    On a busy machine, a router that is cut may not know the other one yet.
    """
    with trio.fail_after(MAX_REFUSED_SECONDS):
        while True:
            stream = await read_stream(fleet)
            if fleet.targets[0].requests or stream[0] != REFUSED:
                return stream
            await trio.sleep(0.1)


# Guards against errors, or their heads, within a caller's stream, and against
# streams that end as complete although their rest is missing.
@pytest.mark.parametrize('is_handed_over', [False, True])
@pytest.mark.parametrize('name', FAILURES)
async def test_an_error_does_not_continue_a_stream(
    nursery, name, is_handed_over
):
    fleet = await start_breaking_fleet(
        nursery, FAILURES[name], is_handed_over=is_handed_over
    )
    assert await read_begun_stream(fleet) == (200, EVENTS, False)


@pytest.mark.parametrize('is_handed_over', [False, True])
async def test_the_rest_of_a_stream_continues_it(nursery, is_handed_over):
    fleet = await start_breaking_fleet(
        nursery, GOES_ON, is_handed_over=is_handed_over
    )
    assert await read_begun_stream(fleet) == (200, WHOLE, True)


HEAD_LINES = ('HTTP/1.1 200 OK', *HEAD, 'content-length: 4', '')
WHOLE_HEAD = '\r\n'.join((*HEAD_LINES, ''))
# Within the status line, within and after fields, and before the empty line.
CUTS = (1, 9, 12, 15, 17, 25, 40, 60, len(WHOLE_HEAD) - 3, len(WHOLE_HEAD) - 2)


# Guards against a success with an empty or short body for a response whose
# target broke off within its head.
@pytest.mark.parametrize('path', ['/read/x', '/book/x', '/draft/x', '/ask/x'])
@pytest.mark.parametrize('is_handed_over', [False, True])
async def test_a_head_that_breaks_off_is_no_response(
    nursery, path, is_handed_over
):
    responses = [RawResponse((WHOLE_HEAD[:length],)) for length in CUTS]
    fleet = await start_fleet(nursery, [responses])
    if is_handed_over:
        await fleet.cut(0, 'refused')
    statuses = []
    while len(fleet.targets[0].requests) < len(CUTS):
        status, _, is_complete = await read_stream(fleet, path)
        statuses.append(status)
        assert is_complete
        if status == 503:
            # The target is not used for a moment after its failures.
            await trio.sleep(0.2)
    assert set(statuses) <= {502, 503}
    assert 502 in statuses


async def test_a_head_that_breaks_off_does_not_resume_a_stream(nursery):
    responses = [RawResponse((WHOLE_HEAD[:length],)) for length in CUTS]
    fleet = await start_fleet(nursery, [responses])
    status, _, _ = await read_stream(
        fleet, **{'last-event-id': '2', 'resumes': 'earlier'}
    )
    assert status == 502
