"""Admission control: fair shares, priorities and a bounded queue.

A pool is saturated when its outstanding requests fill its slots. A customer
over its fair share then waits in the queue, if its priority class allows
waiting; otherwise its request is refused at once with a retry delay. Requests
of customers under their share go first.

The queue is bounded in requests and bytes. The request that would be admitted
last is dropped first.
"""

import itertools
import math
from bisect import bisect_left, insort
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from operator import attrgetter

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

    `fair_order` is lower for a customer that has used less of its share.
    `deadline_at` is the time on the trio clock at which it stops waiting.
    """

    priority: int
    fair_order: float
    arrival: int
    deadline_at: float = field(compare=False)
    size_bytes: int = field(default=0, compare=False)


@dataclass(eq=False)
class _QueueEntry:
    request: QueuedRequest
    woken: trio.Event = field(default_factory=trio.Event)
    has_left: bool = False
    is_displaced: bool = False


_request_of = attrgetter('request')


class AdmissionQueue:
    """A bounded priority queue of requests that wait for room.

    `max_bytes` bounds the sizes of the waiting requests together.
    """

    def __init__(self, max_bytes: float = math.inf) -> None:
        self._max_bytes = max_bytes
        self._waiting: list[_QueueEntry] = []
        self._bytes = 0
        self._arrivals = itertools.count()

    def __len__(self) -> int:
        return len(self._waiting)

    def next_arrival_number(self) -> int:
        """Return the arrival number for a new request."""
        return next(self._arrivals)

    def ahead(self, request: QueuedRequest) -> int:
        """Return how many waiting requests are admitted before `request`."""
        return bisect_left(self._waiting, request, key=_request_of)

    async def wait(
        self, request: QueuedRequest, limit: int, now: float
    ) -> None:
        """Wait until woken, or until `request.deadline_at`.

        Raises Overloaded at once if `limit` requests, or `max_bytes` of them,
        of equal or higher rank wait already, and later if the time is up or a
        request of higher rank displaces this one from a full queue.
        """
        for displaced in self._displaced_by(request, limit):
            displaced.is_displaced = True
            self._remove(displaced)
            displaced.woken.set()
        entry = _QueueEntry(request)
        insort(self._waiting, entry, key=_request_of)
        self._bytes += request.size_bytes
        try:
            with trio.fail_after(max(0, request.deadline_at - now)):
                await entry.woken.wait()
        except trio.TooSlowError:
            raise _overloaded('No target became free in time') from None
        finally:
            self._remove(entry)
        if entry.is_displaced:
            raise _overloaded('A more urgent request displaced this one')

    def wake_next(self, count: int = 1) -> None:
        """Wake the first `count` waiting requests so that they try again."""
        for entry in self._waiting[:count]:
            self._remove(entry)
            entry.woken.set()

    def _displaced_by(
        self, request: QueuedRequest, limit: int
    ) -> Sequence[_QueueEntry]:
        """Return the requests that give way so that this one fits.

        Raises Overloaded if those of lower rank are too few.
        """
        lower = self._waiting[self.ahead(request) :]
        requests = len(self) + 1
        size_bytes = self._bytes + request.size_bytes
        displaced: list[_QueueEntry] = []
        while requests > limit or size_bytes > self._max_bytes:
            if not lower:
                raise _overloaded('The queue is full')
            displaced.append(lower.pop())
            requests -= 1
            size_bytes -= displaced[-1].request.size_bytes
        return displaced

    def _remove(self, entry: _QueueEntry) -> None:
        """Remove a request that no longer waits, if it is still there."""
        if entry.has_left:
            return
        entry.has_left = True
        self._waiting.pop(self.ahead(entry.request))
        self._bytes -= entry.request.size_bytes


def _overloaded(reason: str) -> Overloaded:
    return Overloaded(
        f'{reason}: send the request again later.',
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )
