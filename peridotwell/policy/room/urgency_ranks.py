"""The rank of a priority among those that the requests of a service have."""

__all__ = ('UrgencyRanks',)

# A priority counts for this time after its last request.
MEMORY_SECONDS = 2.0


class UrgencyRanks:
    """The priorities of recent requests, by service."""

    def __init__(self) -> None:
        self._seen_at: dict[str, dict[int, float]] = {}

    def rank(self, service: str, priority: int, now: float) -> int:
        """Return how many more urgent priorities there are at present.

        Records that a request has this priority.
        """
        seen_at = self._seen_at.setdefault(service, {})
        seen_at[priority] = now
        return sum(
            other < priority and now - at < MEMORY_SECONDS
            for other, at in seen_at.items()
        )
