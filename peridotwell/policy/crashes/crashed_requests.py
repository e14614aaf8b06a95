"""Requests that crash the targets that run them.

Pattern: poison messages, and soft state. A request is identified by a
fingerprint of its content, so it is recognised with another idempotency key
and on another router. When a target is lost, all requests in flight on it have
lost it. One that has lost several targets is refused on every router until its
record expires. A request that a target completes is cleared.
"""

from collections.abc import Iterable, Iterator

from peridotwell.policy.crashes.loss_records import (
    CONTENT_MASK,
    KnownLosses,
    Loss,
    LossRecord,
    merge_known,
)
from peridotwell.policy.updates.soft_state import SoftState

__all__ = ('CrashedRequests', 'RECORD_TTL_SECONDS')

# Time after its last change for which a record counts.
RECORD_TTL_SECONDS = 30.0
# Other routers learn of a first loss once; with more, they may lack some.
MIN_REPEATED_LOSSES = 2
MAX_RECORDS = 10_000


class CrashedRequests(SoftState[LossRecord]):
    """The records that this router has, one for each fingerprint.

    Times are in seconds of the router's own clock.
    """

    def __init__(self) -> None:
        # Insertion order: the oldest come first.
        self._known: dict[int, KnownLosses] = {}

    def is_refused(self, fingerprint: int, limit: int, now: float) -> bool:
        """Return whether the request has lost `limit` targets or more."""
        return len(self.lost_incarnations(fingerprint, now)) >= limit

    def lost_incarnations(self, fingerprint: int, now: float) -> frozenset[int]:
        """Return the wire ids of the targets that a request has lost."""
        known = self._known.get(fingerprint)
        if known is None or _is_expired(known, now):
            return frozenset()
        return frozenset(loss.incarnation for loss in known.open_losses)

    def record_loss(
        self, fingerprint: int, incarnation: int, now: float
    ) -> LossRecord:
        """Record that a target incarnation was lost while it ran the request.

        Returns the record to tell to the other routers.
        """
        loss = Loss(incarnation, fingerprint & CONTENT_MASK)
        self._merge(LossRecord(fingerprint, (loss,)), now)
        return self._known[fingerprint].current(now)

    def clear(self, fingerprint: int, now: float) -> tuple[LossRecord, ...]:
        """Clear a request that a target has completed.

        Returns the record to tell to the other routers, if it had any losses.
        """
        if not self.lost_incarnations(fingerprint, now):
            return ()
        self._merge(self._known[fingerprint].record.clear(), now)
        return (self._known[fingerprint].current(now),)

    def merge(
        self, records: Iterable[LossRecord], now: float
    ) -> Iterable[LossRecord]:
        """Merge the records of another router."""
        for record in records:
            self._merge(record, now)
        return ()

    def to_repeat(self, now: float) -> Iterator[LossRecord]:
        """Yield the records that other routers may lack."""
        for known in self._known.values():
            is_expired = _is_expired(known, now)
            losses = known.record.losses
            if len(losses) >= MIN_REPEATED_LOSSES and not is_expired:
                yield known.current(now)

    def expire(self, now: float) -> None:
        """Remove expired records."""
        self._known = {
            fingerprint: known
            for fingerprint, known in self._known.items()
            if not _is_expired(known, now)
        }

    def _merge(self, record: LossRecord, now: float) -> None:
        fingerprint = record.cause
        previous = self._known.get(fingerprint)
        if previous is not None and _is_expired(previous, now):
            previous = None
        known = merge_known(previous, record, now)
        if _is_expired(known, now):
            return
        if fingerprint not in self._known and len(self._known) >= MAX_RECORDS:
            self._known.pop(next(iter(self._known)))
        self._known[fingerprint] = known


def _is_expired(known: KnownLosses, now: float) -> bool:
    return known.age_seconds(now) >= RECORD_TTL_SECONDS
