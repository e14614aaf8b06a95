"""The slots of other routers that a router uses at a target."""

from collections import deque

__all__ = ('BorrowedSlots',)

# After this time the other routers know of a request and leave room for it.
KNOWN_AFTER_SECONDS = 2.0


class BorrowedSlots:
    """Counts the slots of others in use that these do not know of yet."""

    def __init__(self) -> None:
        self._sent_at: deque[float] = deque()

    def record_send(self, now: float) -> None:
        """Record that a request is sent beyond the router's own slots."""
        self._sent_at.append(now)

    def count(self, beyond_own: int, now: float) -> int:
        """Return how many slots of others this router uses unknown to them.

        `beyond_own` is the number of its requests beyond its own slots.
        """
        while self._sent_at and now - self._sent_at[0] >= KNOWN_AFTER_SECONDS:
            self._sent_at.popleft()
        while len(self._sent_at) > max(beyond_own, 0):
            self._sent_at.popleft()
        return len(self._sent_at)
