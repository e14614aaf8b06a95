"""Keeps peers that send many small parts at once from holding up the others.

What one read brings may be thousands of parts, each of which takes time. A
response whose parts come faster than any sound one's waits for a turn after a
few of them. There is one turn at a time, however many such responses there are.
"""

import math

import trio

__all__ = ('FairTurns', 'Pace')

PARTS_PER_TURN = 16
# So many parts in less time are more than a sound peer sends.
FAST_SECONDS = 0.01


class FairTurns:
    """Gives turns one after the other, in the order of asking."""

    def __init__(self) -> None:
        self._lock = trio.Lock()

    async def wait(self) -> None:
        """Let all other tasks run; those that wait here too go first."""
        async with self._lock:
            await trio.lowlevel.checkpoint()


class Pace:
    """Counts the parts of one response."""

    def __init__(self, turns: FairTurns) -> None:
        self._turns = turns
        self._parts = 0
        self._counted_at = -math.inf

    async def after_part(self) -> None:
        """Wait for a turn if the latest parts have come too fast."""
        self._parts += 1
        if self._parts % PARTS_PER_TURN:
            return
        now = trio.current_time()
        is_fast = now - self._counted_at < FAST_SECONDS
        self._counted_at = now
        if is_fast:
            await self._turns.wait()
