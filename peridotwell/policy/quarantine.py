"""Requests whose content loses each target that runs them.

A request is known by a fingerprint of its content, so sending it again with
another key or through another router does not hide it. When a target is
lost, every request in flight on it becomes a suspect; finishing elsewhere
clears a suspect. A fingerprint that lost as many targets as the limit allows
is refused on every router until the entry expires or an operator lifts it.
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
    """What is known about one fingerprint, as routers exchange it.

    `lost` holds the wire ids of the target incarnations that were lost while
    they ran it. `lifted_at` and `expires_at` are seconds since the epoch.
    """

    fingerprint: int
    lost_incarnations: tuple[int, ...]
    lifted_at: float
    expires_at: float

    def merge(self, other: 'CrashRecord') -> 'CrashRecord':
        """Combine two routers' knowledge; the later lift wins.

        The operation is commutative, associative and idempotent, so routers
        agree whatever the order in which they hear of each other.
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
    """The records known to this router, one for each fingerprint."""

    def __init__(self) -> None:
        self._records: dict[int, CrashRecord] = {}

    def is_suspect(self, fingerprint: int, now: float) -> bool:
        """Whether the request was in flight on a target that was lost."""
        return bool(self._losses(fingerprint, now))

    def is_refused(self, fingerprint: int, limit: int, now: float) -> bool:
        """Whether a request with this fingerprint is refused at `now`."""
        return len(self._losses(fingerprint, now)) >= limit

    def record_loss(
        self,
        fingerprint: int,
        incarnation: int,
        now: float,
        keep_seconds: float,
    ) -> CrashRecord:
        """Book that a target incarnation was lost while it ran the request.

        Returns the record to spread to the other routers.
        """
        known = self._records.get(fingerprint)
        lifted_at = known.lifted_at if known else 0
        loss = CrashRecord(
            fingerprint, (incarnation,), lifted_at, now + keep_seconds
        )
        return self._merge(loss)

    def clear_suspect(self, fingerprint: int, now: float) -> CrashRecord | None:
        """Clear a suspect that a target has finished; None if it was none."""
        if not self.is_suspect(fingerprint, now):
            return None
        return self.lift(fingerprint, now)

    def lift(self, fingerprint: int, now: float) -> CrashRecord:
        """Clear a fingerprint and return what tells the other routers."""
        known = self._records.get(fingerprint)
        expires_at = known.expires_at if known else now
        return self._merge(CrashRecord(fingerprint, (), now, expires_at))

    def merge(self, records: Iterable[CrashRecord], now: float) -> None:
        """Take over what another router knows."""
        for record in records:
            self._merge(record)
        self.expire(now)

    def expire(self, now: float) -> None:
        """Forget records that are over."""
        self._records = {
            fingerprint: record
            for fingerprint, record in self._records.items()
            if record.expires_at > now
        }

    def records(self) -> tuple[CrashRecord, ...]:
        """Return everything known, lifted entries included."""
        return tuple(self._records.values())

    def summary(self) -> tuple[tuple[int, int], ...]:
        """Return each fingerprint with its number of lost targets."""
        return tuple(
            sorted(
                (fingerprint, len(record.lost_incarnations))
                for fingerprint, record in self._records.items()
            ),
        )

    def _losses(self, fingerprint: int, now: float) -> tuple[int, ...]:
        record = self._records.get(fingerprint)
        if record is None or record.expires_at <= now:
            return ()
        return record.lost_incarnations

    def _merge(self, record: CrashRecord) -> CrashRecord:
        fingerprint = record.fingerprint
        known = self._records.get(fingerprint)
        merged = known.merge(record) if known else record
        if known is None and len(self._records) >= MAX_RECORDS:
            self._records.pop(next(iter(self._records)))
        self._records[fingerprint] = merged
        return merged
