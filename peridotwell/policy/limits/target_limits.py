"""Limits that targets name: requests a second from all routers together.

Pattern: distributed rate limiting by static shares. A limit is divided among
some routers, chosen for the target by rendezvous hashing among all that are
known, each with a token bucket of its own. The shares need no messages, so
they hold for routers that are cut off, freeze or have just started. So few
routers are chosen that each has a share worth using: the buckets of all of
them together hold little more than what the target takes in a second.

Routers tell each other the limits: one that has never asked a target knows
its limit too. A limit ends when answers of the target name none any more.
"""

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass

import msgspec

from peridotwell.decoding import number_below
from peridotwell.domain.target import Target
from peridotwell.policy.limits.token_buckets import ChosenRouters, TokenBuckets
from peridotwell.policy.updates.soft_state import SoftState

__all__ = ('LimitRecord', 'TargetLimits', 'parse_limit')

MIN_SHARE_PER_SECOND = 1.0
# A target that takes nothing is asked so often whether it still says so.
MIN_LIMIT_PER_SECOND = 0.2
BURST_REQUESTS = 1.5
# A limit ends with an answer that names none, if the last one that named it is
# older: answers that overtake each other do not end it.
END_DELAY_SECONDS = 1.0
# A limit that no answer has confirmed for this time is forgotten.
TTL_SECONDS = 20.0
# A record is told again at once if it has changed by more than this share.
CHANGED_SHARE = 0.1
MAX_LIMITS = 4096
DECISECONDS_PER_SECOND = 10
# A higher limit does not restrict anything.
MAX_LIMIT_PER_SECOND = 100_000.0


class LimitRecord(msgspec.Struct, frozen=True, array_like=True):
    """What a target incarnation last said of its limit.

    Target and incarnation are wire ids. `per_second` is None if it named no
    limit. `age_deciseconds` tells how many tenths of a second ago it said so.
    """

    target: int
    incarnation: int
    per_second: float | None
    age_deciseconds: int = 0

    @property
    def key(self) -> int:
        """The target."""
        return self.target


@dataclass(frozen=True)
class _Limit:
    """A limit, when the target last named it, and what it last said."""

    incarnation: int
    per_second: float | None
    said_at: float
    named_at: float

    def is_expired(self, now: float) -> bool:
        return now - self.said_at >= TTL_SECONDS


