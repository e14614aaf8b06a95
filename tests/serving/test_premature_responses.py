"""Answers to long uploads that come early and are reset, and odd statuses."""

import httpcore
import pytest
import trio

from peridotwell.attempt_errors import AttemptError, ResponseLost
from peridotwell.domain.caller_request import CallerRequest
from peridotwell.domain.configuration import Defaults
from peridotwell.domain.contract import Contract
from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.errors import OutcomeUnknown
from peridotwell.policy.retries.retry import RetryBudget
from peridotwell.serving.request_executor import RequestExecutor
from peridotwell.serving.target_client import ResponseTimeouts, TargetClient
from tests.early_target import EarlyTarget
from tests.raw_target import RawResponse, RawTarget
from tests.serving.test_request_executor import (
    ListedTargets,
    UncheckedTargets,
)

POOL = Pool('dc1', 'ledger')
# More than the sockets of both sides hold.
LONG_BODY = bytes(8_000_000)
TIMEOUTS = ResponseTimeouts(5, 5)


def make_target(address):
    return Target('t', address, TargetKind.service, POOL)


async def fetch(address, body=b'', pause_seconds=0):
    """Return the status and the body as the forwarding path reads it."""
    request = httpcore.Request(
        'POST',
        f'http://{address}/',
        headers=[
            ('host', address),
            ('x-request-id', 'mine'),
            ('content-length', str(len(body))),
        ],
        content=body,
    )
    client = TargetClient(make_target(address))
    async with client.send(request, TIMEOUTS, new_connection=True) as response:
        # A caller that reads slowly: parts are read when it took others.
        await trio.sleep(pause_seconds)
        parts = [part async for part in response.body_chunks()]
        return response.status, b''.join(parts)


# Guards against half a response that looks whole since the connection was reset
# while the upload was still being written: the write learns of the reset.
@pytest.mark.parametrize('framing', ['unmarked', 'length', 'chunks'])
@pytest.mark.parametrize('delay_seconds', [0, 0.05, 0.5])
@pytest.mark.parametrize('reads', [False, True])
async def test_an_early_response_that_is_reset_is_never_whole(
    nursery, framing, delay_seconds, reads
):
    target = EarlyTarget(framing, delay_seconds, reads)
    with pytest.raises(AttemptError) as caught:
        await fetch(await target.start(nursery), LONG_BODY)
    assert caught.value.may_have_run


# The same where the caller is slow to take what has arrived before.
@pytest.mark.parametrize('framing', ['unmarked', 'length'])
async def test_a_reset_is_found_out_after_a_pause(nursery, framing):
    target = EarlyTarget(framing, events=500)
    with pytest.raises(AttemptError):
        await fetch(await target.start(nursery), LONG_BODY, pause_seconds=0.5)


# The same at the interface of the own contract.
@pytest.mark.parametrize('framing', ['unmarked', 'length'])
async def test_the_own_interface_reports_an_unknown_outcome(nursery, framing):
    target = make_target(await EarlyTarget(framing).start(nursery))
    request = CallerRequest(
        'r1',
        'c1',
        'interactive',
        'POST',
        '/ledger/1',
        LONG_BODY,
        Contract('/ledger', 'ledger'),
        float('inf'),
    )
    executor = RequestExecutor(
        request,
        Defaults(),
        ListedTargets([target]),
        UncheckedTargets(),
        RetryBudget(),
    )
    with pytest.raises(OutcomeUnknown):
        await executor.execute()


def with_status(status):
    fields = ('x-request-id: {id}', 'content-length: 1', '', '')
    return RawResponse((f'HTTP/1.1 {status} x', *fields), b'x')


# Guards against a status that no caller can read, RFC 9110 section 15.
@pytest.mark.parametrize(
    'status',
    ['000', '099', '0', '20', '2', '600', '700', '999', '1000', '2000', '-20'],
)
async def test_a_status_out_of_range_is_an_invalid_response(nursery, status):
    target = RawTarget([with_status(status)])
    with pytest.raises(ResponseLost):
        await fetch(await target.start(nursery))


@pytest.mark.parametrize('status', [200, 299, 418, 499, 599])
async def test_an_unusual_status_in_range_is_passed_on(nursery, status):
    target = RawTarget([with_status(status)])
    assert await fetch(await target.start(nursery)) == (status, b'x')
