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

__all__ = ('fingerprint', 'CrashRecord', 'Quarantine')

MAX_VERDICTS = 10_000


def fingerprint(path: str, body: bytes) -> int:
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
    lost: tuple[int, ...]
    lifted_at: float
    expires_at: float

    def merge(self, other: 'CrashRecord') -> 'CrashRecord':
        """Combine two routers' knowledge; the later lift wins.

        The operation is commutative, associative and idempotent, so routers
        agree whatever the order in which they hear of each other.
        """
        if self.lifted_at != other.lifted_at:
            return max(self, other, key=lambda verdict: verdict.lifted_at)
        return CrashRecord(
            self.fingerprint,
            tuple(sorted({*self.lost, *other.lost})),
            self.lifted_at,
            max(self.expires_at, other.expires_at),
        )


class Quarantine:
    """The verdicts known to this router, one for each fingerprint."""

    def __init__(self) -> None:
        self._verdicts: dict[int, CrashRecord] = {}

    def is_suspect(self, mark: int, now: float) -> bool:
        """Whether the request was in flight on a target that was lost."""
        return bool(self._losses(mark, now))

    def is_refused(self, mark: int, limit: int, now: float) -> bool:
        """Whether a request with this fingerprint is refused at `now`."""
        return len(self._losses(mark, now)) >= limit

    def target_lost(
        self,
        mark: int,
        incarnation: int,
        now: float,
        keep_seconds: float,
    ) -> CrashRecord:
        """Book that a target incarnation was lost while it ran the request.

        Returns the verdict to spread to the other routers.
        """
        known = self._verdicts.get(mark)
        lifted_at = known.lifted_at if known else 0
        loss = CrashRecord(mark, (incarnation,), lifted_at, now + keep_seconds)
        return self._merge(loss)

    def finished(self, mark: int, now: float) -> CrashRecord | None:
        """Clear a suspect that a target has finished; None if it was none."""
        if not self.is_suspect(mark, now):
            return None
        return self.lift(mark, now)

    def lift(self, mark: int, now: float) -> CrashRecord:
        """Clear a fingerprint and return what tells the other routers."""
        known = self._verdicts.get(mark)
        expires_at = known.expires_at if known else now
        return self._merge(CrashRecord(mark, (), now, expires_at))

    def learn(self, verdicts: Iterable[CrashRecord], now: float) -> None:
        """Take over what another router knows."""
        for verdict in verdicts:
            self._merge(verdict)
        self.expire(now)

    def expire(self, now: float) -> None:
        """Forget verdicts that are over."""
        self._verdicts = {
            mark: verdict
            for mark, verdict in self._verdicts.items()
            if verdict.expires_at > now
        }

    def verdicts(self) -> tuple[CrashRecord, ...]:
        """Return everything known, lifted entries included."""
        return tuple(self._verdicts.values())

    def summary(self) -> tuple[tuple[int, int], ...]:
        """Return each fingerprint with its number of lost targets."""
        return tuple(
            sorted(
                (mark, len(verdict.lost))
                for mark, verdict in self._verdicts.items()
            ),
        )

    def _losses(self, mark: int, now: float) -> tuple[int, ...]:
        verdict = self._verdicts.get(mark)
        if verdict is None or verdict.expires_at <= now:
            return ()
        return verdict.lost

    def _merge(self, verdict: CrashRecord) -> CrashRecord:
        mark = verdict.fingerprint
        known = self._verdicts.get(mark)
        merged = known.merge(verdict) if known else verdict
        if known is None and len(self._verdicts) >= MAX_VERDICTS:
            self._verdicts.pop(next(iter(self._verdicts)))
        self._verdicts[mark] = merged
        return merged
