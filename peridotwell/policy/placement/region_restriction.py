"""Which data centres a request may reach: those in its allowed regions.

There is no fallback: a request without a target in these regions is refused.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from peridotwell.domain.routing_table import Regions
from peridotwell.domain.target import Target

__all__ = ('RegionTable', 'combined_regions')


def combined_regions(first: Regions, second: Regions) -> Regions:
    """Return the regions that both restrictions allow."""
    if first is None or second is None:
        return second if first is None else first
    return first & second


@dataclass(frozen=True)
class RegionTable:
    """The region of each data centre.

    A data centre of unknown region is outside of all restrictions.
    """

    regions: Mapping[str, str] = field(default_factory=dict)

    def allows(self, allowed: Regions, data_centre: str) -> bool:
        """Return whether a request may reach a data centre."""
        return allowed is None or self.regions.get(data_centre) in allowed

    def within(
        self, allowed: Regions, targets: Iterable[Target]
    ) -> tuple[Target, ...]:
        """Return the targets that a request may reach."""
        if allowed is None:
            return tuple(targets)
        return tuple(
            target
            for target in targets
            if self.allows(allowed, target.pool.data_centre)
        )
