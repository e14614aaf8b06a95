"""Sound targets that send nothing for a while and then go on."""

import msgspec
import pytest
import trio

from peridotwell.domain.bounds import DeploymentBounds
from peridotwell.errors import ForwardedRequestQuarantined
from tests.peridotwell_platform import stand_in
from tests.peridotwell_platform.router_setup import target_entry
from tests.peridotwell_platform.test_path import CONFIG, harness
from tests.ports import find_free_port

__all__ = ('harness',)

# The objective of the routes is 0.1 s.
SILENT_SECONDS = 2.0
DEADLINE_MS = '4500'
EVENT = b'id: %d\ndata: x\n\n'
EVENTS = b''.join(EVENT % number for number in range(1, 5))
BODY = b'first half, second half'


def silent_after(sent: int):
    """Return a response that pauses after `sent` of its four parts."""

    async def respond(target, exchange):
        is_stream = exchange.path.startswith('/ask/')
        content = EVENTS if is_stream else BODY
        size = -(-len(content) // 4)
        parts = [content[n : n + size] for n in range(0, len(content), size)]
        fields = stand_in.receipt_headers(target, exchange)
        if not is_stream:
            fields = (*fields, ('content-length', str(len(content))))
        if not sent:
            await trio.sleep(SILENT_SECONDS)
        await exchange.start_response(200, fields)
        for number, part in enumerate(parts, start=1):
            await exchange.write(part)
            if number == sent:
                await trio.sleep(SILENT_SECONDS)
        await exchange.finish()

    return respond


async def respond_rest(target, exchange):
    """Respond with what the caller does not have yet."""
    fields = stand_in.receipt_headers(target, exchange)
    content = BODY
    if exchange.path.startswith('/ask/'):
        after = int(exchange.headers.get('last-event-id', '0'))
        content = b''.join(EVENT % n for n in range(after + 1, 5))
    await exchange.respond(200, content, fields)


def use_routes(harness, **changes):
    """Put a configuration with long timeouts and these changes in force."""
    routes = [
        {**route, 'timeout_ms': 5000, **changes} for route in CONFIG['routes']
    ]
    config = {**CONFIG, 'version': 2, 'routes': routes}
    harness.store.put('op/config', msgspec.json.encode(config))


def use_one_target(harness):
    use_routes(harness)
    harness.store.delete('servers/i-2')


def use_one_attempt(harness):
    use_routes(harness, max_attempts=1)


def spend_retry_budget(harness):
    use_routes(harness)
    bounds = DeploymentBounds(retry_ratio=0, retry_slack=0)
    harness.router._components.handler.set_bounds(bounds)


REASONS = {
    'no other target': use_one_target,
    'no attempt left': use_one_attempt,
    'no retry left': spend_retry_budget,
}


# Guards against requests that were given up because their sound target was
# silent for a moment, although no other target was allowed to take over.
@pytest.mark.parametrize('path', ['/ask/x', '/read/x'])
@pytest.mark.parametrize('sent', [0, 2])
@pytest.mark.parametrize('reason', REASONS)
async def test_silence_ends_no_answer_that_nobody_else_can_give(
    harness, reason, sent, path
):
    REASONS[reason](harness)
    await trio.sleep(0.2)
    for target in harness.targets:
        target.script.append(silent_after(sent))
    resp = await harness.send_request(
        path, 'POST', b'q', x_deadline_ms=DEADLINE_MS
    )
    assert resp.status == 200
    assert resp.content == (EVENTS if path == '/ask/x' else BODY)
    assert harness.count_requests() == 1


# Guards against a stream that was cut beside a change of the configuration.
async def test_silence_beside_a_change_of_the_configuration(harness, nursery):
    use_one_target(harness)
    await trio.sleep(0.2)
    harness.targets[0].script.append(silent_after(2))

    async def change_configuration():
        await trio.sleep(0.5)
        config = {**CONFIG, 'version': 3}
        harness.store.put('op/config', msgspec.json.encode(config))

    nursery.start_soon(change_configuration)
    resp = await harness.send_request(
        '/ask/x', 'POST', b'q', x_deadline_ms=DEADLINE_MS
    )
    assert (resp.status, resp.content) == (200, EVENTS)


def script_in_order(harness, *steps):
    """Handle the requests to any target with `steps`, in order."""
    remaining = list(steps)

    async def respond(target, exchange):
        await remaining.pop(0)(target, exchange)

    for target in harness.targets:
        target.script.extend([respond] * len(steps))


OTHER_TARGETS = {
    'refuses': stand_in.refuse_as_not_executed,
    'is another one': stand_in.refuse_as_misdirected,
    'fails': stand_in.respond_with_status(500),
}


# Guards against requests that were lost because they left a sound, silent
# target for one that did not take them.
@pytest.mark.parametrize('other', OTHER_TARGETS)
@pytest.mark.parametrize('path', ['/ask/x', '/read/x'])
async def test_request_returns_to_the_target_that_it_left(harness, other, path):
    use_routes(harness)
    await trio.sleep(0.2)
    script_in_order(
        harness, silent_after(2), OTHER_TARGETS[other], respond_rest
    )
    resp = await harness.send_request(
        path, 'POST', b'q', x_deadline_ms=DEADLINE_MS
    )
    assert resp.status == 200
    assert resp.content == (EVENTS if path == '/ask/x' else BODY)


@pytest.mark.parametrize('is_known', [False, True])
@pytest.mark.parametrize('path', ['/ask/x', '/read/x'])
async def test_request_is_not_lost_for_a_target_that_is_down(
    harness, path, is_known
):
    use_routes(harness)
    down = target_entry(f'127.0.0.1:{find_free_port()}')
    harness.store.put('servers/i-2', down)
    await trio.sleep(0.2)
    if is_known:
        tracker = harness.router._components.forwarding.selector._tracker
        tracker.ejection.record_failure(
            'i-2', trio.current_time(), is_unreachable=True
        )
    harness.targets[0].script.extend([silent_after(2), respond_rest])
    resp = await harness.send_request(
        path, 'POST', b'q', x_deadline_ms=DEADLINE_MS
    )
    assert resp.status == 200
    assert resp.content == (EVENTS if path == '/ask/x' else BODY)


# Guards against a request that leaves its target and is refused elsewhere.
@pytest.mark.parametrize('path', ['/ask/x', '/read/x'])
async def test_a_quarantined_request_stays_with_its_target(
    harness, monkeypatch, path
):
    use_routes(harness)
    await trio.sleep(0.2)
    for target in harness.targets:
        target.script.append(silent_after(2))
    checks = []

    def check(request):
        checks.append(request)
        if len(checks) > 1:
            raise ForwardedRequestQuarantined('lost targets')

    dispatcher = harness.router._components.forwarding.dispatcher
    monkeypatch.setattr(dispatcher, 'check', check)
    resp = await harness.send_request(
        path, 'POST', b'q', x_deadline_ms=DEADLINE_MS
    )
    assert resp.status == 200
    assert resp.content == (EVENTS if path == '/ask/x' else BODY)
