"""The batch of an engine stand-in: slots given by priority."""

import heapq
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

__all__ = ('BatchSlots',)


class BatchSlots:
    """A bounded number of slots; lower priority numbers go first."""

    def __init__(self, slots: int) -> None:
        self._free = slots
        self._waiting: list[tuple[int, int, trio.Event]] = []
        self._order = itertools.count()

    @asynccontextmanager
    async def slot(self, priority: int) -> AsyncIterator[None]:
        """Hold a slot, waiting for one if needed."""
        if self._free:
            self._free -= 1
        else:
            await self._wait(priority)
        try:
            yield
        finally:
            self._pass_on()

    async def _wait(self, priority: int) -> None:
        place = (priority, next(self._order), trio.Event())
        heapq.heappush(self._waiting, place)
        try:
            await place[-1].wait()
        except trio.Cancelled:
            if place in self._waiting:
                self._waiting.remove(place)
                heapq.heapify(self._waiting)
            else:
                self._pass_on()
            raise

    def _pass_on(self) -> None:
        if self._waiting:
            heapq.heappop(self._waiting)[-1].set()
        else:
            self._free += 1
