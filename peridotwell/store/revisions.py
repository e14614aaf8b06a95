"""Revisions of a store that may be restored from an older copy.

A restored store gives revisions out again. Its answers may tell an era, which
rises with each restore. If they do not, routers infer the restore from what the
store tells, and count it. The product orders all that it reads by the number of
inferred restores, then by the told era, then by revision, in one StoreOrder.
Without restores and eras, this number is the revision.
"""

from peridotwell.domain.store_order import NO_ORDER, StoreOrder

__all__ = (
    'MAX_TOLD_ERA',
    'NO_ORDER',
    'StoreOrder',
    'era_of',
    'inferred_restores',
    'is_of_later_era',
    'joined_era',
    'later_era',
    'order_before',
    'ordered_revision',
    'store_revision',
    'told_era',
    'was_restored',
    'with_told_era',
)

# Enough for a million changes a second in half a year.
REVISION_BITS = 44
REVISION_MASK = (1 << REVISION_BITS) - 1
TOLD_BITS = 10
MAX_TOLD_ERA = (1 << TOLD_BITS) - 1
# An ordered revision is a signed number of 64 bits in messages.
ORDERED_BITS = 63
MAX_INFERRED = (1 << (ORDERED_BITS - REVISION_BITS - TOLD_BITS)) - 1
# That of a store that was never restored; without eras, it is 0.
FIRST_ERA = 1


def ordered_revision(era: int, revision: int) -> StoreOrder:
    """Return the number that orders a revision of an era."""
    return StoreOrder((era << REVISION_BITS) | revision)


def era_of(ordered: StoreOrder) -> int:
    """Return the era of an ordered revision, inferred restores included."""
    return ordered >> REVISION_BITS


def told_era(era: int) -> int:
    """Return the part of an era that the store tells; 0 if it tells none."""
    return era & MAX_TOLD_ERA


def inferred_restores(era: int) -> int:
    """Return how many restores were inferred up to an era."""
    return era >> TOLD_BITS


def with_told_era(era: int, told: int) -> int:
    """Return an era with another part that the store tells."""
    return (inferred_restores(era) << TOLD_BITS) | told


def later_era(era: int) -> int:
    """Return the era after one more inferred restore, `era` at the limit."""
    if inferred_restores(era) >= MAX_INFERRED:
        return era
    return era + MAX_TOLD_ERA + 1


def joined_era(era: int, other: int) -> int:
    """Return `era` with the inferred restores of `other`, if those are more."""
    restores = max(inferred_restores(era), inferred_restores(other))
    return (restores << TOLD_BITS) | told_era(era)


def store_revision(ordered: StoreOrder) -> int:
    """Return the revision as the store gave it out."""
    return ordered & REVISION_MASK


def order_before(ordered: StoreOrder) -> StoreOrder:
    """Return the latest order before one: that of the revision before it."""
    return StoreOrder(ordered - 1)


def is_of_later_era(ordered: StoreOrder, other: StoreOrder) -> bool:
    """Return whether the store was restored after the revision `other`."""
    return era_of(ordered) > era_of(other)


def was_restored(ordered: StoreOrder) -> bool:
    """Return whether the store was ever restored, as of a revision."""
    return era_of(ordered) > FIRST_ERA
