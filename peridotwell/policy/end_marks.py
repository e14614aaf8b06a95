"""Whether the targets of a service usually mark the ends of their responses.

A response without a length or chunks ends with its connection. Where others of
the service are marked, it may be one that a faulty target broke off.
"""

__all__ = ('EndMarks',)

# Share of a response in the mean of its service.
WEIGHT = 0.02
USUAL_SHARE = 0.9


class EndMarks:
    """The share of responses with a marked end, for each service.

    All ends are marked until responses tell otherwise.
    """

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}

    def record(self, service: str, *, is_marked: bool) -> None:
        """Record whether the end of a response was marked."""
        share = self._shares.get(service, 1.0)
        self._shares[service] = share + (is_marked - share) * WEIGHT

    def are_usual(self, service: str) -> bool:
        """Return whether nearly all ends of a service are marked."""
        return self._shares.get(service, 1.0) > USUAL_SHARE
