"""A bound on what a process keeps in memory of responses.

Each response has a share. Whoever needs more than is free takes it from the
largest share of the group that has most, such as all responses of one target.
That response is ended; it may be the one that needs more.
"""

import weakref
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

__all__ = ('BudgetObserver', 'BufferBudget', 'BufferShare', 'buffer_bytes')

# The group of the complete responses that wait for their callers.
CALLERS = ''
# Part of the memory that the budget for responses takes, and that for requests.
MEMORY_SHARE = 1 / 8
MIN_BUFFER_BYTES = 16_000_000
# For a machine whose memory is not known.
DEFAULT_BUFFER_BYTES = 64_000_000


def buffer_bytes(memory_bytes: int) -> int:
    """Return the size of a budget, by the memory of the machine, 0 if unknown.

    There is one for responses and one for requests.
    """
    if not memory_bytes:
        return DEFAULT_BUFFER_BYTES
    return max(int(memory_bytes * MEMORY_SHARE), MIN_BUFFER_BYTES)


class BudgetObserver(ABC):
    """Is told which responses are ended for their memory."""

    @abstractmethod
    def record_ended(self, group: str, held_bytes: int) -> None:
        """Handle the end of a response of a group, with the bytes it held.

        The group is the name of a target, or '' for a complete response that
        waited for its caller.
        """


@dataclass(eq=False)
class BufferShare:
    """What one response keeps in memory.

    `end` ends the response if another one needs its memory; None if it cannot
    be ended. `is_ended` tells that this has happened.
    """

    budget: 'BufferBudget'
    group: str
    end: Callable[[], None] | None
    held_bytes: int = 0
    is_ended: bool = False
    is_kept: bool = False

    def resize(self, held_bytes: int) -> bool:
        """Set the size in bytes; return False if the response has to end."""
        if self.is_ended:
            return False
        self.budget.resize(self, held_bytes)
        return not self.is_ended

    def release(self) -> None:
        """Give the memory back."""
        self.budget.discard(self)

    def release_unless_kept(self) -> None:
        """Give the memory back, unless it is kept with an object."""
        if not self.is_kept:
            self.release()

    def keep_with(self, response: object) -> None:
        """Keep the memory of a complete response as long as that exists."""
        self.is_kept = True
        self.move(CALLERS, None)
        weakref.finalize(response, self.release)

    def wait_for_caller(self, close: Callable[[], None]) -> None:
        """Let `close` end a complete response that its caller does not take."""
        self.move(CALLERS, close)

    def move(self, group: str, end: Callable[[], None] | None) -> None:
        """Change the group, and what ends the response."""
        held_bytes = self.held_bytes
        self.budget.discard(self)
        self.group = group
        self.end = end
        if not self.is_ended:
            self.budget.resize(self, held_bytes)


class BufferBudget:
    """Up to `max_bytes` of responses, in shares that grow and shrink."""

    def __init__(
        self, max_bytes: int, observer: BudgetObserver | None = None
    ) -> None:
        self.held_bytes = 0
        self._max_bytes = max_bytes
        self._observer = observer
        # Those that hold anything.
        self._shares: set[BufferShare] = set()
        self._group_bytes: Counter[str] = Counter()

    def open(self, group: str, end: Callable[[], None]) -> BufferShare:
        """Return a share of a group, which holds nothing yet."""
        return BufferShare(self, group, end)

    def resize(self, share: BufferShare, held_bytes: int) -> None:
        """Change the size of a share, and end responses if it is too much."""
        growth = held_bytes - share.held_bytes
        if not growth:
            return
        self._add(share, growth)
        while self.held_bytes > self._max_bytes:
            largest = self._largest()
            if largest is None:
                return
            self._end(largest)

    def discard(self, share: BufferShare) -> None:
        """Forget a share."""
        if share.held_bytes:
            self._add(share, -share.held_bytes)

    def _add(self, share: BufferShare, growth: int) -> None:
        share.held_bytes += growth
        self.held_bytes += growth
        self._group_bytes[share.group] += growth
        if share.held_bytes:
            self._shares.add(share)
            return
        self._shares.discard(share)
        if not self._group_bytes[share.group]:
            self._group_bytes.pop(share.group)

    def _largest(self) -> BufferShare | None:
        return max(
            (share for share in self._shares if share.end is not None),
            key=self._rank,
            default=None,
        )

    def _rank(self, share: BufferShare) -> tuple[int, int]:
        return self._group_bytes[share.group], share.held_bytes

    def _end(self, share: BufferShare) -> None:
        held_bytes = share.held_bytes
        self.discard(share)
        share.is_ended = True
        if share.end is not None:
            share.end()
        if self._observer is not None:
            self._observer.record_ended(share.group, held_bytes)
