"""The HTTP store against valid and faulty responses of the platform."""

import pytest
import trio

from peridotwell.errors import (
    StoreConflict,
    StoreResponseLost,
    StoreUnavailable,
)
from peridotwell.store.http_store import HttpStore
from tests.raw_server import raw_server, response
from tests.raw_target import RawResponse, RawTarget

WRITES = {
    'accepted': (response(200, b'7'), False, 7),
    'conflict': (response(409, b'x'), False, StoreConflict),
    'rate limit': (response(429, b'x'), False, StoreUnavailable),
    'down': (response(503, b'x'), False, StoreUnavailable),
    'internal error': (response(500, b'x'), False, StoreResponseLost),
    'invalid response': (b'garbage\r\n\r\n', False, StoreResponseLost),
    'invalid body': (response(200, b'{'), False, StoreResponseLost),
    'truncated': (response(200, b'7', length=5), False, StoreResponseLost),
    'closed': (b'', False, StoreResponseLost),
    'no response': (b'', True, StoreResponseLost),
}


@pytest.mark.parametrize('name', WRITES)
async def test_outcome_of_write(name):
    response_bytes, silent, outcome = WRITES[name]
    async with raw_server(response_bytes, silent=silent) as address:
        store = HttpStore(f'http://{address}', 0.2)
        if outcome == 7:
            assert await store.write('k', b'v', expected=0) == 7
            return
        with pytest.raises(outcome) as caught:
            await store.write('k', b'v', expected=0)
        assert caught.type is outcome


async def test_failed_connection_means_that_the_call_was_not_applied():
    with pytest.raises(StoreUnavailable):
        await HttpStore('http://127.0.0.1:1', 0.2).grant_lease(1)


# Guards against answers of the store that fill the memory, or take all time.
@pytest.mark.parametrize('part', [b'x' * 65536, b'x'])
async def test_a_response_without_end_counts_as_lost(nursery, part):
    chunks = b'%x\r\n%b\r\n' % (len(part), part)
    head = ('HTTP/1.1 200 OK', 'transfer-encoding: chunked', '', '')
    endless = chunks * (65536 // len(chunks) + 1)
    target = RawTarget([RawResponse(head, endless=endless)])
    address = await target.start(nursery)
    with trio.fail_after(10), pytest.raises(StoreResponseLost):
        await HttpStore(f'http://{address}', 5).read('k')


READS = {
    'absent': (response(404, b'x'), None),
    'found': (response(200, b'v', 'x-revision: 5'), (b'v', 5)),
}


@pytest.mark.parametrize('name', READS)
async def test_outcome_of_read(name):
    response_bytes, expected = READS[name]
    async with raw_server(response_bytes) as address:
        entry = await HttpStore(f'http://{address}', 0.2).read('k')
    assert (entry and (entry.value, entry.revision)) == expected


@pytest.mark.parametrize(
    'response_bytes',
    [
        response(200, b'v'),
        response(200, b'v', 'x-revision: many'),
    ],
)
async def test_read_without_valid_revision_is_rejected(response_bytes):
    async with raw_server(response_bytes) as address:
        with pytest.raises(StoreResponseLost):
            await HttpStore(f'http://{address}', 0.2).read('k')
