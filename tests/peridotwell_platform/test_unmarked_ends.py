"""Responses whose ends nothing marks but the ends of their connections."""

import base64

import msgspec
import pytest
import trio

from tests.peridotwell_platform import cut_fleet
from tests.peridotwell_platform.router_setup import caller_headers
from tests.peridotwell_platform.stream_ends import (
    Got,
    caller_of,
    chunked,
    events,
    read_answer,
    request_until_asked,
    unmarked,
    use_raw_targets,
)
from tests.peridotwell_platform.test_path import harness
from tests.raw_target import RawResponse, RawTarget

__all__ = ('harness',)

STREAM_PATHS = ('/draft/x', '/ask/x')
PATHS = (*STREAM_PATHS, '/read/x', '/book/x')
# Callers leave a stream after two seconds without an event, or later.
CALLER_SECONDS = 2.0
TRIES = 40
# So many responses show that a service marks no ends.
RESPONSES = 12


def with_length(body: bytes) -> RawResponse:
    head = chunked(b'').head[:4]
    return RawResponse((*head, f'content-length: {len(body)}', '', ''), body)


async def get_begun(harness, nursery, begun, rest, path='/ask/x'):
    """Return what a caller gets of a stream that begins at one target.

    `rest` are the responses of another target, if it is asked for the rest.
    """
    first, other = RawTarget([begun]), RawTarget(rest)
    await use_raw_targets(harness, nursery, first, other)
    for number in range(TRIES):
        first.requests.clear()
        other.requests.clear()
        got = await caller_of(harness, path)(number)
        if first.requests and b'last-event-id' not in b''.join(first.requests):
            return got, b''.join(other.requests).lower()
    return pytest.fail('no stream began at the first target')


# Guards against ends that are passed on stronger than they were: a target that
# breaks off between two events closes its connection as after a whole stream.
@pytest.mark.parametrize('path', PATHS)
async def test_an_end_that_is_not_marked_is_passed_on_so(
    harness, nursery, path
):
    target = RawTarget([unmarked(events(1, 2))])
    await use_raw_targets(harness, nursery, target)
    got = await request_until_asked(caller_of(harness, path), target)
    assert got == Got(200, events(1, 2), 'connection')


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('make', [chunked, with_length])
async def test_an_end_that_is_marked_is_passed_on_so(
    harness, nursery, path, make
):
    target = RawTarget([make(events(1, 2))])
    await use_raw_targets(harness, nursery, target)
    got = await request_until_asked(caller_of(harness, path), target)
    assert (got.content, got.end) == (
        events(1, 2),
        'chunks' if path in STREAM_PATHS else 'length',
    )


# Guards against the ordinary end of a connection to a caller after a break.
async def test_a_stream_without_a_mark_that_breaks_off_is_reset(
    harness, nursery
):
    target = RawTarget([unmarked(events(1, 2), reset=True)])
    await use_raw_targets(harness, nursery, target)
    got = await request_until_asked(caller_of(harness, '/draft/x'), target)
    assert got == Got(200, events(1, 2), 'cut')


# Guards against streams that end before their last event at a target that lives
# and closes in the ordinary way, although another one has the rest.
async def test_the_rest_of_a_stream_that_may_be_cut_is_asked_for(
    harness, nursery
):
    got, asked = await get_begun(
        harness, nursery, unmarked(events(1, 2)), [chunked(events(3, 4))]
    )
    assert b'last-event-id: 2' in asked
    assert (got.content, got.end) == (events(1, 2, 3, 4), 'connection')


# Guards against whole streams that are lost because their end is not marked,
# or that their callers leave meanwhile.
@pytest.mark.parametrize(
    'rest',
    [
        chunked(b''),
        with_length(b''),
        unmarked(b''),
        RawResponse(('HTTP/1.1 404 x', 'x-request-id: {id}', '', '')),
        RawResponse(('HTTP/1.1 204 x', 'x-request-id: {id}', '', '')),
        RawResponse(('',), reset=True),
        RawResponse(('',), endless=b'\r\n', pause_seconds=0.5),
    ],
)
async def test_a_whole_stream_without_a_mark_reaches_its_caller(
    harness, nursery, rest
):
    started_at = trio.current_time()
    got, _ = await get_begun(harness, nursery, unmarked(events(1, 2)), [rest])
    assert got == Got(200, events(1, 2), 'connection')
    assert trio.current_time() - started_at < CALLER_SECONDS + 1


# Guards against the last chunk behind a stream that began in chunks, broke off,
# and whose rest came without a mark.
@pytest.mark.parametrize('numbers', [(), (3,), (3, 4)])
async def test_a_stream_in_chunks_does_not_end_with_an_unmarked_rest(
    harness, nursery, numbers
):
    begun = chunked(events(1, 2), is_whole=False)
    got, asked = await get_begun(
        harness, nursery, begun, [unmarked(events(*numbers))]
    )
    assert b'last-event-id: 2' in asked
    assert (got.content, got.end) == (events(1, 2, *numbers), 'cut')


