"""Outstanding calls: this router's own, and the fleet's as reported."""

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

# While a pool is nearly full, heartbeats carry the counts of so many of the
# router's largest customers; the others' usage is estimated.
REPORTED_CUSTOMERS = 4
PRESSURE_SECONDS = 5
# Pools whose counts go into one heartbeat, those that changed most first.
REPORTED_POOLS = 6
# Demand is averaged over this time, so that calls that a surge crowds out
# count for a while and small samples do not mislead.
AVERAGING_SECONDS = 20
FORGOTTEN_DEMAND = 0.1

Pairs = tuple[tuple[int, int], ...]


@dataclass(frozen=True)
class _Average:
    calls: float
    at: float

    def updated(self, calls: float, now: float) -> '_Average':
        """Return the average with a new sample."""
        weight = math.exp((self.at - now) / AVERAGING_SECONDS)
        return _Average(self.calls * weight + calls * (1 - weight), now)


class LoadTracker:
    """Counts of outstanding calls for each target and customer.

    Calls on targets that take no new work do not count for their pool.
    """

    def __init__(
        self,
        peers: Peers,
        membership: TargetMembership,
        book: ConfigurationStore,
    ) -> None:
        self._book = book
        self._peers = peers
        self._membership = membership
        self._by_target: Counter[str] = Counter()
        self._by_customer: Counter[str] = Counter()
        self._waiting: Counter[str] = Counter()
        self._averages: dict[str, _Average] = {}
        self._pressure_until = -math.inf
        self._reported: dict[int, int] = {}

    def record_call_start(self, target: Target, customer: str) -> None:
        """Book a call that goes to a target."""
        self._by_target[target.name] += 1
        self._by_customer[customer] += 1

    def record_call_end(self, target: Target, customer: str) -> None:
        """Book the end of a call."""
        _take_one(self._by_target, target.name)
        _take_one(self._by_customer, customer)

    def record_wait_start(self, customer: str) -> None:
        """Book a call that waits for a credit."""
        self._waiting[customer] += 1

    def record_wait_end(self, customer: str) -> None:
        """Book the end of a wait."""
        _take_one(self._waiting, customer)

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
        """Return the calls that customers have or want on average."""
        live = self._peers.live_peers(now)
        names = self._averages.keys() | self._by_customer.keys()
        for customer in names | self._waiting.keys():
            calls = self._by_customer[customer] + self._waiting[customer]
            wanted = self._estimate(customer, calls, live)
            known = self._averages.get(customer, _Average(wanted, now))
            self._averages[customer] = known.updated(wanted, now)
        self._averages = {
            customer: average
            for customer, average in self._averages.items()
            if average.calls > FORGOTTEN_DEMAND
        }
        return {
            customer: average.calls
            for customer, average in self._averages.items()
        }

    def customer_calls(self, customer: str, now: float) -> float:
        """Return a customer's outstanding calls, fleet-wide."""
        calls = self._by_customer[customer]
        return self._estimate(customer, calls, self._peers.live_peers(now))

    def record_pressure(self, now: float) -> None:
        """Book that a pool is nearly full, so that customers' counts matter."""
        self._pressure_until = now + PRESSURE_SECONDS

    def _estimate(
        self,
        customer: str,
        calls: int,
        live: Iterable[Peer],
    ) -> float:
        """Return a fleet-wide count from this router's own.

        On routers that do not report the customer it is taken to have the
        same part of all calls as here.
        """
        own_part = calls / max(self.own_total_calls(), 1)
        number = wire_id(customer)
        return calls + math.fsum(
            peer.customer_calls.get(number, peer.total_calls() * own_part)
            for peer in live
        )

    def reported_pools(self, now: float) -> Pairs:
        """Return the pools' counts that a heartbeat has to carry."""
        changes = []
        for pool in self._membership.all_pools():
            calls = self.own_calls(pool, now)
            number = pool.wire_id
            change = abs(calls - self._reported.get(number, 0))
            if change:
                changes.append((change, number, calls))
        largest = sorted(changes, reverse=True)[:REPORTED_POOLS]
        chosen = tuple((number, calls) for _, number, calls in largest)
        self._reported.update(chosen)
        return chosen

    def reported_customers(self, now: float) -> Pairs:
        """Return the largest customers' counts, while a pool is nearly full."""
        if now > self._pressure_until:
            return ()
        largest = self._by_customer.most_common(REPORTED_CUSTOMERS)
        return tuple((wire_id(customer), calls) for customer, calls in largest)

    def target_caps(self, pool: Pool, now: float) -> dict[str, int]:
        """Return the most calls that each target may have outstanding."""
        cfg = self._book.current.for_request(pool=pool.name)
        return load_caps(
            self._membership.usable_targets(pool, now),
            self.fleet_calls(pool, now),
            cfg.load_bound,
        )


def _take_one(counter: Counter[str], name: str) -> None:
    counter[name] -= 1
    if counter[name] <= 0:
        counter.pop(name)
