"""Tests of what changes tell about revisions that they do not have."""

import pytest

from peridotwell.store.base import Entry
from peridotwell.store.change_feed import Changes

KEY = 'key'


def changes(revision, *told, deleted=()):
    entries = tuple(Entry(KEY, b'', each) for each in told)
    return Changes(entries, tuple((KEY, each) for each in deleted), revision)


@pytest.mark.parametrize(
    ('answer', 'has_gap'),
    [
        (changes(5), False),
        (changes(6, 6), False),
        (changes(7, 7, deleted=[6]), False),
        (changes(6, 6, 6), False),
        (changes(7, 6, 6), True),
        (changes(7, 7), True),
        (changes(8, 6, deleted=[8]), True),
        (changes(7, 4, 7), True),
    ],
)
def test_revisions_without_a_change_are_a_gap(answer, has_gap):
    assert answer.has_gap(5) is has_gap
