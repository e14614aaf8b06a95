"""The time over which refused callers return, from measured rates."""

import math
from dataclasses import dataclass

from peridotwell.policy.placement.rendezvous import unit_hash

__all__ = (
    'MAX_SPREAD_SECONDS',
    'MIN_SPREAD_SECONDS',
    'ReturnSpread',
    'return_seconds',
)

# Weight of counts falls to 1/e in this time.
MEMORY_SECONDS = 2.0
MIN_SPREAD_SECONDS = 1.0
# Callers follow a longer time only if they have much time left.
MAX_SPREAD_SECONDS = 5.0
MAX_SERVICES = 1024
# A rate is measured from this number of recent requests on.
MIN_SENT = 2


@dataclass
class _Counts:
    """Recent requests of a service, with weights that fall with their age."""

    counted_at: float
    sent: float = 0
    refused: float = 0

    def age(self, now: float) -> None:
        factor = math.exp(min(self.counted_at - now, 0) / MEMORY_SECONDS)
        self.sent *= factor
        self.refused *= factor
        self.counted_at = now


class ReturnSpread:
    """Counts sent and refused requests by service."""

    def __init__(self) -> None:
        self._counts: dict[str, _Counts] = {}

    def record_sent(self, service: str, now: float) -> None:
        """Record that a request is sent to a target of a service."""
        self._aged(service, now).sent += 1

    def is_measured(self, service: str, now: float) -> bool:
        """Return whether enough requests are sent to tell a rate."""
        return self._aged(service, now).sent >= MIN_SENT

    def sent_per_second(self, service: str, now: float) -> float:
        """Return how many requests are sent a second, at least one in memory.

        This is the rate of service while requests wait.
        """
        sent = self._aged(service, now).sent
        return max(sent, 1) / MEMORY_SECONDS

    def record_refused(self, service: str, now: float) -> float:
        """Record that a request is refused.

        Returns in how many seconds as many requests are sent as were refused
        lately. Callers that return spread over this time find room.
        """
        counts = self._aged(service, now)
        counts.refused += 1
        seconds = MEMORY_SECONDS * counts.refused / max(counts.sent, 1)
        return min(max(seconds, MIN_SPREAD_SECONDS), MAX_SPREAD_SECONDS)

    def _aged(self, service: str, now: float) -> _Counts:
        counts = self._counts.get(service)
        if counts is None:
            if len(self._counts) >= MAX_SERVICES:
                self._counts.pop(next(iter(self._counts)))
            counts = _Counts(now)
            self._counts[service] = counts
        counts.age(now)
        return counts


def return_seconds(
    wait_seconds: float, spread_seconds: float, request_id: str
) -> float:
    """Return after which time a refused caller returns.

    Callers return from `wait_seconds` on, spread over `spread_seconds`, and
    not later than MAX_SPREAD_SECONDS unless the wait is longer.
    """
    seconds = wait_seconds + spread_seconds * unit_hash(request_id)
    return min(seconds, max(wait_seconds, MAX_SPREAD_SECONDS))
