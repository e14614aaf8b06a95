"""Admission control: fair shares, priorities and a bounded queue.

A pool is saturated when its outstanding requests fill its slots. A customer
over its fair share then waits in the queue, if its priority class allows
waiting; otherwise its request is refused at once with a retry delay. Requests
of customers under their share go first.
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
    """Return the max-min fair share of `capacity` for `customer`.

    Capacity that a customer does not need is divided among the others in
    proportion to `weights` (1 where a customer has none). `demand` maps each
    customer to the sum of its running and wanted requests.
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
    """A waiting request; the one that sorts lowest is admitted first.

    `overuse` is the customer's outstanding work divided by its fair share.
    `deadline_at` is the time on the trio clock at which it stops waiting.
    """

    priority: int
    overuse: float
    arrival: int
    deadline_at: float = field(compare=False)


@dataclass
class _QueueEntry:
    request: QueuedRequest
    woken: trio.Event = field(default_factory=trio.Event)
    has_left: bool = False
    is_displaced: bool = False


class AdmissionQueue:
    """A bounded priority queue of requests that wait for a credit of a pool."""

    def __init__(self) -> None:
        self._heap: list[tuple[QueuedRequest, int, _QueueEntry]] = []
        self._arrivals = itertools.count()

    def __len__(self) -> int:
        return sum(not entry.has_left for _, _, entry in self._heap)

    def next_arrival_number(self) -> int:
        """Return the arrival number for a new request."""
        return next(self._arrivals)

    async def wait(
        self, request: QueuedRequest, limit: int, now: float
    ) -> None:
        """Wait until woken, or until `request.deadline_at`.

        Raises Overloaded at once if `limit` requests of equal or higher rank
        wait already, and later if the time is up or a request of higher rank
        displaces this one from a full queue.
        """
        if len(self) >= limit and not self._displace(request):
            raise _overloaded('The queue is full')
        entry = _QueueEntry(request)
        heapq.heappush(self._heap, (request, request.arrival, entry))
        try:
            with trio.fail_after(max(0, request.deadline_at - now)):
                await entry.woken.wait()
        except trio.TooSlowError:
            raise _overloaded('No target became free in time') from None
        finally:
            entry.has_left = True
        if entry.is_displaced:
            raise _overloaded('A more urgent request displaced this one')

    def wake_next(self, count: int = 1) -> None:
        """Wake the first `count` waiting requests so that they try again."""
        woken = 0
        while self._heap and woken < count:
            entry = heapq.heappop(self._heap)[-1]
            if not entry.has_left:
                entry.woken.set()
                woken += 1

    def _displace(self, request: QueuedRequest) -> bool:
        waiting = [entry for _, _, entry in self._heap if not entry.has_left]
        lowest = max(waiting, key=lambda entry: entry.request)
        if lowest.request <= request:
            return False
        lowest.is_displaced = True
        lowest.has_left = True
        lowest.woken.set()
        return True


def _overloaded(reason: str) -> Overloaded:
    return Overloaded(
        f'{reason}: send the request again later.',
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )
