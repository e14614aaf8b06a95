"""Quarantine of requests that crash the targets that run them.

A request is identified by a fingerprint of its content, so it is recognised
with another idempotency key and on another router. When a target is lost, all
requests in flight on it become suspects. A suspect that a target completes is
cleared. A request that has lost as many targets as the limit allows is refused
on every router until its record expires or an operator lifts the quarantine.
"""

from collections.abc import Iterable

import msgspec
import xxhash

__all__ = ('request_fingerprint', 'CrashRecord', 'Quarantine')

MAX_RECORDS = 10_000


def request_fingerprint(path: str, body: bytes) -> int:
    """Return the 64-bit fingerprint of a request's content."""
    digest = xxhash.xxh3_64(path.encode())
    digest.update(body)
    return digest.intdigest()


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """The crashes recorded for one fingerprint, as routers exchange them.

    `lost_incarnations` holds the wire ids of the target incarnations that
    were lost while they ran the request. `lifted_at` and `expires_at` are
    Unix times in seconds.
    """

    fingerprint: int
    lost_incarnations: tuple[int, ...]
    lifted_at: float
    expires_at: float

    def merge(self, other: 'CrashRecord') -> 'CrashRecord':
        """Return the merged record of two routers; the later lift wins.

        The operation is commutative, associative and idempotent, so routers
        agree whatever the order in which they receive records.
        """
        if self.lifted_at != other.lifted_at:
            return max(self, other, key=lambda record: record.lifted_at)
        return CrashRecord(
            self.fingerprint,
            tuple(sorted({*self.lost_incarnations, *other.lost_incarnations})),
            self.lifted_at,
            max(self.expires_at, other.expires_at),
        )


class Quarantine:
    """The crash records that this router has, one for each fingerprint."""

    def __init__(self) -> None:
        self._records: dict[int, CrashRecord] = {}

    def is_suspect(self, fingerprint: int, now: float) -> bool:
        """Return whether the request was in flight on a lost target."""
        return bool(self._unexpired_losses(fingerprint, now))

    def is_refused(self, fingerprint: int, limit: int, now: float) -> bool:
        """Return whether the request has lost `limit` targets or more."""
        return len(self._unexpired_losses(fingerprint, now)) >= limit

    def record_loss(
        self,
        fingerprint: int,
        incarnation: int,
        now: float,
        keep_seconds: float,
    ) -> CrashRecord:
        """Record that a target incarnation was lost while it ran the request.

        Returns the record to send to the other routers.
        """
        existing = self._unexpired_record(fingerprint, now)
        lifted_at = existing.lifted_at if existing else 0
        loss = CrashRecord(
            fingerprint, (incarnation,), lifted_at, now + keep_seconds
        )
        return self._merge(loss, now)

    def clear_suspect(self, fingerprint: int, now: float) -> CrashRecord | None:
        """Clear a request that a target has completed.

        Returns the record to send to the other routers, or None if the
        request was no suspect.
        """
        if not self.is_suspect(fingerprint, now):
            return None
        return self.lift(fingerprint, now)

    def lift(self, fingerprint: int, now: float) -> CrashRecord:
        """Lift the quarantine of a fingerprint.

        Returns the record to send to the other routers.
        """
        existing = self._unexpired_record(fingerprint, now)
        expires_at = existing.expires_at if existing else now
        return self._merge(CrashRecord(fingerprint, (), now, expires_at), now)

    def merge(self, records: Iterable[CrashRecord], now: float) -> None:
        """Merge the records of another router that have not expired."""
        for record in records:
            if record.expires_at > now:
                self._merge(record, now)

    def expire(self, now: float) -> None:
        """Remove expired records; until then, they have no effect."""
        self._records = {
            fingerprint: record
            for fingerprint, record in self._records.items()
            if record.expires_at > now
        }

    def records(self) -> tuple[CrashRecord, ...]:
        """Return all records, including those that were lifted."""
        return tuple(self._records.values())

    def summary(self) -> tuple[tuple[int, int], ...]:
        """Return each fingerprint and its number of lost targets, sorted."""
        return tuple(
            sorted(
                (fingerprint, len(record.lost_incarnations))
                for fingerprint, record in self._records.items()
            ),
        )

    def _unexpired_losses(
        self, fingerprint: int, now: float
    ) -> tuple[int, ...]:
        record = self._unexpired_record(fingerprint, now)
        return () if record is None else record.lost_incarnations

    def _unexpired_record(
        self, fingerprint: int, now: float
    ) -> CrashRecord | None:
        record = self._records.get(fingerprint)
        if record is None or record.expires_at <= now:
            return None
        return record

    def _merge(self, record: CrashRecord, now: float) -> CrashRecord:
        fingerprint = record.fingerprint
        existing = self._unexpired_record(fingerprint, now)
        merged = existing.merge(record) if existing else record
        is_new = fingerprint not in self._records
        if is_new and len(self._records) >= MAX_RECORDS:
            self._records.pop(next(iter(self._records)))
        self._records[fingerprint] = merged
        return merged
