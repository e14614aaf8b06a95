"""The routes and API keys that newer versions have dropped.

They explain the refusal of a path or a key that was in force before.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from peridotwell.domain.routing_table import Route, RoutingTable
from peridotwell.domain.store_order import NO_ORDER

__all__ = ('Drop', 'DroppedNames')

# Maximum number of routes, and of keys.
MAX_NAMES = 256


@dataclass(frozen=True)
class Drop:
    """Tells the last version with a name, and the one that dropped it."""

    last_version: int
    dropped_by: int
    dropped_at: float

    def log_fields(self, now: float) -> dict[str, object]:
        """Return the log fields; the age is in seconds."""
        return {
            'dropped_by': self.dropped_by,
            'last_in': self.last_version,
            'dropped_age': round(now - self.dropped_at, 3),
        }


class DroppedNames:
    """The last dropped routes and API keys, at most `MAX_NAMES` each."""

    def __init__(self) -> None:
        self._routes: dict[tuple[str, str], tuple[Route, Drop]] = {}
        self._keys: dict[str, Drop] = {}
        # Finds a dropped route as one in force is found.
        self._table = RoutingTable(0, NO_ORDER)

    def record(
        self, previous: RoutingTable, table: RoutingTable, now: float
    ) -> None:
        """Record what `table` drops of the version that it replaces."""
        drop = Drop(previous.version, table.version, now)
        listed = {_name(route) for route in table.routes}
        for route in previous.routes:
            if _name(route) not in listed:
                self._routes[_name(route)] = (route, drop)
        _remove(self._routes, listed)
        for api_key in previous.customers.keys() - table.customers.keys():
            self._keys[api_key] = drop
        _remove(self._keys, table.customers)
        self._table = RoutingTable(
            0, NO_ORDER, tuple(route for route, _ in self._routes.values())
        )

    def find_path(self, host: str, path: str) -> Drop | None:
        """Return what is known of the last route of a host and a path."""
        route = self._table.find_route(host, path)
        return self._routes[_name(route)][1] if route else None

    def find_key(self, api_key: str) -> Drop | None:
        """Return what is known of an API key that is not in force."""
        return self._keys.get(api_key)


def _name(route: Route) -> tuple[str, str]:
    return route.host.lower(), route.prefix


def _remove(dropped: dict, listed: Iterable) -> None:
    """Remove the names that are in force again, then the oldest ones."""
    for name in listed:
        dropped.pop(name, None)
    while len(dropped) > MAX_NAMES:
        dropped.pop(next(iter(dropped)))
