"""The fair shares of customers in the slots of a pool that is nearly full."""

from peridotwell.domain.caller_request import CallerRequest
from peridotwell.domain.configuration import Defaults
from peridotwell.domain.target import Pool
from peridotwell.fleet.lending.load_tracker import LoadTracker
from peridotwell.fleet.membership.target_membership import TargetMembership
from peridotwell.policy.room.admission import fair_share

__all__ = ('FairShares',)

# Customers are limited to their fair shares while at least this fraction of
# a pool's slots is in use.
FAIR_SHARE_UTILISATION = 0.9


class FairShares:
    """Compares the usage of customers with their shares in one data centre."""

    def __init__(
        self,
        data_centre: str,
        membership: TargetMembership,
        loads: LoadTracker,
    ) -> None:
        self._data_centre = data_centre
        self._membership = membership
        self._loads = loads

    def is_full(self, request: CallerRequest, now: float) -> bool:
        """Return whether all slots of the request's pool are in use."""
        capacity = self._capacity(request.contract.pool, now)
        return 0 < capacity <= self._outstanding_requests(request, now)

    def is_over_share(
        self, request: CallerRequest, cfg: Defaults, now: float
    ) -> bool:
        """Return whether a pool is nearly full and the customer over its share.

        A pool that is nearly full is recorded.
        """
        capacity = self._capacity(request.contract.pool, now)
        if not capacity:
            return False
        if (
            self._outstanding_requests(request, now)
            < capacity * FAIR_SHARE_UTILISATION
        ):
            return False
        self._loads.record_pressure(now)
        return self.usage_ratio(request, cfg, now) > 1

    def usage_ratio(
        self, request: CallerRequest, cfg: Defaults, now: float
    ) -> float:
        """Return the ratio of the customer's usage to its fair share.

        The usage includes this request.
        """
        usage = self._loads.customer_requests(request.customer, now)
        demand = self._loads.customer_demand(now)
        own_demand = max(usage, demand.get(request.customer, 0)) + 1
        demand[request.customer] = own_demand
        capacity = self._capacity(request.contract.pool, now)
        share = fair_share(
            capacity or sum(demand.values()) + 1,
            demand,
            {request.customer: cfg.share},
            request.customer,
        )
        return (usage + 1) / max(share, 1)

    def _capacity(self, pool_name: str, now: float) -> int:
        """Return the slots of this data centre's targets (0: unlimited)."""
        pool = Pool(self._data_centre, pool_name)
        slots = [
            target.slots
            for target in self._membership.usable_targets(pool, now)
        ]
        return sum(slots) if all(slots) else 0

    def _outstanding_requests(self, request: CallerRequest, now: float) -> int:
        pool = Pool(self._data_centre, request.contract.pool)
        return self._loads.fleet_requests(pool, now)
