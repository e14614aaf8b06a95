"""Counts outstanding requests of this router and of the whole fleet."""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from peridotwell.domain.target import Pool, Target, wire_id
from peridotwell.fleet.membership.target_membership import TargetMembership
from peridotwell.fleet.transport.peers import Peer, Peers
from peridotwell.policy.room.credits import load_caps
from peridotwell.store.configuration import ConfigurationStore

__all__ = ('LoadTracker',)

# While a pool is nearly full, heartbeats carry the counts of this many of the
# router's largest customers; the usage of other customers is estimated.
MAX_REPORTED_CUSTOMERS = 4
# Heartbeats carry these counts for this time after a pool was nearly full.
PRESSURE_SECONDS = 5
# Limit of pool counts in one heartbeat; the largest changes are sent first.
MAX_REPORTED_POOLS = 6
# Time constant of the average demand, so that requests that a surge displaces
# count for some time and small samples have little weight.
AVERAGING_SECONDS = 20
# Customers with a lower average demand are dropped.
MIN_DEMAND_REQUESTS = 0.1

# Pairs of a wire id and a number of requests.
Pairs = tuple[tuple[int, int], ...]


@dataclass(frozen=True)
class _MovingAverage:
    requests: float
    updated_at: float

    def updated(self, requests: float, now: float) -> '_MovingAverage':
        """Return the average with a new sample."""
        weight = math.exp((self.updated_at - now) / AVERAGING_SECONDS)
        return _MovingAverage(
            self.requests * weight + requests * (1 - weight), now
        )


class LoadTracker:
    """Counts of outstanding requests for each target and customer.

    Requests on targets that accept no new work are not counted for their pool.
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

    def record_request_start(self, target: Target, customer: str) -> None:
        """Record a request that is sent to a target."""
        self._by_target[target.name] += 1
        self._by_customer[customer] += 1

    def record_request_end(self, target: Target, customer: str) -> None:
        """Record the end of a request."""
        _decrement(self._by_target, target.name)
        _decrement(self._by_customer, customer)

    def record_wait_start(self, customer: str) -> None:
        """Record that a request waits for a credit."""
        self._waiting[customer] += 1

    def record_wait_end(self, customer: str) -> None:
        """Record that a request no longer waits for a credit."""
        _decrement(self._waiting, customer)

    def own_requests(self, pool: Pool, now: float) -> int:
        """Return this router's outstanding requests for a pool."""
        return sum(
            self._by_target[target.name]
            for target in self._membership.usable_targets(pool, now)
        )

    def own_total_requests(self) -> int:
        """Return this router's outstanding requests on all targets."""
        return self._by_target.total()

    def fleet_requests(self, pool: Pool, now: float) -> int:
        """Return the fleet's outstanding requests for a pool."""
        return self.own_requests(pool, now) + self._peers.pool_requests(
            pool, now
        )

    def customer_demand(self, now: float) -> dict[str, float]:
        """Return the average demand of each customer, in requests.

        The demand includes the requests that wait for a credit.
        """
        live = self._peers.live_peers(now)
        names = self._averages.keys() | self._by_customer.keys()
        for customer in names | self._waiting.keys():
            requests = self._by_customer[customer] + self._waiting[customer]
            wanted = self._estimate(customer, requests, live)
            previous = self._averages.get(customer, _MovingAverage(wanted, now))
            self._averages[customer] = previous.updated(wanted, now)
        self._averages = {
            customer: average
            for customer, average in self._averages.items()
            if average.requests > MIN_DEMAND_REQUESTS
        }
        return {
            customer: average.requests
            for customer, average in self._averages.items()
        }

    def customer_requests(self, customer: str, now: float) -> float:
        """Return a customer's estimated outstanding requests, fleet-wide."""
        requests = self._by_customer[customer]
        return self._estimate(customer, requests, self._peers.live_peers(now))

    def record_pressure(self, now: float) -> None:
        """Record that a pool is nearly full: heartbeats report customers."""
        self._pressure_until = now + PRESSURE_SECONDS

    def _estimate(
        self,
        customer: str,
        requests: int,
        live: Iterable[Peer],
    ) -> float:
        """Estimate a customer's requests in the fleet from this router's count.

        On routers that do not report the customer, it is assumed to have
        the same fraction of all requests as on this router.
        """
        own_fraction = requests / max(self.own_total_requests(), 1)
        customer_id = wire_id(customer)
        return requests + math.fsum(
            peer.customer_requests.get(
                customer_id, peer.total_requests() * own_fraction
            )
            for peer in live
        )

    def reported_pools(self, now: float) -> Pairs:
        """Return the changed pool counts for a heartbeat, by wire id.

        These are then regarded as reported.
        """
        changes = []
        for pool in self._membership.all_pools():
            requests = self.own_requests(pool, now)
            pool_id = pool.wire_id
            change = abs(requests - self._last_reported.get(pool_id, 0))
            if change:
                changes.append((change, pool_id, requests))
        largest = sorted(changes, reverse=True)[:MAX_REPORTED_POOLS]
        chosen = tuple((pool_id, requests) for _, pool_id, requests in largest)
        self._last_reported.update(chosen)
        return chosen

    def reported_customers(self, now: float) -> Pairs:
        """Return the counts of the largest customers for a heartbeat.

        Empty unless a pool is nearly full.
        """
        if now > self._pressure_until:
            return ()
        largest = self._by_customer.most_common(MAX_REPORTED_CUSTOMERS)
        return tuple(
            (wire_id(customer), requests) for customer, requests in largest
        )

    def target_caps(self, pool: Pool, now: float) -> dict[str, int]:
        """Return the maximum of outstanding requests for each target name."""
        cfg = self._configuration_store.current.for_request(pool=pool.name)
        return load_caps(
            self._membership.usable_targets(pool, now),
            self.fleet_requests(pool, now),
            cfg.load_bound,
        )


def _decrement(counter: Counter[str], name: str) -> None:
    counter[name] -= 1
    if counter[name] <= 0:
        counter.pop(name)
