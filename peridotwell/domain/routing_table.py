"""The routing table: which service handles a request, and on which terms.

A table is immutable; a change of the configuration creates a new one. Times
are in seconds, sizes in bytes.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property

import xxhash

from peridotwell.domain.route_paths import (
    RoutePath,
    canonical_host,
    canonical_path,
)
from peridotwell.domain.store_order import StoreOrder

__all__ = (
    'Regions',
    'RequestKind',
    'WeightedService',
    'Route',
    'EngineProperties',
    'ServiceProperties',
    'CallerLimits',
    'Customer',
    'RoutingTable',
    'engine_properties',
)

DIGEST_BITS = 32
# The number of values of a 32-bit digest.
DIGEST_SPAN = 1 << DIGEST_BITS


# The regions to which requests are restricted; None for no restriction.
Regions = frozenset[str] | None


class RequestKind(Enum):
    """Whether a request may be sent again when its outcome is unknown."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    streaming = 'streaming'


@dataclass(frozen=True)
class WeightedService:
    """A service that receives a share of a route's requests by weight."""

    name: str
    weight: float = 1


@dataclass(frozen=True)
class Route:
    """How the requests of one host and path prefix are served.

    `objective_seconds` is the intended maximum time until the response (of a
    stream: until the first event). `priority` 0 is the highest.
    `max_gap_seconds` is the longest time between two events of a stream.
    Requests go only to the `allowed_regions`.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    services: tuple[WeightedService, ...]
    timeout_seconds: float
    objective_seconds: float
    priority: int = 0
    max_attempts: int = 1
    anonymous: bool = False
    resumable: bool = False
    max_gap_seconds: float = 0
    allowed_regions: Regions = None

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RequestKind.streaming:
            return self.resumable
        return self.kind is RequestKind.idempotent

    def choose_service(self, subject: str) -> str:
        """Return a service for a request, chosen by hash and weight.

        Requests with the same `subject` get the same service.
        """
        total = sum(service.weight for service in self.services)
        digest = xxhash.xxh32_intdigest(subject.encode())
        point = digest / DIGEST_SPAN * total
        for service in self.services:
            point -= service.weight
            if point < 0:
                return service.name
        return self.services[-1].name


@dataclass(frozen=True)
class EngineProperties:
    """The properties of a service's engines.

    `cache_tokens` is the capacity of an engine's prompt cache in tokens.
    `can_fetch_cache` tells whether an engine can copy cached prompts from
    another engine.
    """

    slots: int
    cache_tokens: int
    can_fetch_cache: bool = False


@dataclass(frozen=True)
class ServiceProperties:
    """One service; `engine` is None for a plain service.

    `health_path` is the path of its targets' health checks, '' if unknown.
    A target is cold for `cold_seconds` after its start, and bears about
    `cold_per_second` requests a second then; 0 if the service states none.
    """

    name: str
    engine: EngineProperties | None = None
    health_path: str = ''
    cold_seconds: float = 0
    cold_per_second: float = 0

    @property
    def may_be_cold(self) -> bool:
        """Whether its targets may be cold."""
        return self.cold_seconds > 0 and self.cold_per_second > 0


@dataclass(frozen=True)
class CallerLimits:
    """Limits on callers' requests and on their idle connections."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    idle_seconds: float = 15


@dataclass(frozen=True)
class Customer:
    """One customer; `priority`, if given, replaces the route's.

    Its requests go only to the `allowed_regions`.
    """

    name: str
    priority: int | None = None
    allowed_regions: Regions = None


@dataclass(frozen=True)
class RoutingTable:
    """One version of the routes, services and customers.

    `revision` is the store's revision, which orders tables of one version.
    `customers` maps API keys to customers. `has_customers` tells whether
    the configuration defines customers at all.

    `faults` are sentences that name the entries that could not be read or
    used as they were written. `unreadable_paths` are the paths of routes that
    could not be read; `has_unreadable_customers` tells whether a key that is
    not in `customers` may belong to one.
    """

    version: int
    revision: StoreOrder
    routes: tuple[Route, ...] = ()
    services: Mapping[str, ServiceProperties] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    customers: Mapping[str, Customer] = field(default_factory=dict)
    has_customers: bool = False
    unreadable_paths: tuple[RoutePath, ...] = ()
    has_unreadable_customers: bool = False
    faults: tuple[str, ...] = ()

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`.

        Returns None if there is none, or if it could not be read.
        """
        found = self._find(host, path)
        return found if isinstance(found, Route) else None

    def is_in_doubt(self, host: str, path: str) -> bool:
        """Return whether the route of a path may be one that is unreadable."""
        found = self._find(host, path)
        if found is not None:
            return isinstance(found, RoutePath)
        wanted = (canonical_host(host), canonical_path(path))
        return any(each.may_cover(*wanted) for each in self.unreadable_paths)

    def find_customer(self, api_key: str) -> Customer | None:
        """Return the customer to whom an API key belongs."""
        return self.customers.get(api_key)

    @cached_property
    def resumable_services(self) -> frozenset[str]:
        """The services whose streams may be resumed."""
        return frozenset(
            service.name
            for route in self.routes
            if route.resumable
            for service in route.services
        )

    def _find(self, host: str, path: str) -> Route | RoutePath | None:
        prefixes = self._by_host.get(host)
        if prefixes is None:
            prefixes = self._by_host.get(canonical_host(host), {})
        path = canonical_path(path)
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end) + 1
            found = prefixes.get(path[:end])
            if found is not None:
                return found
            end -= 1
        return None

    @cached_property
    def _by_host(self) -> dict[str, dict[str, Route | RoutePath]]:
        """The paths of all routes; one that can be read goes first."""
        hosts: dict[str, dict[str, Route | RoutePath]] = {}
        entries: list[Route | RoutePath] = list(self.unreadable_paths)
        entries.extend(self.routes)
        for each in entries:
            prefixes = hosts.setdefault(canonical_host(each.host), {})
            prefixes[canonical_path(each.prefix)] = each
        return hosts


def engine_properties(
    table: RoutingTable | None,
    service: str,
) -> EngineProperties | None:
    """Return the properties of a service's engines; None if it has none."""
    properties = table.services.get(service) if table else None
    return properties.engine if properties else None
