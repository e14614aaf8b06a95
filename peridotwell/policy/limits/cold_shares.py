"""How many requests this router may send to a cold target, and when.

Pattern: distributed rate limiting by static shares (`token_buckets`). A cold
target crashes if it gets too many requests in a second, so the bound on them
holds for all routers together, also for those that cannot reach each other.
A bucket holds one token at most. A router whose share is below one request a
second thus sends at most one in a second, however long it waited: the number
of chosen routers may be nearly the bound itself.

Routers may disagree on which routers exist. Those that have disappeared count
for a while, since they may be cut off and still send. A router that is chosen
because others came or went, or that has just started, waits until the others
have learned of it. The bound has room for some more routers than are chosen.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass
from functools import lru_cache

from peridotwell.domain.target import Target
from peridotwell.policy.limits.token_buckets import ChosenRouters, TokenBuckets

__all__ = ('ColdBound', 'ColdShares', 'RateSplit', 'split_rate')

WINDOW_SECONDS = 1.0
# Requests of a router may travel longer than others by this time, and arrive
# together with later ones.
TRAVEL_SPREAD_SECONDS = 0.5
BURST_REQUESTS = 1.0
# For each chosen router, this part of one may send besides them, because it
# knows other routers than they do.
STRAY_SHARE = 0.25
MAX_CHOSEN_ROUTERS = 64
# Time in which routers learn that another one has come or gone.
SETTLE_SECONDS = 2.0
# A router that has disappeared counts for this time.
RETENTION_SECONDS = 120.0
MAX_PLACES = 16384


@dataclass(frozen=True)
class ColdBound:
    """What a cold target bears, from all routers together.

    It is meant to get `per_second`; in any second it gets at most `overage`
    times as many requests, plus `slack`.
    """

    per_second: float
    overage: float
    slack: float

    @property
    def max_requests(self) -> int:
        """The most requests in any second."""
        return int(self.per_second * self.overage + self.slack)


@dataclass(frozen=True)
class RateSplit:
    """How a rate is divided among `routers`; each has `share` a second."""

    routers: int
    share: float

    @property
    def rank(self) -> tuple[float, int]:
        """The order of splits: by the whole rate, then by the routers."""
        return self.share * self.routers, self.routers


@lru_cache(maxsize=1024)
def split_rate(bound: ColdBound, known_routers: int) -> RateSplit | None:
    """Return the split of most use that keeps the bound, or None.

    Of those that use the same rate, the one with most routers is returned.
    """
    most = min(known_routers, MAX_CHOSEN_ROUTERS)
    splits = (_split(bound, count) for count in range(1, most + 1))
    return max(
        (split for split in splits if split.share > 0),
        key=lambda split: (round(split.rank[0], 9), split.routers),
        default=None,
    )


def _split(bound: ColdBound, count: int) -> RateSplit:
    senders = count + math.ceil(count * STRAY_SHARE)
    if bound.max_requests == 1:
        senders = count
    # Each sends at most this many in a window, as its share times the window
    # is not above it.
    each = bound.max_requests // senders
    window_seconds = WINDOW_SECONDS + TRAVEL_SPREAD_SECONDS
    return RateSplit(
        count, min(bound.per_second / count, each / window_seconds)
    )


@dataclass(frozen=True)
class _Place:
    """This router's share of a bound, as the routers were in a `view`.

    It may be used from `usable_from` on; None if this router has none.
    """

    view: int
    bound: ColdBound
    share: float
    usable_from: float | None


class ColdShares:
    """This router's shares of what cold targets bear.

    `own` is the wire id of this router. Times are in seconds of its own clock.
    """

    def __init__(self, own: int = 0) -> None:
        self._chosen = ChosenRouters(own)
        self._buckets = TokenBuckets(BURST_REQUESTS)
        self._places: dict[int, _Place] = {}
        # When each other router was last known.
        self._known_at: dict[int, float] = {}
        # Counts the changes of the known routers; when the last one was.
        self._view = 0
        self._view_changed_at = math.inf

    def set_routers(self, others: Collection[int], now: float) -> None:
        """Set the other routers that are known now."""
        self._known_at.update(dict.fromkeys(others, now))
        known_at = {
            router: at
            for router, at in self._known_at.items()
            if now - at < RETENTION_SECONDS
        }
        self._known_at = known_at
        if self._chosen.set_routers(known_at.keys()) or not self._view:
            self._view += 1
            self._view_changed_at = now

    def start(self, target: Target, now: float) -> None:
        """Let the empty bucket of a target that is cold now begin to fill."""
        self._buckets.filled(target, 0, now)

    def wait_seconds(
        self, target: Target, bound: ColdBound, now: float
    ) -> float | None:
        """Return after which time this router may send a target a request.

        Returns None if it has no share.
        """
        place = self._place(target.wire_id, bound)
        if place.usable_from is None or not self._view:
            return None
        bucket = self._buckets.filled(target, place.share, now)
        return max(bucket.wait_seconds(place.share), place.usable_from - now, 0)

    def record_send(self, target: Target, bound: ColdBound, now: float) -> None:
        """Record that a request is sent to a cold target."""
        place = self._place(target.wire_id, bound)
        self._buckets.filled(target, place.share, now).tokens -= 1

    def remove(self, target_id: int) -> None:
        """Remove what is kept of a target; its next bucket is empty."""
        self._buckets.remove(target_id)
        self._places.pop(target_id, None)

    def _place(self, target_id: int, bound: ColdBound) -> _Place:
        known = self._places.get(target_id)
        if known is not None and (known.view, known.bound) == (
            self._view,
            bound,
        ):
            return known
        place = self._new_place(target_id, bound, known)
        if len(self._places) >= MAX_PLACES:
            self._places.pop(next(iter(self._places)))
        self._places[target_id] = place
        return place

    def _new_place(
        self, target_id: int, bound: ColdBound, known: _Place | None
    ) -> _Place:
        split = split_rate(bound, self._chosen.known_count)
        if split is None or not self._chosen.includes_own(
            target_id, split.routers
        ):
            return _Place(self._view, bound, 0, None)
        usable_from = self._view_changed_at + SETTLE_SECONDS
        if known is not None and known.usable_from is not None:
            usable_from = min(known.usable_from, usable_from)
        return _Place(self._view, bound, split.share, usable_from)
