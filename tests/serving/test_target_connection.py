"""Interim responses before a response."""

import httpcore
import pytest
import trio

from peridotwell.serving.connection_pool import ConnectionPool
from peridotwell.serving.target_connection import MAX_INTERIM_RESPONSES
from tests.raw_target import RawResponse, RawTarget

INTERIM = ('HTTP/1.1 103 Early Hints', '')
RESPONSE = ('HTTP/1.1 200 OK', 'content-length: 0', '', '')


async def ask(nursery, interim_responses):
    response = RawResponse((*(INTERIM * interim_responses), *RESPONSE))
    address = await RawTarget([response]).start(nursery)
    pool = ConnectionPool(1)
    with trio.fail_after(5):
        return await pool.request('GET', f'http://{address}/')


async def test_a_response_after_interim_ones_is_read(nursery):
    resp = await ask(nursery, MAX_INTERIM_RESPONSES)
    assert resp.status == 200


# Guards against interim responses without end.
async def test_too_many_interim_responses_are_an_error(nursery):
    with pytest.raises(httpcore.RemoteProtocolError):
        await ask(nursery, MAX_INTERIM_RESPONSES + 1)
