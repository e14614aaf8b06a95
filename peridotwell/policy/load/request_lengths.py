"""How long the requests of a service take, by route."""

from peridotwell.policy.load.stale_counts import RequestDuration

__all__ = ('RequestLengths',)


class RequestLengths:
    """Moving averages of the durations of requests that were served."""

    def __init__(self) -> None:
        # By service, and by service and route.
        self._services: dict[str, RequestDuration] = {}
        self._routes: dict[tuple[str, str], RequestDuration] = {}

    def record(self, service: str, route: str, seconds: float) -> None:
        """Record the duration of a request that was served."""
        self._service(service).record(seconds)
        self._route(service, route).record(seconds)

    def is_short(self, service: str, route: str) -> bool:
        """Return whether requests of a route are shorter than the others.

        Returns False if no request has ended yet.
        """
        mean = self._service(service).mean_seconds
        own_mean = self._route(service, route).mean_seconds
        return mean is not None and own_mean is not None and own_mean < mean

    def served(self, service: str, running: float, seconds: float) -> float:
        """Return how many of the `running` requests end within a time."""
        return self._service(service).arrivals(running, seconds)

    def _service(self, service: str) -> RequestDuration:
        return self._services.setdefault(service, RequestDuration())

    def _route(self, service: str, route: str) -> RequestDuration:
        return self._routes.setdefault((service, route), RequestDuration())
