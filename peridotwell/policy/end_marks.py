"""Whether the targets of a service usually mark the ends of their responses.

A response without a length or chunks ends with its connection. Where others of
the service are marked, it may be one that a faulty target broke off.
"""

from dataclasses import dataclass

__all__ = ('EndCounts', 'EndMarks')

# Share of a response in the mean of its service.
WEIGHT = 0.02
USUAL_SHARE = 0.9


@dataclass(frozen=True)
class EndCounts:
    """Numbers of ends since it changed whether marks are usual."""

    marked: int = 0
    unmarked: int = 0

    def add(self, is_marked: bool) -> 'EndCounts':
        """Return the numbers with one more end."""
        return EndCounts(
            self.marked + is_marked, self.unmarked + (not is_marked)
        )


class EndMarks:
    """The share of responses with a marked end, for each service.

    All ends are marked until responses tell otherwise.
    """

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}
        self._counts: dict[str, EndCounts] = {}

    def record(self, service: str, *, is_marked: bool) -> EndCounts | None:
        """Record whether the end of a response was marked.

        Returns the counts since the last change if it has changed whether
        marks are usual, None otherwise.
        """
        were_usual = self.are_usual(service)
        share = self._shares.get(service, 1.0)
        self._shares[service] = share + (is_marked - share) * WEIGHT
        counts = self._counts.get(service, EndCounts()).add(is_marked)
        self._counts[service] = counts
        if were_usual == self.are_usual(service):
            return None
        self._counts[service] = EndCounts()
        return counts

    def are_usual(self, service: str) -> bool:
        """Return whether nearly all ends of a service are marked."""
        return self._shares.get(service, 1.0) > USUAL_SHARE
