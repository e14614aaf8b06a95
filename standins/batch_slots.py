"""Request slots of a simulated model engine, granted by priority."""

import heapq
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

__all__ = ('BatchSlots',)


class BatchSlots:
    """A fixed number of slots.

    Waiting tasks get a free slot in ascending order of their priority number,
    and in order of arrival when the numbers are equal.
    """

    def __init__(self, slots: int) -> None:
        self._free = slots
        self._waiting: list[tuple[int, int, trio.Event]] = []
        self._arrival_numbers = itertools.count()

    @asynccontextmanager
    async def slot(self, priority: int) -> AsyncIterator[None]:
        """Hold a slot inside the `async with` block, waiting for a free one."""
        if self._free:
            self._free -= 1
        else:
            await self._wait(priority)
        try:
            yield
        finally:
            self._release_slot()

    async def _wait(self, priority: int) -> None:
        waiter = (priority, next(self._arrival_numbers), trio.Event())
        heapq.heappush(self._waiting, waiter)
        try:
            await waiter[-1].wait()
        except trio.Cancelled:
            # The slot may have been granted just before the cancellation.
            if waiter in self._waiting:
                self._waiting.remove(waiter)
                heapq.heapify(self._waiting)
            else:
                self._release_slot()
            raise

    def _release_slot(self) -> None:
        if self._waiting:
            heapq.heappop(self._waiting)[-1].set()
        else:
            self._free += 1
