"""Time limits that do not count time in which this process does not run.

A process that is short of processor time, or stands still, is late to read what
has arrived. That is no silence of the other side.
"""

import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

__all__ = ('move_on_after_running',)

# The time is counted in steps, so that a late turn counts as one of them.
STEP_SECONDS = 0.05


@asynccontextmanager
async def move_on_after_running(seconds: float) -> AsyncIterator[None]:
    """Cancel the body after it has run for some time.

    An exception of the body is raised in an exception group.
    """
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_after, seconds, nursery.cancel_scope)
        yield
        nursery.cancel_scope.cancel()


async def _cancel_after(seconds: float, scope: trio.CancelScope) -> None:
    for _ in range(math.ceil(seconds / STEP_SECONDS)):
        await trio.sleep(STEP_SECONDS)
    scope.cancel()
