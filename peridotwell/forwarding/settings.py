"""What a forwarding router is built from."""

from dataclasses import dataclass

from peridotwell.domain.bounds import DeploymentBounds
from peridotwell.forwarding.adapters import (
    CallerAdapter,
    EntryDecoder,
    TargetAdapter,
)

__all__ = ('ForwardingSettings', 'Adapters')


@dataclass(frozen=True)
class ForwardingSettings:
    """Who a router is, where it listens, and what it has to keep.

    `metrics` is the address of the counters and histograms, or empty.
    """

    name: str
    data_centre: str
    callers: str
    readiness: str
    peers: str
    metrics: str
    bounds: DeploymentBounds


@dataclass(frozen=True)
class Adapters:
    """What a deployment's header fields and entries mean."""

    callers: CallerAdapter
    targets: TargetAdapter
    entries: EntryDecoder
