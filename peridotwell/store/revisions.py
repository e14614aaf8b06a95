"""Revisions of a store that may be restored from an older copy.

A restored store gives revisions out again. Its era rises with each restore, so
the product orders all that it reads by era, then by revision, in one number.
Without eras, this number is the revision.
"""

__all__ = (
    'era_of',
    'is_of_later_era',
    'ordered_revision',
    'store_revision',
    'was_restored',
)

# Enough for a million changes a second in half a year.
REVISION_BITS = 44
REVISION_MASK = (1 << REVISION_BITS) - 1
# That of a store that was never restored; without eras, it is 0.
FIRST_ERA = 1


def ordered_revision(era: int, revision: int) -> int:
    """Return the number that orders a revision of an era."""
    return (era << REVISION_BITS) | revision


def era_of(ordered: int) -> int:
    """Return the era of an ordered revision."""
    return ordered >> REVISION_BITS


def store_revision(ordered: int) -> int:
    """Return the revision as the store gave it out."""
    return ordered & REVISION_MASK


def is_of_later_era(ordered: int, other: int) -> bool:
    """Return whether the store was restored after the revision `other`."""
    return era_of(ordered) > era_of(other)


def was_restored(ordered: int) -> bool:
    """Return whether the store was ever restored, as of a revision."""
    return era_of(ordered) > FIRST_ERA
