"""Which shared parts of prompts crash the engines that answer on them.

Pattern: poison messages. A message that crashes its consumer goes to one
consumer after the other, until it is recognised by its content. Here the
content is a part that many requests share, no two of which are alike.

When a target is lost, the parts of all requests whose answer it had not begun
are suspects. A part is cleared once a target begins an answer on it. A part
under which several targets were lost, by different requests, is blamed, unless
another part accounts for the same losses and for more. Parts that account for
the same losses equally well are blamed together: only requests with all of
them are refused.

All of this is soft state. Records of routers are merged in any order, and they
expire.
"""

from collections.abc import Iterable, Iterator, Set

import xxhash

from peridotwell.domain.prompt import Prompt
from peridotwell.policy.crashes.loss_records import (
    CONTENT_MASK,
    KnownLosses,
    Loss,
    LossRecord,
    merge_known,
)
from peridotwell.policy.updates.soft_state import SoftState

__all__ = ('CrashBlame', 'format_parts', 'shared_part_ids')

# Losses of different incarnations, and requests of different content, from
# which on a part is blamed.
MIN_LOSSES = 3
MIN_CONTENTS = 2
RECORD_TTL_SECONDS = 300.0
# A record without open losses is kept until the other routers have it.
CLEARED_TTL_SECONDS = 20.0
# A part on which an answer began so recently is no suspect.
RECENT_BEGIN_SECONDS = 2.0
# Records are repeated to the other routers for this time after a change; those
# with several open losses for as long as they last.
REPEAT_SECONDS = 10.0
MAX_RECORDS = 2048
MAX_BEGINS = 4096


def shared_part_ids(prompt: Prompt | None) -> tuple[int, ...]:
    """Return the 64-bit ids of a prompt's shared parts, for any model."""
    if prompt is None:
        return ()
    return tuple(
        xxhash.xxh3_64_intdigest(part.name.encode())
        for part in prompt.shared_parts
    )


def format_parts(parts: Iterable[int]) -> str:
    """Return the ids of parts as text for logs and errors."""
    return ', '.join(f'{part:016x}' for part in sorted(parts))


