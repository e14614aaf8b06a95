"""Records of the targets that were lost under one cause, told to all routers.

A cause is what may have crashed them: a request, or a part of prompts. Records
of routers are merged in any order. They carry their age and expire.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

__all__ = ('KnownLosses', 'Loss', 'LossRecord', 'merge_known')

MAX_LOSSES = 32
# Requests lost with one incarnation of which a record is kept. More would tell
# no more, and leave no place for the losses of other incarnations.
MAX_CONTENTS = 2
CONTENT_MASK = 0xFFFFFFFF


class Loss(msgspec.Struct, frozen=True, array_like=True, order=True):
    """The loss of a target incarnation while it ran a request.

    `incarnation` is its wire id, `content` the lower 32 bits of the
    fingerprint of the request.
    """

    incarnation: int
    content: int


class LossRecord(msgspec.Struct, frozen=True, array_like=True):
    """The losses under one cause, as routers exchange them.

    `cause` is the id of a part or the fingerprint of a request. `cleared` lists
    the incarnations whose losses no longer count. `age_seconds` tells how long
    ago the record last changed.
    """

    cause: int
    losses: tuple[Loss, ...]
    cleared: tuple[int, ...] = ()
    age_seconds: float = 0

    @property
    def key(self) -> int:
        """The cause."""
        return self.cause

    def merge(self, other: 'LossRecord') -> 'LossRecord':
        """Return the merged record of two routers, with the lower age.

        The operation is commutative, associative and idempotent.
        """
        losses = _without_similar({*self.losses, *other.losses})
        cleared = sorted({*self.cleared, *other.cleared})
        return LossRecord(
            self.cause,
            losses[:MAX_LOSSES],
            tuple(cleared[:MAX_LOSSES]),
            min(self.age_seconds, other.age_seconds),
        )

    def open_losses(self) -> frozenset[Loss]:
        """Return the losses that count."""
        return frozenset(
            loss for loss in self.losses if loss.incarnation not in self.cleared
        )

    def clear(self) -> 'LossRecord':
        """Return the record with all its losses cleared."""
        incarnations = sorted({loss.incarnation for loss in self.losses})
        return LossRecord(self.cause, self.losses, tuple(incarnations))

    def has_same_content(self, other: 'LossRecord') -> bool:
        """Return whether two records differ in age at most."""
        return (self.losses, self.cleared) == (other.losses, other.cleared)


@dataclass(frozen=True)
class KnownLosses:
    """A record, when it last changed, and its open losses."""

    record: LossRecord
    changed_at: float
    open_losses: frozenset[Loss]

    def age_seconds(self, now: float) -> float:
        """Return how long ago the record last changed."""
        return max(now - self.changed_at, 0)

    def current(self, now: float) -> LossRecord:
        """Return the record with its age."""
        age_seconds = round(self.age_seconds(now), 1)
        return msgspec.structs.replace(self.record, age_seconds=age_seconds)


def merge_known(
    known: KnownLosses | None, record: LossRecord, now: float
) -> KnownLosses:
    """Return what is known after a record; `known` if it tells nothing new."""
    changed_at = now - record.age_seconds
    merged = record
    if known is not None:
        merged = known.record.merge(record)
        if merged.has_same_content(known.record):
            return known
        changed_at = max(changed_at, known.changed_at)
    return KnownLosses(merged, changed_at, merged.open_losses())


def _without_similar(losses: Iterable[Loss]) -> tuple[Loss, ...]:
    """Return sorted losses, with a few requests of each incarnation."""
    kept = []
    contents: Counter[int] = Counter()
    for loss in sorted(losses):
        contents[loss.incarnation] += 1
        if contents[loss.incarnation] <= MAX_CONTENTS:
            kept.append(loss)
    return tuple(kept)
