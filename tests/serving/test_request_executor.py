"""What the executor reports when targets fail one after the other."""

import pytest
import trio

from peridotwell.attempt_errors import TargetLeft
from peridotwell.domain.caller_request import CallerRequest
from peridotwell.domain.configuration import Defaults
from peridotwell.domain.contract import Contract
from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.errors import NoTarget, RunState, TargetFailed
from peridotwell.policy.retries.retry import RetryBudget
from peridotwell.serving.outstanding_requests import OutstandingRequests
from peridotwell.serving.request_executor import RequestExecutor
from peridotwell.serving.target_client import TargetClient
from tests.raw_target import RawResponse, RawTarget

BROKEN_OFF = RawResponse(('HTTP/1.1 200 OK', 'content-length: 9', '', 'ab'))
REFUSED = RawResponse(
    ('HTTP/1.1 503 x', 'x-refused: leaving', 'content-length: 0', '', '')
)


class ListedTargets:
    """Places a request on each target once, in order."""

    def __init__(self, targets):
        self.targets = targets

    async def place(self, placement_request):
        if not self.targets:
            raise NoTarget('No target is left.')
        return self.targets.pop(0)

    def release(self, placement_request, target):
        """Give the target back."""


class UncheckedTargets:
    """Gives out clients and believes all targets to be live but some."""

    left: frozenset[str] = frozenset()

    def __init__(self):
        self.outstanding = OutstandingRequests()

    def begin_sending(self, target, outstanding):
        if target.name in self.left:
            raise TargetLeft(target.name)
        outstanding.record_sent(trio.current_time())

    def record_sign(self, target):
        self.outstanding.record_sign(target, trio.current_time())

    def client(self, target):
        return TargetClient(target)

    def is_suspect(self, request):
        return False

    def record_refusal(self, target, reason):
        """Ignore the refusal."""

    def record_response(self, target, request):
        """Ignore the response."""

    async def check_for_loss(self, target, request):
        """Do not check the target."""


async def make_executor(nursery, responses, path='/ledger/1'):
    targets = []
    for number, response in enumerate(responses):
        target = (
            response
            if isinstance(response, RawTarget)
            else RawTarget([response])
        )
        address = await target.start(nursery)
        pool = Pool('dc1', 'ledger')
        targets.append(Target(f't{number}', address, TargetKind.service, pool))
    request = CallerRequest(
        'r1',
        'c1',
        'interactive',
        'GET',
        path,
        b'',
        Contract('/ledger', 'ledger'),
        float('inf'),
    )
    return RequestExecutor(
        request,
        Defaults(),
        ListedTargets(targets),
        UncheckedTargets(),
        RetryBudget(),
    )


async def execute(nursery, *responses):
    executor = await make_executor(nursery, responses)
    return await executor.execute()


# Guards against "not run" for a request that an earlier attempt may have run.
@pytest.mark.parametrize('responses', [(BROKEN_OFF,), (BROKEN_OFF, REFUSED)])
async def test_request_that_may_have_run_is_not_reported_as_not_run(
    nursery, responses
):
    with pytest.raises(TargetFailed) as caught:
        await execute(nursery, *responses)
    assert caught.value.run_state is RunState.unknown


async def test_request_that_all_targets_refused_is_reported_as_not_run(
    nursery,
):
    with pytest.raises(NoTarget) as caught:
        await execute(nursery, REFUSED, REFUSED)
    assert caught.value.run_state is RunState.not_run


# Guards against requests at targets that left after they were chosen, and
# before the request was sent.
async def test_a_request_is_not_sent_to_a_target_that_has_left(
    nursery, monkeypatch
):
    monkeypatch.setattr(UncheckedTargets, 'left', {'t0'})
    answer = RawResponse(('HTTP/1.1 200 OK', 'content-length: 2', '', 'ok'))
    response = await execute(nursery, BROKEN_OFF, answer)
    assert (response.status, response.body) == (200, b'ok')


# Guards against a target that gets another path or query than was sent.
@pytest.mark.parametrize(
    'path', ['/ledger/a%2fb%3F?', '/ledger/1?q=%41?', '/ledger//./x', '/x#y']
)
async def test_a_target_gets_path_and_query_unchanged(nursery, path):
    answer = RawResponse(('HTTP/1.1 200 OK', 'content-length: 2', '', 'ok'))
    target = RawTarget([answer])
    executor = await make_executor(nursery, [target], path)
    await executor.execute()
    (request,) = target.requests
    assert request.startswith(f'GET {path} HTTP/1.1\r\n'.encode())


STREAM_HEAD = ('HTTP/1.1 200 OK', 'content-type: text/event-stream')
EVENT = b'id: 1\ndata: {"request": "r1"}\n\n'
CUT_STREAM = RawResponse((*STREAM_HEAD, 'content-length: 99', '', ''), EVENT)
ERROR_HEADS = (
    ('HTTP/1.1 500 x',),
    ('HTTP/1.1 404 x', 'content-type: text/html'),
    ('HTTP/1.1 201 x', 'content-type: text/event-stream'),
    ('HTTP/1.1 200 x', 'content-type: application/json'),
)
ERROR_RESPONSES = [
    RawResponse((*head, 'content-length: 4', '', 'oops'))
    for head in ERROR_HEADS
]


async def read_stream(executor, receive):
    """Call `receive` with each part of a stream."""
    async for part in executor.stream_events(0):
        receive(part)


# Guards against an error of the next target within a stream that broke off.
@pytest.mark.parametrize('response', ERROR_RESPONSES)
async def test_an_error_does_not_continue_a_stream(nursery, response):
    executor = await make_executor(nursery, (CUT_STREAM, response))
    received = []
    with pytest.raises(TargetFailed):
        await read_stream(executor, received.append)
    assert [event.raw for event in received] == [EVENT]


@pytest.mark.parametrize('response', ERROR_RESPONSES[:2])
async def test_an_error_in_place_of_a_stream_is_passed_on(nursery, response):
    executor = await make_executor(nursery, (response,))
    received = [event async for event in executor.stream_events(0)]
    assert [event.body for event in received] == [b'oops']