class CrashBlame(SoftState[LossRecord]):
    """The records of this router, and the parts that they blame.

    Times are in seconds of the router's own clock.
    """

    def __init__(self) -> None:
        # The groups of parts that are blamed; a request with all parts of a
        # group is refused.
        self.groups: tuple[frozenset[int], ...] = ()
        self._known: dict[int, KnownLosses] = {}
        # The parts with enough losses to be blamed.
        self._suspects: dict[int, frozenset[Loss]] = {}
        # Insertion order: the oldest come first.
        self._begun_at: dict[int, float] = {}

    def blamed_group(self, parts: Iterable[int]) -> frozenset[int] | None:
        """Return a blamed group of which a request has all parts, or None."""
        if not self.groups:
            return None
        present = frozenset(parts)
        return next((group for group in self.groups if group <= present), None)

    def record_begin(
        self, parts: Iterable[int], now: float
    ) -> list[LossRecord]:
        """Record that a target has begun an answer on these parts.

        Returns the records that this has cleared, for the other routers.
        """
        cleared = []
        for part in parts:
            self._remember_begin(part, now)
            known = self._known.get(part)
            if known is not None and known.open_losses:
                cleared.append(self._merge(known.record.clear(), now).record)
        if cleared:
            self._set_groups()
        return cleared

    def record_loss(
        self,
        incarnation: int,
        fingerprint: int,
        parts: Iterable[int],
        now: float,
    ) -> list[LossRecord]:
        """Record that a target was lost before it began an answer.

        Returns the records that have changed, for the other routers.
        """
        losses = (Loss(incarnation, fingerprint & CONTENT_MASK),)
        changed = [
            self._merge(LossRecord(part, losses), now).record
            for part in parts
            if not self._has_begun_recently(part, now)
        ]
        self._set_groups()
        return changed

    def merge(
        self, records: Iterable[LossRecord], now: float
    ) -> list[LossRecord]:
        """Merge the records of another router.

        Returns those that this router has cleared in turn.
        """
        cleared = []
        has_changed = False
        for record in records:
            previous = self._known.get(record.cause)
            known = self._merge(record, now)
            if known.open_losses and self._has_begun_recently(
                record.cause, now
            ):
                known = self._merge(known.record.clear(), now)
                cleared.append(known.record)
            has_changed |= known is not previous
        if has_changed:
            self._set_groups()
        return cleared

    def to_repeat(self, now: float) -> Iterator[LossRecord]:
        """Yield the records that other routers may lack."""
        for known in self._known.values():
            if _is_repeated(known, now):
                yield known.current(now)

    def expire(self, now: float) -> None:
        """Remove expired records."""
        expired = [
            part
            for part, known in self._known.items()
            if _is_expired(known, now)
        ]
        for part in expired:
            self._known.pop(part)
            self._suspects.pop(part, None)
        if expired:
            self._set_groups()

    def _remember_begin(self, part: int, now: float) -> None:
        self._begun_at.pop(part, None)
        self._begun_at[part] = now
        if len(self._begun_at) > MAX_BEGINS:
            self._begun_at.pop(next(iter(self._begun_at)))

    def _has_begun_recently(self, part: int, now: float) -> bool:
        begun_at = self._begun_at.get(part)
        return begun_at is not None and now - begun_at < RECENT_BEGIN_SECONDS

    def _merge(self, record: LossRecord, now: float) -> KnownLosses:
        """Merge one record; return what is known now.

        A record that tells nothing new does not change the age.
        """
        previous = self._known.get(record.cause)
        known = merge_known(previous, record, now)
        if known is previous or _is_expired(known, now):
            return known
        if len(self._known) >= MAX_RECORDS and record.cause not in self._known:
            oldest = next(iter(self._known))
            self._known.pop(oldest)
            self._suspects.pop(oldest, None)
        self._known[record.cause] = known
        self._suspects.pop(record.cause, None)
        if _is_sufficient(known.open_losses):
            self._suspects[record.cause] = known.open_losses
        return known

    def _set_groups(self) -> None:
        if self._suspects or self.groups:
            self.groups = tuple(_blamed_groups(self._suspects))


def _is_expired(known: KnownLosses, now: float) -> bool:
    ttl = RECORD_TTL_SECONDS if known.open_losses else CLEARED_TTL_SECONDS
    return known.age_seconds(now) >= ttl


def _is_repeated(known: KnownLosses, now: float) -> bool:
    is_recent = known.age_seconds(now) < REPEAT_SECONDS
    return is_recent or len(known.open_losses) > 1


def _is_sufficient(losses: Set[Loss]) -> bool:
    """Return whether losses suffice to blame a part."""
    return (
        len(_incarnations(losses)) >= MIN_LOSSES
        and len({loss.content for loss in losses}) >= MIN_CONTENTS
    )


def _incarnations(losses: Set[Loss]) -> frozenset[int]:
    return frozenset(loss.incarnation for loss in losses)


def _blamed_groups(
    suspects: dict[int, frozenset[Loss]],
) -> Iterator[frozenset[int]]:
    """Yield the smallest groups that account for all losses.

    The part with most losses is blamed first, with those that share its losses
    and have as many; what they account for speaks against no other part.
    """
    while suspects:
        lost = {part: _incarnations(suspects[part]) for part in suspects}
        group = _largest_group(lost)
        yield group
        explained = frozenset().union(*(lost[part] for part in group))
        remaining = {
            part: frozenset(
                loss for loss in losses if loss.incarnation not in explained
            )
            for part, losses in suspects.items()
        }
        suspects = {
            part: losses
            for part, losses in remaining.items()
            if _is_sufficient(losses)
        }


def _largest_group(lost: dict[int, frozenset[int]]) -> frozenset[int]:
    """Return the part with most losses, and those that are tied with it."""
    first = max(lost, key=lambda part: (len(lost[part]), part))
    return frozenset(
        part
        for part, incarnations in lost.items()
        if len(incarnations) == len(lost[first]) and incarnations & lost[first]
    )
