"""What targets say of themselves in their answers, through a router."""

import trio

from tests.peridotwell_platform import stand_in
from tests.peridotwell_platform.test_path import harness

__all__ = ('harness',)

PAUSE_SECONDS = 1


def shed(seconds):
    async def respond(target, exchange):
        fields = (
            ('x-request-id', exchange.headers['x-request-id']),
            ('x-not-executed', '1'),
            ('retry-after', f'{seconds}'),
        )
        await exchange.respond(503, b'', fields)

    return respond


def leaving(status=200, **more):
    async def respond(target, exchange):
        fields = (
            *stand_in.receipt_headers(target, exchange),
            ('server-leaving', '1'),
            *more.items(),
        )
        await exchange.respond(status, b'data: x\n\n', fields)

    return respond


async def send_many(harness, path='/read/x', count=12):
    statuses = []
    for _ in range(count):
        resp = await harness.send_request(path, 'POST', b'q')
        statuses.append(resp.status)
    return statuses


async def assert_leaves(harness, path, response):
    """Check that a target gets nothing after this response."""
    harness.script_responses(response)
    await harness.send_request(path, 'POST', b'q')
    (left, *others) = sorted(
        harness.targets, key=lambda each: -len(each.requests)
    )
    await send_many(harness)
    await send_many(harness, '/ask/x')
    assert len(left.requests) == 1
    assert len(others[0].requests) >= 24


# Guards against new work for a target that has said in an answer that it
# leaves, while the store does not tell yet.
async def test_target_that_says_it_leaves_gets_no_new_work(harness):
    await assert_leaves(harness, '/book/x', leaving())


async def test_error_answer_says_that_a_target_leaves(harness):
    await assert_leaves(harness, '/book/x', leaving(500))


async def test_head_of_a_stream_says_that_a_target_leaves(harness):
    await assert_leaves(harness, '/draft/x', leaving())


async def test_refusal_says_that_a_target_leaves(harness):
    refusal = leaving(503, **{'x-not-executed': '1'})
    await assert_leaves(harness, '/draft/x', refusal)


async def test_snapshot_does_not_bring_a_leaving_target_back(harness):
    harness.script_responses(leaving())
    await harness.send_request('/book/x', 'POST', b'q')
    (left,) = [each for each in harness.targets if each.requests]
    harness.store.drop_history()
    harness.store.restore(harness.store.copy())
    await trio.sleep(0.5)
    await send_many(harness)
    assert len(left.requests) == 1


# Guards against requests for a target that sheds load within its pause.
async def test_target_that_sheds_load_is_left_alone_for_its_pause(harness):
    harness.script_responses(shed(PAUSE_SECONDS))
    assert set(await send_many(harness)) == {200}
    paused, other = sorted(harness.targets, key=lambda each: len(each.requests))
    assert (len(paused.requests), len(other.requests)) == (1, 12)
    await trio.sleep(PAUSE_SECONDS + 0.5)
    await send_many(harness, count=20)
    assert len(paused.requests) > 1


async def test_request_is_refused_at_once_while_all_targets_pause(harness):
    harness.script_responses(shed(PAUSE_SECONDS), shed(PAUSE_SECONDS))
    assert await send_many(harness, count=1) == [503]
    waits = set()
    for _ in range(5):
        started_at = trio.current_time()
        resp = await harness.send_request('/read/x')
        assert resp.status == 503
        assert trio.current_time() - started_at < 0.2
        wait = float(dict(resp.headers)[b'retry-after'])
        assert PAUSE_SECONDS - 0.5 < wait < PAUSE_SECONDS + 1.5
        waits.add(wait)
    assert len(waits) == 5
    assert harness.count_requests() == 2


async def test_unreadable_pauses_are_ignored(harness):
    harness.script_responses(shed('soon'), shed('-3'))
    await harness.send_request('/read/x')
    assert set(await send_many(harness)) == {200}
