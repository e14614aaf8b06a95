"""Answers without a mark of a process that another one replaces at once."""

import pytest
import trio

from tests.mortal_target import MortalTarget, Successor
from tests.peridotwell_platform.stream_ends import use_raw_targets
from tests.peridotwell_platform.test_ends_of_dead_targets import Callers
from tests.peridotwell_platform.test_path import harness

__all__ = ('harness',)

TARGETS = 5
REQUESTS = 10
# Four that end together would show the end of their process.
MOST_HELD = 3
MAX_BEGIN_SECONDS = 2.0
POLL_SECONDS = 0.01
HELD_SECONDS = 0.3


async def end_one(callers, path, targets, successor) -> int:
    """End a target that holds few answers; return how many it held."""
    async with trio.open_nursery() as calling:
        await callers.send_at_once(path, REQUESTS, calling)
        with trio.move_on_after(MAX_BEGIN_SECONDS):
            while sum(target.held for target in targets) < REQUESTS:
                await trio.sleep(POLL_SECONDS)
        await trio.sleep(HELD_SECONDS)
        chosen = next(
            target for target in targets if 0 < target.held <= MOST_HELD
        )
        chosen.end(successor)
        for target in targets:
            if target is not chosen:
                target.finish()
        return chosen.held


# Guards against answers of a process that was killed and that look whole since
# the next process at its address answers for it; and against sound ones that
# are cut, of the others.
@pytest.mark.parametrize('route', ['draft', 'ask', 'read', 'book'])
@pytest.mark.parametrize('habit', ['never', 'mostly'])
async def test_the_next_process_does_not_answer_for_the_one_before(
    harness, nursery, route, habit
):
    targets = [MortalTarget() for _ in range(TARGETS)]
    await use_raw_targets(harness, nursery, *targets)
    callers = Callers(harness)
    await callers.learn(route, habit)
    held = await end_one(
        callers, f'/{route}/held', targets, Successor.restarted
    )
    assert 0 < held <= MOST_HELD
    assert not callers.seen['looks whole']
    if habit == 'never':
        assert callers.seen['whole'] >= REQUESTS - held


# Guards against answers of a process that was killed, read only after there is
# a connection to the next one, and taken for that one's.
@pytest.mark.parametrize('route', ['draft', 'ask', 'read', 'book'])
async def test_the_next_process_has_not_sent_what_arrives_late(
    harness, nursery, route
):
    targets = [MortalTarget() for _ in range(TARGETS)]
    await use_raw_targets(harness, nursery, *targets)
    callers = Callers(harness)
    await callers.learn(route, 'never')
    held = await end_one(
        callers, f'/{route}/late', targets, Successor.restarted
    )
    assert 0 < held <= MOST_HELD
    assert not callers.seen['looks whole']
    assert callers.seen['whole'] >= REQUESTS - held
