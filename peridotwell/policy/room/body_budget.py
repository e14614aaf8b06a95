"""A bound on what a process keeps in memory of the bodies of requests.

A body has room for its declared length if that is free when it begins to
arrive. Nothing is allocated for it, and the room of what does not arrive is
free for others soon.
"""

from dataclasses import dataclass

__all__ = ('BodyBudget', 'BodyShare')

# How long room is kept for a body of which nothing arrives.
ROOM_SECONDS = 1.0


@dataclass(eq=False)
class BodyShare:
    """One body: what of it has arrived, and the room that it has."""

    budget: 'BodyBudget'
    received_bytes: int
    room_bytes: int
    received_at: float

    def add(self, received_bytes: int, now: float) -> bool:
        """Add what has arrived; return False if there is no room for it."""
        total = self.received_bytes + received_bytes
        missing = total - self.room_bytes
        if missing > 0 and not self.budget.take(self, missing, now):
            return False
        self.received_bytes = total
        self.received_at = now
        return True

    def release(self) -> None:
        """Give the room back."""
        self.budget.discard(self)


class BodyBudget:
    """Up to `max_bytes` of bodies of requests."""

    def __init__(self, max_bytes: int) -> None:
        self.taken_bytes = 0
        self._max_bytes = max_bytes
        self._shares: set[BodyShare] = set()

    def open(self, declared_bytes: int, now: float) -> BodyShare | None:
        """Return the share of a body, None if there is no room for it.

        `declared_bytes` is its length, 0 if unknown.
        """
        share = BodyShare(self, 0, 0, now)
        if not self.take(share, declared_bytes, now):
            return None
        self._shares.add(share)
        return share

    def take(self, share: BodyShare, missing_bytes: int, now: float) -> bool:
        """Give a share more room; return False if there is not enough."""
        if self.taken_bytes + missing_bytes > self._max_bytes:
            self._take_back(now)
        if self.taken_bytes + missing_bytes > self._max_bytes:
            return False
        share.room_bytes += missing_bytes
        self.taken_bytes += missing_bytes
        return True

    def discard(self, share: BodyShare) -> None:
        """Forget a share."""
        if share in self._shares:
            self._shares.remove(share)
            self.taken_bytes -= share.room_bytes

    def _take_back(self, now: float) -> None:
        """Take back the room of what has not arrived for some time."""
        for share in self._shares:
            if now - share.received_at > ROOM_SECONDS:
                self.taken_bytes -= share.room_bytes - share.received_bytes
                share.room_bytes = share.received_bytes
