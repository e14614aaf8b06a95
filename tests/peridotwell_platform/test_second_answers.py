"""Targets that answer twice, and requests that other routers take over."""

import httpcore
import pytest
import trio

from tests.peridotwell_platform import cut_fleet
from tests.processes.stuttering_target import (
    BODY,
    EVENTS,
    FRAMINGS,
    TIMES,
    serve,
)
from tests.raw_target import listen

CALLERS = 3
REQUESTS = 6
STREAM = b''.join(EVENTS)
WHOLE = {'read': BODY, 'book': BODY, 'draft': STREAM, 'ask': STREAM}


class StutteringTarget:
    """A target that answers twice, in this process."""

    async def start(self, nursery):
        return await listen(nursery, serve)


async def ask(fleet, path, request_id, answers):
    """Send a request, and record the answer of a target if there is one."""
    fields = {'x-request-id': request_id, 'x-deadline-ms': '2000'}
    try:
        resp = await fleet.send(0, path, **fields)
    except (httpcore.RemoteProtocolError, httpcore.ReadError):
        return
    if b'x-server-seal' in dict(resp.headers):
        answers.append((request_id, resp.status, resp.content))


async def ask_all(fleet, path):
    """Send requests from several callers; return the answers of targets."""
    answers = []

    async def run(caller):
        for number in range(REQUESTS):
            request_id = f'{path[1:]}-{caller}.{number}'.replace('/', '-')
            await ask(fleet, path, request_id, answers)

    async with trio.open_nursery() as nursery:
        for caller in range(CALLERS):
            nursery.start_soon(run, caller)
    return answers


# Guards against second answers that reach a caller over another router, which
# uses its connections to targets again.
@pytest.mark.parametrize('route', WHOLE)
async def test_a_second_answer_reaches_no_caller_of_a_handover(nursery, route):
    targets = [StutteringTarget() for _ in range(2)]
    fleet = await cut_fleet.start_raw_fleet(nursery, targets)
    await fleet.cut(0, 'refused')
    answered = 0
    for framing in FRAMINGS:
        for when in TIMES:
            status = 500 if when == 'half' else 200
            answers = await ask_all(fleet, f'/{route}/{framing}/{when}')
            answered += len(answers)
            assert not [
                answer
                for answer in answers
                if answer[1] != status
                or answer[2]
                != WHOLE[route].replace(b'{id}', answer[0].encode())
            ], (framing, when)
    assert answered
