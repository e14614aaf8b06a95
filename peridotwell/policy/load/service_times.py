"""How long the requests and prefills of each service take."""

from peridotwell.policy.load.prefill_speed import PrefillSpeed
from peridotwell.policy.load.stale_counts import RequestDuration

__all__ = ('ServiceTimes',)


class ServiceTimes:
    """The times of services, learned from their responses."""

    def __init__(self) -> None:
        self._speeds: dict[str, PrefillSpeed] = {}
        self._durations: dict[str, RequestDuration] = {}

    def prefill_speed(self, service: str) -> PrefillSpeed:
        """Return the prefill speed of the engines of a service."""
        return self._speeds.setdefault(service, PrefillSpeed())

    def duration(self, service: str) -> RequestDuration:
        """Return the mean duration of the requests of a service."""
        return self._durations.setdefault(service, RequestDuration())
