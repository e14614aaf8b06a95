"""Routers killed or suspended at each step of an at-most-once request."""

import itertools

import pytest
import trio

from peridotwell.errors import RequestError, RunState
from peridotwell.store.claims import ClaimStore
from standins.memory_store import MemoryStore
from tests.store.fakes import FaultyStore
from tests.store.test_claims import TIMESTAMPED_KEY, run_at_most_once

# Grant of the lease, claim, execution, settlement, and one step more than
# there are.
STEPS = range(5)


class Pause:
    """Suspends the task that reaches a step, before or after its effect."""

    def __init__(self, step, moment):
        self.step = step
        self.moment = moment
        self.reached = trio.Event()
        self.released = trio.Event()
        self.steps = 0

    async def intercept(self, effect):
        is_selected = self.steps == self.step
        self.steps += 1
        if is_selected and self.moment == 'before':
            await self.wait_for_release()
        result = await effect()
        if is_selected and self.moment == 'after':
            await self.wait_for_release()
        return result

    async def wait_for_release(self):
        self.reached.set()
        await self.released.wait()


class PausingStore(FaultyStore):
    def __init__(self, memory, pause):
        super().__init__(memory)
        self.pause = pause

    async def read(self, key):
        return await self.pause.intercept(lambda: FaultyStore.read(self, key))

    async def write(self, key, value, *, expected, lease=''):
        return await self.pause.intercept(
            lambda: FaultyStore.write(
                self, key, value, expected=expected, lease=lease
            )
        )

    async def grant_lease(self, ttl_seconds):
        return await self.pause.intercept(
            lambda: FaultyStore.grant_lease(self, ttl_seconds)
        )


def check_result(result, executions):
    """Check that a result agrees with the number of executions."""
    assert len(executions) <= 1
    if not isinstance(result, RequestError):
        assert result == b'receipt'
        assert len(executions) == 1
    elif result.run_state is RunState.not_run:
        assert not executions


@pytest.mark.parametrize('key', ['k1', TIMESTAMPED_KEY])
@pytest.mark.parametrize(
    ('step', 'moment'), [*itertools.product(STEPS, ['before', 'after'])]
)
@pytest.mark.parametrize('ending', ['killed', 'suspended'])
async def test_router_interrupted_at_each_step(
    autojump_clock, key, step, moment, ending
):
    memory = MemoryStore()
    executions = []
    pause = Pause(step, moment)
    first = ClaimStore(PausingStore(memory, pause), 'r1')
    first_results = []

    async def interrupted():
        first_results.append(
            await run_at_most_once(
                first, executions, key=key, intercept=pause.intercept
            )
        )

    async def resend(name):
        claims = ClaimStore(FaultyStore(memory), name)
        result = await run_at_most_once(claims, executions, key=key)
        check_result(result, executions)
        return result

    async with trio.open_nursery() as nursery:
        nursery.start_soon(interrupted)
        with trio.move_on_after(1):
            await pause.reached.wait()
        if ending == 'killed':
            nursery.cancel_scope.cancel()
        else:
            await resend('r2')
            await resend('r3')
            pause.released.set()
    results = [*first_results, await resend('r4'), await resend('r5')]
    assert len(executions) <= 1
    if ending == 'suspended':
        assert len(executions) == 1
        assert results[-1] == b'receipt'
