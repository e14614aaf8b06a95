"""Routers killed and frozen at every step of a booking."""

import itertools

import pytest
import trio

from peridotwell.errors import RequestError, RunState
from peridotwell.store.claims import ClaimStore
from standins.memory_store import MemoryStore
from tests.store.fakes import FaultyStore
from tests.store.test_claims import DATED_KEY, book

# Lease, claim, execution and record of the end, and one step that is none.
STEPS = range(5)


class Pause:
    """Stops whoever reaches the chosen step, before or after its effect."""

    def __init__(self, step, moment):
        self.step = step
        self.moment = moment
        self.reached = trio.Event()
        self.over = trio.Event()
        self.steps = 0

    async def around(self, effect):
        chosen = self.steps == self.step
        self.steps += 1
        if chosen and self.moment == 'before':
            await self.hold()
        result = await effect()
        if chosen and self.moment == 'after':
            await self.hold()
        return result

    async def hold(self):
        self.reached.set()
        await self.over.wait()


class PausingStore(FaultyStore):
    def __init__(self, memory, pause):
        super().__init__(memory)
        self.pause = pause

    async def read(self, key):
        return await self.pause.around(lambda: FaultyStore.read(self, key))

    async def write(self, key, value, *, expected, lease=''):
        return await self.pause.around(
            lambda: FaultyStore.write(
                self, key, value, expected=expected, lease=lease
            )
        )

    async def grant_lease(self, ttl_seconds):
        return await self.pause.around(
            lambda: FaultyStore.grant_lease(self, ttl_seconds)
        )


def check(answer, executions):
    """No answer may claim more than what is true."""
    assert len(executions) <= 1
    if not isinstance(answer, RequestError):
        assert answer == b'receipt'
        assert len(executions) == 1
    elif answer.run_state is RunState.not_run:
        assert not executions


@pytest.mark.parametrize('key', ['k1', DATED_KEY])
@pytest.mark.parametrize(
    ('step', 'moment'), [*itertools.product(STEPS, ['before', 'after'])]
)
@pytest.mark.parametrize('ending', ['killed', 'frozen'])
async def test_router_interrupted_at_each_step(
    autojump_clock, key, step, moment, ending
):
    memory = MemoryStore()
    executions = []
    pause = Pause(step, moment)
    first = ClaimStore(PausingStore(memory, pause), 'r1')
    endings = []

    async def interrupted():
        endings.append(
            await book(first, executions, key=key, around=pause.around)
        )

    async def resend(name):
        claims = ClaimStore(FaultyStore(memory), name)
        answer = await book(claims, executions, key=key)
        check(answer, executions)
        return answer

    async with trio.open_nursery() as nursery:
        nursery.start_soon(interrupted)
        with trio.move_on_after(1):
            await pause.reached.wait()
        if ending == 'killed':
            nursery.cancel_scope.cancel()
        else:
            await resend('r2')
            await resend('r3')
            pause.over.set()
    answers = [*endings, await resend('r4'), await resend('r5')]
    assert len(executions) <= 1
    if ending == 'frozen':
        assert len(executions) == 1
        assert answers[-1] == b'receipt'
