"""Token buckets of static shares: the rate that one router may use of a limit.

A limit on a target is divided among some routers, chosen for the target by
rendezvous hashing among all that are known. Each has a token bucket of its
own, which starts empty.
"""

from collections.abc import Collection
from dataclasses import dataclass

from peridotwell.domain.target import Target
from peridotwell.policy.placement.rendezvous import first_by_score

__all__ = ('ChosenRouters', 'TokenBucket', 'TokenBuckets')


@dataclass
class TokenBucket:
    """A token bucket of one target incarnation; it starts empty."""

    incarnation: int
    filled_at: float
    tokens: float = 0

    def fill(
        self, per_second: float, burst_requests: float, now: float
    ) -> None:
        """Add the tokens gained since the last call, up to the burst."""
        gained = max(now - self.filled_at, 0) * per_second
        self.tokens = min(self.tokens + gained, burst_requests)
        self.filled_at = now

    def wait_seconds(self, per_second: float) -> float:
        """Return after which time the bucket has a token."""
        return max((1 - self.tokens) / per_second, 0)


class TokenBuckets:
    """The buckets of this router by target, with the same burst each."""

    def __init__(self, burst_requests: float) -> None:
        self._burst_requests = burst_requests
        self._buckets: dict[int, TokenBucket] = {}

    def __len__(self) -> int:
        """Return the number of buckets."""
        return len(self._buckets)

    def filled(
        self, target: Target, per_second: float, now: float
    ) -> TokenBucket:
        """Return the bucket of a target, filled up to now."""
        target_id, incarnation = target.incarnation_id
        bucket = self._buckets.get(target_id)
        if bucket is None or bucket.incarnation != incarnation:
            bucket = TokenBucket(incarnation, now)
            self._buckets[target_id] = bucket
        bucket.fill(per_second, self._burst_requests, now)
        return bucket

    def remove(self, target_id: int) -> None:
        """Remove the bucket of a target."""
        self._buckets.pop(target_id, None)


class ChosenRouters:
    """The routers that share the limit of a target, among all known ones.

    `own` is the wire id of this router.
    """

    def __init__(self, own: int) -> None:
        self._own = own
        self._routers = frozenset((own,))
        # By target and number of chosen routers: whether this is one of them.
        self._chosen: dict[tuple[int, int], bool] = {}

    @property
    def known_count(self) -> int:
        """The number of known routers, this one included."""
        return len(self._routers)

    def set_routers(self, others: Collection[int]) -> bool:
        """Set the other routers that are known; return whether they differ."""
        routers = frozenset((self._own, *others))
        if routers == self._routers:
            return False
        self._routers = routers
        self._chosen.clear()
        return True

    def includes_own(self, target_id: int, count: int) -> bool:
        """Return whether this router is one of `count` chosen ones."""
        is_chosen = self._chosen.get((target_id, count))
        if is_chosen is None:
            chosen = first_by_score(str(target_id), self._routers, count)
            is_chosen = self._own in chosen
            self._chosen[target_id, count] = is_chosen
        return is_chosen
