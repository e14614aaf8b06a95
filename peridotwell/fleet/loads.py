"""Outstanding calls: this router's own, and the fleet's as reported."""

from collections import Counter

from peridotwell.fleet.membership import Membership
from peridotwell.fleet.peers import Peers
from peridotwell.policy.credits import load_caps
from peridotwell.store.configuration import ConfigurationBook
from peridotwell.world.target import Pool, Target, wire_id

__all__ = ('LoadBook',)

# Customers whose counts go into each heartbeat, largest first.
REPORTED_CUSTOMERS = 16
LEAST_REPORTED_CALLS = 2

Pairs = tuple[tuple[int, int], ...]


class LoadBook:
    """Counts of outstanding calls for each pool and customer."""

    def __init__(
        self,
        peers: Peers,
        membership: Membership,
        book: ConfigurationBook,
    ) -> None:
        self._book = book
        self._peers = peers
        self._membership = membership
        self._by_pool: Counter[int] = Counter()
        self._by_customer: Counter[str] = Counter()

    def enter(self, pool: Pool, customer: str) -> None:
        """Book a call that goes to a pool."""
        self._by_pool[pool.wire_id] += 1
        self._by_customer[customer] += 1

    def leave(self, pool: Pool, customer: str) -> None:
        """Book the end of a call."""
        self._by_pool[pool.wire_id] -= 1
        self._by_customer[customer] -= 1
        if self._by_customer[customer] <= 0:
            self._by_customer.pop(customer)

    def own(self, pool: Pool) -> int:
        """Return this router's outstanding calls for a pool."""
        return self._by_pool[pool.wire_id]

    def own_total(self) -> int:
        """Return this router's outstanding calls."""
        return self._by_pool.total()

    def outstanding(self, pool: Pool, now: float) -> int:
        """Return the fleet's outstanding calls for a pool."""
        return self.own(pool) + self._peers.outstanding(pool, now)

    def demand(self, now: float) -> dict[str, float]:
        """Return the fleet's outstanding calls by customer seen here."""
        elsewhere = self._peers.customer_usage(now)
        return {
            customer: calls + elsewhere.get(wire_id(customer), 0)
            for customer, calls in self._by_customer.items()
        }

    def reported_pools(self) -> Pairs:
        """Return the pools' counts for a heartbeat."""
        return tuple(
            (pool, calls) for pool, calls in self._by_pool.items() if calls
        )

    def reported_customers(self) -> Pairs:
        """Return the largest customers' counts for a heartbeat."""
        return tuple(
            (wire_id(customer), calls)
            for customer, calls in self._by_customer.most_common(
                REPORTED_CUSTOMERS,
            )
            if calls >= LEAST_REPORTED_CALLS
        )

    def cap(self, target: Target, now: float) -> int:
        """Return the most calls that `target` may have outstanding."""
        pool = target.pool
        cfg = self._book.current.for_call(pool=pool.name)
        caps = load_caps(
            self._membership.usable(pool, now),
            self.outstanding(pool, now),
            cfg.load_bound,
        )
        return caps.get(target.name, 0)
