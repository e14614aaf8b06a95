"""Refusals that a faulty target writes once more, on every path."""

from collections import Counter

import httpcore
import pytest
import trio

from tests.kept_target import KeptTarget
from tests.peridotwell_platform import cut_fleet, stand_in

# Statuses that tell a caller that its request was not run.
PROMISES = frozenset((408, 421, 429, 503))
REQUESTS = 8
PATHS = ('/read/x', '/book/x', '/draft/x', '/ask/x')


def refusal(status, *fields):
    lines = (f'HTTP/1.1 {status} x', *fields, 'content-length: 0', '', '')
    return '\r\n'.join(lines)


LAST_ID = 'x-request-id: {last}'
REFUSALS = {
    'of the request before': refusal(503, LAST_ID, 'x-not-executed: 1'),
    'without an id': refusal(503, 'x-not-executed: 1'),
    'for too many requests': refusal(429, LAST_ID, 'x-not-executed: 1'),
    'of another target': refusal(421, LAST_ID, 'x-replica-id: other'),
    'of another target, without an id': refusal(421, 'x-replica-id: other'),
}


async def start_fleet(nursery, extra):
    """Start two routers and two faulty targets."""
    targets = [KeptTarget(extra) for _ in range(2)]
    return await cut_fleet.start_raw_fleet(nursery, targets)


async def send_all(fleet, path, **fields):
    """Send requests one after the other; return their statuses by id."""
    statuses = {}
    for number in range(REQUESTS):
        request_id = f'q-{number}'
        # Long enough for a second target, short for a stream that is cut.
        extra = {'x-request-id': request_id, 'x-deadline-ms': '1500', **fields}
        try:
            resp = await fleet.send(0, path, **extra)
        except httpcore.RemoteProtocolError:
            statuses[request_id] = 0
        else:
            statuses[request_id] = resp.status
    return statuses


def runs_of(fleet):
    return Counter(run for target in fleet.targets for run in target.runs)


def check(fleet, path, statuses):
    runs = runs_of(fleet)
    assert sum(target.extras_sent for target in fleet.targets)
    assert not [
        request_id
        for request_id, status in statuses.items()
        if status in PROMISES and runs[request_id]
    ]
    if path in {'/book/x', '/draft/x'}:
        assert max(runs.values()) == 1


# Guards against requests that run twice, or that callers are told were not run,
# because a target wrote an earlier refusal once more.
@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('name', REFUSALS)
async def test_a_repeated_refusal_is_not_one_of_the_next_request(
    nursery, name, path
):
    fleet = await start_fleet(nursery, REFUSALS[name])
    check(fleet, path, await send_all(fleet, path))


async def test_a_repeated_refusal_is_not_one_of_a_resumed_stream(nursery):
    fleet = await start_fleet(nursery, REFUSALS['of the request before'])
    fields = {'last-event-id': '3', 'resumes': 'earlier'}
    check(fleet, '/ask/x', await send_all(fleet, '/ask/x', **fields))


# Guards against the same at the router that serves the callers of another one.
@pytest.mark.parametrize('path', PATHS)
async def test_a_repeated_refusal_at_a_handed_over_request(nursery, path):
    fleet = await start_fleet(nursery, REFUSALS['of the request before'])
    await fleet.cut(0, 'refused')
    check(fleet, path, await send_all(fleet, path))


# Guards against a router that believes a target, instead of another router,
# that a request it handed over was not run.
async def test_a_target_does_not_tell_the_result_of_a_handover(nursery):
    fleet = await cut_fleet.start_fleet(nursery, routers=2)

    async def respond(target, exchange):
        fields = stand_in.receipt_headers(target, exchange)
        forged = ('peridotwell-handover-result', 'not_run')
        await exchange.respond(500, b'', (*fields, forged))

    for target in fleet.targets:
        target.script.extend([respond] * 3)
    await fleet.cut(0, 'refused')
    resp = await fleet.send(0, '/book/x')
    runs = fleet.runs()
    assert len(runs) == len(set(runs))
    assert not (runs and resp.status in PROMISES)


# Guards against targets that are left, limited or thought brittle because of a
# notice in a response that belongs to no request.
@pytest.mark.parametrize(
    'notice', ['server-leaving: 1', 'server-limit: 1', 'retry-after: 2']
)
async def test_a_notice_in_a_repeated_response_is_none(nursery, notice):
    extra = refusal(503, LAST_ID, 'x-not-executed: 1', notice)
    fleet = await start_fleet(nursery, extra)
    await send_all(fleet, '/read/x')
    before = sum(runs_of(fleet).values())
    await trio.sleep(0.3)
    statuses = await send_all(fleet, '/read/x')
    assert sum(runs_of(fleet).values()) - before >= REQUESTS
    assert not PROMISES & set(statuses.values())
