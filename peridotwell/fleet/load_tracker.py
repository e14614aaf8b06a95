"""Counts outstanding calls of this router and, from reports, of the fleet."""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from peridotwell.domain.target import Pool, Target, wire_id
from peridotwell.fleet.peers import Peer, Peers
from peridotwell.fleet.target_membership import TargetMembership
from peridotwell.policy.credits import load_caps
from peridotwell.store.configuration import ConfigurationStore

__all__ = ('LoadTracker',)

# While a pool is nearly full, heartbeats carry the counts of this many of the
# router's largest customers; the usage of other customers is estimated.
MAX_REPORTED_CUSTOMERS = 4
PRESSURE_SECONDS = 5
# Limit of pool counts in one heartbeat; the largest changes are sent first.
MAX_REPORTED_POOLS = 6
# Time constant of the average demand, so that calls that a surge displaces
# count for some time and small samples have little weight.
AVERAGING_SECONDS = 20
# Customers with a lower average demand are dropped.
MIN_DEMAND_CALLS = 0.1

Pairs = tuple[tuple[int, int], ...]


@dataclass(frozen=True)
class _MovingAverage:
    calls: float
    at: float

    def updated(self, calls: float, now: float) -> '_MovingAverage':
        """Return the average with a new sample."""
        weight = math.exp((self.at - now) / AVERAGING_SECONDS)
        return _MovingAverage(self.calls * weight + calls * (1 - weight), now)


class LoadTracker:
    """Counts of outstanding calls for each target and customer.

    Calls on targets that accept no new work are not counted for their pool.
    """

    def __init__(
        self,
        peers: Peers,
        membership: TargetMembership,
        configuration_store: ConfigurationStore,
    ) -> None:
        self._configuration_store = configuration_store
        self._peers = peers
        self._membership = membership
        self._by_target: Counter[str] = Counter()
        self._by_customer: Counter[str] = Counter()
        self._waiting: Counter[str] = Counter()
        self._averages: dict[str, _MovingAverage] = {}
        self._pressure_until = -math.inf
        self._last_reported: dict[int, int] = {}

    def record_call_start(self, target: Target, customer: str) -> None:
        """Record a call that is sent to a target."""
        self._by_target[target.name] += 1
        self._by_customer[customer] += 1

    def record_call_end(self, target: Target, customer: str) -> None:
        """Record the end of a call."""
        _decrement(self._by_target, target.name)
        _decrement(self._by_customer, customer)

    def record_wait_start(self, customer: str) -> None:
        """Record that a call waits for a credit."""
        self._waiting[customer] += 1

    def record_wait_end(self, customer: str) -> None:
        """Record that a call no longer waits for a credit."""
        _decrement(self._waiting, customer)

    def own_calls(self, pool: Pool, now: float) -> int:
        """Return this router's outstanding calls for a pool."""
        return sum(
            self._by_target[target.name]
            for target in self._membership.usable_targets(pool, now)
        )

    def own_total_calls(self) -> int:
        """Return this router's outstanding calls."""
        return self._by_target.total()

    def fleet_calls(self, pool: Pool, now: float) -> int:
        """Return the fleet's outstanding calls for a pool."""
        return self.own_calls(pool, now) + self._peers.pool_calls(pool, now)

    def customer_demand(self, now: float) -> dict[str, float]:
        """Return the average demand of each customer, in calls.

        The demand includes the calls that wait for a credit.
        """
        live = self._peers.live_peers(now)
        names = self._averages.keys() | self._by_customer.keys()
        for customer in names | self._waiting.keys():
            calls = self._by_customer[customer] + self._waiting[customer]
            wanted = self._estimate(customer, calls, live)
            known = self._averages.get(customer, _MovingAverage(wanted, now))
            self._averages[customer] = known.updated(wanted, now)
        self._averages = {
            customer: average
            for customer, average in self._averages.items()
            if average.calls > MIN_DEMAND_CALLS
        }
        return {
            customer: average.calls
            for customer, average in self._averages.items()
        }

    def customer_calls(self, customer: str, now: float) -> float:
        """Return an estimate of a customer's outstanding calls in the fleet."""
        calls = self._by_customer[customer]
        return self._estimate(customer, calls, self._peers.live_peers(now))

    def record_pressure(self, now: float) -> None:
        """Record that a pool is nearly full: heartbeats report customers."""
        self._pressure_until = now + PRESSURE_SECONDS

    def _estimate(
        self,
        customer: str,
        calls: int,
        live: Iterable[Peer],
    ) -> float:
        """Estimate a customer's calls in the fleet from this router's count.

        On routers that do not report the customer, it is assumed to have
        the same fraction of all calls as on this router.
        """
        own_part = calls / max(self.own_total_calls(), 1)
        customer_id = wire_id(customer)
        return calls + math.fsum(
            peer.customer_calls.get(customer_id, peer.total_calls() * own_part)
            for peer in live
        )

    def reported_pools(self, now: float) -> Pairs:
        """Return the changed pool counts for a heartbeat, by wire id.

        These are then regarded as reported.
        """
        changes = []
        for pool in self._membership.all_pools():
            calls = self.own_calls(pool, now)
            pool_id = pool.wire_id
            change = abs(calls - self._last_reported.get(pool_id, 0))
            if change:
                changes.append((change, pool_id, calls))
        largest = sorted(changes, reverse=True)[:MAX_REPORTED_POOLS]
        chosen = tuple((pool_id, calls) for _, pool_id, calls in largest)
        self._last_reported.update(chosen)
        return chosen

    def reported_customers(self, now: float) -> Pairs:
        """Return the counts of the largest customers for a heartbeat.

        Empty unless a pool is nearly full.
        """
        if now > self._pressure_until:
            return ()
        largest = self._by_customer.most_common(MAX_REPORTED_CUSTOMERS)
        return tuple((wire_id(customer), calls) for customer, calls in largest)

    def target_caps(self, pool: Pool, now: float) -> dict[str, int]:
        """Return the maximum of outstanding calls of each target, by name."""
        cfg = self._configuration_store.current.for_request(pool=pool.name)
        return load_caps(
            self._membership.usable_targets(pool, now),
            self.fleet_calls(pool, now),
            cfg.load_bound,
        )


def _decrement(counter: Counter[str], name: str) -> None:
    counter[name] -= 1
    if counter[name] <= 0:
        counter.pop(name)
