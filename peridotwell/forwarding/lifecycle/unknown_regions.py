"""Logs the allowed regions of the configuration that no data centre has."""

from collections.abc import Iterator

from peridotwell.domain.routing_table import Regions, RoutingTable
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.logs import log_failure
from peridotwell.metrics import Metrics
from peridotwell.policy.placement.region_restriction import RegionTable

__all__ = ('UnknownRegions',)


class UnknownRegions:
    """Logs and counts each unknown region once; it admits no target."""

    def __init__(
        self,
        directory: ServiceDirectory,
        regions: RegionTable,
        metrics: Metrics,
    ) -> None:
        self._directory = directory
        self._known = frozenset(regions.regions.values())
        self._metrics = metrics
        self._checked: RoutingTable | None = None
        self._logged: set[str] = set()
        directory.on_change(self._check)

    def _check(self) -> None:
        table = self._directory.table
        if table is None or table is self._checked:
            return
        self._checked = table
        named = frozenset[str]().union(*_restrictions(table))
        for region in sorted(named - self._known - self._logged):
            self._logged.add(region)
            self._metrics.count('region.unknown')
            log_failure('region.unknown', region=region, version=table.version)


def _restrictions(table: RoutingTable) -> Iterator[frozenset[str]]:
    """Yield the lists of allowed regions of a table."""
    lists: list[Regions] = [route.allowed_regions for route in table.routes]
    lists += [each.allowed_regions for each in table.customers.values()]
    return (regions for regions in lists if regions is not None)