class TargetLimits(SoftState[LimitRecord]):
    """The limits that targets name, and what this router may send them.

    `own` is the wire id of this router. Times are in seconds of its own clock.
    """

    def __init__(self, own: int = 0) -> None:
        self._limits: dict[int, _Limit] = {}
        self._buckets = TokenBuckets(BURST_REQUESTS)
        self._chosen = ChosenRouters(own)

    @property
    def is_empty(self) -> bool:
        """Whether no target has named a limit lately."""
        return not self._limits

    def set_routers(self, others: Collection[int]) -> None:
        """Set the other routers that are known."""
        self._chosen.set_routers(others)

    def record(
        self,
        target: Target,
        per_second: float | None,
        now: float,
        sent_at: float | None = None,
    ) -> LimitRecord | None:
        """Record what an answer of a target says of its limit.

        `sent_at` is when its request was sent, by default `now`. Returns the
        record if the other routers should know it at once.
        """
        target_id, incarnation = target.incarnation_id
        known = self._limits.get(target_id)
        if known is not None and known.incarnation != incarnation:
            known = None
        previous = known.per_second if known else None
        if per_second is None and (
            known is None
            or previous is None
            or now - known.named_at < END_DELAY_SECONDS
            or (sent_at is not None and sent_at < known.named_at)
        ):
            return None
        record = LimitRecord(target_id, incarnation, per_second)
        self._set(record, now)
        return record if _differ(previous, per_second) else None

    def merge(
        self, records: Iterable[LimitRecord], now: float
    ) -> Iterable[LimitRecord]:
        """Merge the records of another router; the latest answer counts."""
        for record in records:
            known = self._limits.get(record.target)
            said_at = now - record.age_deciseconds / DECISECONDS_PER_SECOND
            if known is None or known.said_at < said_at:
                self._set(record, said_at)
        return ()

    def to_repeat(self, now: float) -> Iterator[LimitRecord]:
        """Yield what targets have said lately."""
        for target_id, limit in self._limits.items():
            if not limit.is_expired(now):
                yield LimitRecord(
                    target_id,
                    limit.incarnation,
                    limit.per_second,
                    int(max(now - limit.said_at, 0) * DECISECONDS_PER_SECOND),
                )

    def expire(self, now: float) -> None:
        """Remove what has expired."""
        expired = [
            target_id
            for target_id, limit in self._limits.items()
            if limit.is_expired(now)
        ]
        for target_id in expired:
            self._remove(target_id)

    def limit(self, target: Target, now: float) -> float | None:
        """Return the limit that a target names, or None."""
        target_id, incarnation = target.incarnation_id
        limit = self._limits.get(target_id)
        if limit is None or limit.incarnation != incarnation:
            return None
        if limit.per_second is None or limit.is_expired(now):
            return None
        return max(limit.per_second, MIN_LIMIT_PER_SECOND)

    def accepts(self, target: Target, now: float) -> bool:
        """Return whether this router may send a target one more request."""
        return self.wait_seconds(target, now) == 0

    def wait_seconds(self, target: Target, now: float) -> float | None:
        """Return after which time this router may send a target a request.

        Returns None if it has no share of the target's limit.
        """
        per_second = self.limit(target, now)
        if per_second is None:
            return 0
        share = self._share(target.wire_id, per_second)
        if not share:
            return None
        return self._buckets.filled(target, share, now).wait_seconds(share)

    def is_unused(self, target: Target, now: float) -> bool:
        """Return whether this router leaves its share of a limit unused.

        Its bucket is full then, and gains nothing until a request is sent.
        """
        per_second = self.limit(target, now)
        if per_second is None:
            return False
        share = self._share(target.wire_id, per_second)
        bucket = self._buckets.filled(target, share, now)
        return bucket.tokens >= BURST_REQUESTS

    def record_send(self, target: Target, now: float) -> None:
        """Record that a request is sent to a target."""
        per_second = self.limit(target, now)
        if per_second is not None:
            share = self._share(target.wire_id, per_second)
            self._buckets.filled(target, share, now).tokens -= 1

    def _set(self, record: LimitRecord, said_at: float) -> None:
        known = self._limits.pop(record.target, None)
        named_at = said_at
        if record.per_second is None and known is not None:
            named_at = known.named_at
        while len(self._limits) >= MAX_LIMITS:
            self._remove(next(iter(self._limits)))
        self._limits[record.target] = _Limit(
            record.incarnation, record.per_second, said_at, named_at
        )

    def _remove(self, target_id: int) -> None:
        self._limits.pop(target_id)
        self._buckets.remove(target_id)

    def _share(self, target_id: int, per_second: float) -> float:
        """Return the requests a second that this router may send."""
        count = max(int(per_second / MIN_SHARE_PER_SECOND), 1)
        count = min(count, self._chosen.known_count)
        is_chosen = self._chosen.includes_own(target_id, count)
        return per_second / count if is_chosen else 0


def parse_limit(text: str) -> float | None:
    """Return a limit in requests a second from its decimal text.

    Returns None if it is not a number from 0 on, or restricts nothing.
    """
    return number_below(text, MAX_LIMIT_PER_SECOND)


def _differ(previous: float | None, per_second: float | None) -> bool:
    """Return whether a limit has changed so much that others must know."""
    if previous is None or per_second is None:
        return previous is not per_second
    return abs(previous - per_second) > CHANGED_SHARE * previous
