"""Texts in the place of numbers that look like numbers and are none."""

import pytest

from tests.peridotwell_platform import stand_in
from tests.peridotwell_platform.test_path import harness

__all__ = ('harness',)


# Guards against requests that end without a proper response because a text of
# the caller or of a target cannot be converted.
@pytest.mark.parametrize('counts', ['²', '1²,3', '9' * 1500])
async def test_unusual_token_counts_get_a_response(harness, counts):
    resp = await harness.send_request(
        '/ask/x',
        'POST',
        b'q',
        x_model=b'm',
        x_prompt_prefix=b'a:800',
        x_token_counts=counts.encode('latin-1'),
    )
    assert resp.status in {200, 400}


# Guards against requests that end without a response because their deadline
# is not a number.
@pytest.mark.parametrize(
    ('deadline', 'status'),
    [('nan', 400), ('-nan', 400), ('x', 400), ('inf', 200), ('1e400', 200)],
)
async def test_unusual_deadlines_get_a_response(harness, deadline, status):
    resp = await harness.send_request(
        '/read/x', 'POST', b'q', x_deadline_ms=deadline
    )
    assert resp.status == status


async def test_unusual_load_report_does_not_lose_a_response(harness):
    async def respond(target, exchange):
        fields = (
            *stand_in.receipt_headers(target, exchange)[:2],
            ('x-replica-load', '1,²,6'),
        )
        await exchange.respond(200, b'done', fields)

    harness.script_responses(respond)
    resp = await harness.send_request('/read/x', 'POST', b'q')
    assert (resp.status, resp.content) == (200, b'done')


async def test_unusual_event_ids_do_not_lose_a_response(harness):
    content = b'id: 1\ndata: x\n\nid: \xb2\ndata: x\n\n'

    async def respond(target, exchange):
        await exchange.respond(
            200, content, stand_in.receipt_headers(target, exchange)
        )

    harness.script_responses(respond)
    resp = await harness.send_request('/ask/x', 'POST', b'q')
    assert (resp.status, resp.content) == (200, content)
