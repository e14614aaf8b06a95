"""What makes an entry of a routing table unusable, although it can be decoded.

Only what cannot be carried out is a fault: a route that no request matches or
that no service serves, or two entries of which only one can apply.
"""

import math
from collections import Counter
from collections.abc import Iterable, Iterator

from peridotwell.domain.route_paths import (
    SEPARATOR,
    canonical_host,
    canonical_path,
)
from peridotwell.domain.routing_table import Regions, Route, RoutingTable

__all__ = ('route_faults', 'table_faults')


def table_faults(table: RoutingTable) -> Iterator[str]:
    """Yield each fault of a table, as a sentence that names the entry."""
    for route in table.routes:
        for fault in route_faults(route):
            yield f'route {route.name}: {fault}.'
    paths = (
        (canonical_host(route.host), canonical_path(route.prefix))
        for route in table.routes
    )
    for host, prefix in _repeated(paths):
        yield f'{host}{prefix} has several routes: name one.'
    for name in sorted(
        {
            customer.name
            for customer in table.customers.values()
            if _allows_no_region(customer.allowed_regions)
        }
    ):
        yield f'customer {name}: it allows no region.'
    limits = table.limits
    if not _is_positive(
        limits.header_bytes, limits.body_bytes, limits.idle_seconds
    ):
        yield 'a limit on requests is not above 0.'


def route_faults(route: Route) -> Iterator[str]:
    """Yield what makes a route unusable."""
    if not canonical_host(route.host):
        yield 'it has no host'
    if not (
        route.prefix.startswith(SEPARATOR) and route.prefix.endswith(SEPARATOR)
    ):
        yield f'its prefix {route.prefix!r} lacks a slash at an end'
    if not _is_positive(route.timeout_seconds):
        yield 'its time limit is not above 0'
    if route.max_attempts < 1:
        yield 'it allows no attempt'
    weights = [service.weight for service in route.services]
    if min(weights) < 0 or not _is_positive(sum(weights)):
        yield 'the weights of its services are not above 0'
    if not all(service.name for service in route.services):
        yield 'it names no service'
    if _allows_no_region(route.allowed_regions):
        yield 'it allows no region'


def _allows_no_region(regions: Regions) -> bool:
    return regions is not None and not any(regions)


def _is_positive(*numbers: float) -> bool:
    return all(0 < number < math.inf for number in numbers)


def _repeated(
    paths: Iterable[tuple[str, str]],
) -> Iterator[tuple[str, str]]:
    return (path for path, count in Counter(paths).items() if count > 1)