# Guards against a rest that breaks off and whose caller sees an ordinary end.
async def test_a_rest_that_breaks_off_is_reset(harness, nursery):
    got, _ = await get_begun(
        harness,
        nursery,
        unmarked(events(1, 2)),
        [chunked(events(3), is_whole=False)],
    )
    assert (got.content, got.end) == (events(1, 2, 3), 'cut')


# Guards against retries for each stream of a service that marks no ends.
async def test_the_ends_of_a_service_that_marks_none_are_believed(
    harness, nursery
):
    targets = [RawTarget([unmarked(events(1, 2))]) for _ in range(2)]
    await use_raw_targets(harness, nursery, *targets)
    send = caller_of(harness, '/ask/x')
    for number in range(RESPONSES):
        await send(number)
    for target in targets:
        target.requests.clear()
    assert await send(RESPONSES) == Got(200, events(1, 2), 'connection')
    assert sum(len(target.requests) for target in targets) == 1


async def start_handovers(nursery, *targets):
    """Start two routers, the first of which hands all requests over."""
    fleet = await cut_fleet.start_raw_fleet(nursery, targets)
    await fleet.cut(0, 'refused')
    return fleet


async def get_over(fleet, path) -> Got:
    """Return what the caller of the first router gets."""
    for number in range(TRIES):
        headers = caller_headers(number, x_deadline_ms='3000')
        got = await read_answer(fleet.routers[0].callers, path, headers)
        if got.status != 503:
            return got
        await trio.sleep(0.1)
    return pytest.fail('no request was handed over')


# Guards against the mark of the router that serves a handover, passed on by the
# other one as if it were the target's.
@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize(
    ('make', 'ends'),
    [
        (unmarked, ('connection', 'connection')),
        (chunked, ('chunks', 'length')),
        (with_length, ('chunks', 'length')),
    ],
)
async def test_an_end_passes_two_routers_as_it_was(nursery, path, make, ends):
    fleet = await start_handovers(nursery, RawTarget([make(events(1, 2))]))
    got = await get_over(fleet, path)
    is_stream = path in STREAM_PATHS
    assert got == Got(200, events(1, 2), ends[0] if is_stream else ends[1])


# Guards against a break of that router, taken for the end of the target.
@pytest.mark.parametrize('path', STREAM_PATHS)
@pytest.mark.parametrize('how', ['reset', 'within an event', 'router'])
async def test_a_break_behind_another_router_is_no_end(nursery, path, how):
    response = {
        'reset': unmarked(events(1, 2), reset=True),
        'within an event': unmarked(events(1, 2) + b'id: 3\nda'),
        'router': RawResponse(
            unmarked(b'').head,
            events(1, 2),
            endless=b':\n\n',
            pause_seconds=0.1,
        ),
    }[how]
    target = RawTarget([response])
    fleet = await start_handovers(nursery, target)

    async def end_router():
        while not target.requests:
            await trio.sleep(0.01)
        await trio.sleep(0.3)
        fleet.routers[1].scope.cancel()

    if how == 'router':
        nursery.start_soon(end_router)
    got = await get_over(fleet, path)
    assert got.content.startswith(events(1, 2))
    assert got.end == 'cut'


# Guards against fields of a target that look like those between routers.
async def test_a_target_does_not_speak_for_a_router(harness, nursery):
    head = ('HTTP/1.1 200 OK', 'x-request-id: {id}', 'x-server-seal: s')
    body = b'0\r\n\r\n'
    field = 'peridotwell-handover-end: unmarked'
    response = RawResponse(
        (*head, field, 'transfer-encoding: chunked', '', ''),
        b'1\r\nx\r\n' + body,
    )
    target = RawTarget([response])
    await use_raw_targets(harness, nursery, target)
    got = await request_until_asked(caller_of(harness, '/read/x'), target)
    assert got == Got(200, b'x', 'length')


# Guards against a rest of another software version behind an unmarked end.
async def test_the_rest_is_asked_for_at_the_same_version_only(harness, nursery):
    first = RawTarget([unmarked(events(1, 2))])
    other = RawTarget([chunked(events(3, 4))])
    await use_raw_targets(harness, nursery, first, other)
    for number, version in enumerate(('v1', 'v1.1')):
        key = f'servers/raw-{number}'
        entry = msgspec.json.decode(
            base64.b64decode(harness.store.items[key]['value'])
        )
        content = msgspec.json.encode({**entry, 'version': version})
        harness.store.put(key, content)
    await trio.sleep(0.3)
    got = await request_until_asked(caller_of(harness, '/ask/x'), first)
    assert got == Got(200, events(1, 2), 'connection')
    assert b'last-event-id' not in b''.join(other.requests).lower()


# Guards against streams of which nothing tells where another target goes on.
async def test_a_stream_without_ids_is_not_joined_with_another_run(
    harness, nursery
):
    begun = chunked(b'data: x\n\n', is_whole=False)
    got, asked = await get_begun(
        harness, nursery, begun, [chunked(b'data: y\n\n')]
    )
    assert (got.content, got.end) == (b'data: x\n\n', 'cut')
    assert not asked
