"""The settings and adapters of a forwarding router."""

from dataclasses import dataclass, field

from peridotwell.domain.bounds import DeploymentBounds
from peridotwell.forwarding.adapters import (
    CallerAdapter,
    EntryDecoder,
    TargetAdapter,
)
from peridotwell.policy.placement.region_restriction import RegionTable

__all__ = ('ForwardingSettings', 'Adapters')


@dataclass(frozen=True)
class ForwardingSettings:
    """The identity, listening addresses and bounds of a router.

    `metrics` is the address that serves counters and histograms, or empty.
    `link_bytes_per_second` is the rate of the machine's link, 0 if unknown.
    `memory_bytes` is the machine's memory, 0 if unknown.
    `handover` is the address that takes requests from other routers, or empty.
    `regions` are the regions of the data centres.
    """

    name: str
    data_centre: str
    callers: str
    readiness: str
    peers: str
    metrics: str
    bounds: DeploymentBounds
    link_bytes_per_second: int = 0
    handover: str = ''
    memory_bytes: int = 0
    regions: RegionTable = field(default_factory=RegionTable)


@dataclass(frozen=True)
class Adapters:
    """The adapters for a deployment's header fields and store entries."""

    callers: CallerAdapter
    targets: TargetAdapter
    entries: EntryDecoder
