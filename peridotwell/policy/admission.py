"""Admission: fair shares between customers, priorities, a bounded queue.

A pool is saturated when its outstanding work reaches its slots. Then a
customer over its share waits (if its class may) or is refused at once with
the time after which a retry helps; customers under their share go first.
"""

import heapq
import itertools
from collections.abc import Mapping
from dataclasses import dataclass, field

import trio

from peridotwell.errors import Overloaded

__all__ = ('fair_share', 'QueuedRequest', 'AdmissionQueue')

RETRY_AFTER_SECONDS = 2


def fair_share(
    capacity: float,
    demand: Mapping[str, float],
    weights: Mapping[str, float],
    customer: str,
) -> float:
    """Return the part of `capacity` that is `customer`'s by max-min fairness.

    Customers who ask for less than an equal (weighted) part leave the rest
    to the others. `demand` maps customers to the work they have or want.
    """
    remaining = capacity
    weight_left = sum(weights.get(name, 1) for name in demand)
    by_need = sorted(
        demand,
        key=lambda name: demand[name] / weights.get(name, 1),
    )
    for name in by_need:
        weight = weights.get(name, 1)
        part = remaining * weight / weight_left
        if name == customer:
            return part
        remaining -= min(part, demand[name])
        weight_left -= weight
    return remaining


@dataclass(frozen=True, order=True)
class QueuedRequest:
    """One call that waits: lower sorts first.

    `overuse` is the customer's outstanding work over its share.
    """

    priority: int
    overuse: float
    arrival: int
    until: float = field(compare=False)


@dataclass
class _Place:
    demand: QueuedRequest
    called: trio.Event = field(default_factory=trio.Event)
    left: bool = False
    is_displaced: bool = False


class AdmissionQueue:
    """A bounded queue of calls that wait for a credit of one pool."""

    def __init__(self) -> None:
        self._heap: list[tuple[QueuedRequest, int, _Place]] = []
        self._arrivals = itertools.count()

    def __len__(self) -> int:
        return sum(not place.left for _, _, place in self._heap)

    def next_arrival_number(self) -> int:
        """Return the arrival number for a new demand."""
        return next(self._arrivals)

    async def wait(self, demand: QueuedRequest, limit: int, now: float) -> None:
        """Wait until called, at most until `demand.until`.

        Raises Overloaded: at once when `limit` calls wait that go first,
        else when the time is up or a more urgent call takes the place.
        """
        if len(self) >= limit and not self._displace(demand):
            raise _overloaded('The queue is full')
        place = _Place(demand)
        heapq.heappush(self._heap, (demand, demand.arrival, place))
        try:
            with trio.fail_after(max(0, demand.until - now)):
                await place.called.wait()
        except trio.TooSlowError:
            raise _overloaded('No target became free in time') from None
        finally:
            place.left = True
        if place.is_displaced:
            raise _overloaded('A more urgent request took the place')

    def wake_next(self, count: int = 1) -> None:
        """Let the first `count` waiting calls try again."""
        called = 0
        while self._heap and called < count:
            place = heapq.heappop(self._heap)[-1]
            if not place.left:
                place.called.set()
                called += 1

    def _displace(self, demand: QueuedRequest) -> bool:
        waiting = [place for _, _, place in self._heap if not place.left]
        worst = max(waiting, key=lambda place: place.demand)
        if worst.demand <= demand:
            return False
        worst.is_displaced = True
        worst.left = True
        worst.called.set()
        return True


def _overloaded(reason: str) -> Overloaded:
    return Overloaded(
        f'{reason}: send the request again later.',
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )
