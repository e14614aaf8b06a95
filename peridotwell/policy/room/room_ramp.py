"""Slow start: the room of a target that opens step by step."""

from dataclasses import dataclass

__all__ = ('RoomRamp',)


@dataclass(frozen=True)
class RoomRamp:
    """Room for `requests` at `since`, in seconds, and for more later."""

    requests: int
    since: float

    def room(self, per_second: float, now: float) -> int:
        """Return the room if it grows by so many requests a second."""
        return self.requests + int(max(now - self.since, 0) * per_second)
