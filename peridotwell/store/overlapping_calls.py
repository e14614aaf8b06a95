"""Calls to a store that may be away, or may only be slow.

A call that is sent while the store is away may get no answer after its return
either, so another one is sent soon. The first one still waits: it may be that
the store takes longer to answer. None is sent while an answer arrives: on a
slow link, another one would only delay it.
"""

from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import trio

from peridotwell.errors import StoreError

__all__ = ('first_outcome', 'while_receiving')

Answer = TypeVar('Answer')
# How often an answer that arrives is looked at, and for how long.
RECEIVING_TURN_SECONDS = 0.05
MAX_RECEIVING_SECONDS = 2.0


class _Outcome(Generic[Answer]):
    """What came first of several calls: an answer or an error."""

    def __init__(self, scope: trio.CancelScope) -> None:
        self.answer: Answer | None = None
        self.error: StoreError | None = None
        self._scope = scope

    async def take(self, call: Callable[[], Awaitable[Answer]]) -> None:
        """Make a call; when it ends, the others are cancelled."""
        try:
            self.answer = await call()
        except StoreError as exc:
            self.error = exc
        self._scope.cancel()


async def while_receiving(is_receiving: Callable[[float], bool]) -> None:
    """Wait as long as parts of an answer arrive."""
    while is_receiving(trio.current_time()):
        await trio.sleep(RECEIVING_TURN_SECONDS)


async def first_outcome(
    call: Callable[[], Awaitable[Answer]],
    interval_seconds: float,
    before_repeat: Callable[[], Awaitable[None]] | None = None,
    is_receiving: Callable[[float], bool] | None = None,
) -> Answer:
    """Return the first answer to calls that are sent at an interval.

    Each waits as long as it would alone. `before_repeat` is awaited before each
    but the first one, which waits while `is_receiving` returns that parts of an
    answer arrive at a time. Raises the StoreError of the first one that fails,
    unless another one was answered before.
    """
    async with trio.open_nursery() as nursery:
        outcome: _Outcome[Answer] = _Outcome(nursery.cancel_scope)
        while True:
            nursery.start_soon(outcome.take, call)
            await trio.sleep(interval_seconds)
            if is_receiving is not None:
                with trio.move_on_after(MAX_RECEIVING_SECONDS):
                    await while_receiving(is_receiving)
            if before_repeat is not None:
                await before_repeat()
    if outcome.answer is None:
        raise outcome.error or StoreError('the call has no outcome')
    return outcome.answer
