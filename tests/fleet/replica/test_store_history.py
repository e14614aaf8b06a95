"""Tests of what the store has told at each revision."""

import pytest

from peridotwell.fleet.replica.store_history import (
    MAX_REVISIONS,
    Repetition,
    StoreHistory,
)
from peridotwell.fleet.transport.frames import SharedEntry
from peridotwell.store.change_feed import (
    Changes,
    Snapshot,
    ToldChange,
    told_changes,
)
from tests.fleet.replica.test_service_directory import entry

WRITTEN = ToldChange('t/a', 5, b'ready')
DELETED = ToldChange('t/b', 6, None)


@pytest.fixture
def history():
    """Return a history of one write and one deletion."""
    known = StoreHistory()
    known.record((WRITTEN, DELETED))
    return known


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        ((WRITTEN,), Repetition.same),
        ((WRITTEN, DELETED), Repetition.same),
        ((ToldChange('t/a', 5, b'leaving'),), Repetition.other),
        ((ToldChange('t/c', 5, b'ready'), DELETED), Repetition.other),
        ((ToldChange('t/b', 6, b'ready'),), Repetition.other),
        ((WRITTEN, ToldChange('t/a', 7, b'ready')), Repetition.unknown),
        ((), Repetition.unknown),
    ],
)
def test_changes_are_compared_with_what_was_told(history, changes, expected):
    assert history.compare(changes) is expected


def test_a_contradiction_names_the_change(history):
    other = ToldChange('t/c', 5, b'ready')
    found = history.contradiction((DELETED, other))
    assert (found.key, found.revision) == ('t/c', 5)
    assert history.contradiction((WRITTEN, DELETED)) is None


def test_what_was_told_first_stands(history):
    history.record((ToldChange('t/a', 5, b'leaving'),))
    assert history.compare((WRITTEN,)) is Repetition.same


# Guards against a restore that is inferred, and removals that wait for it,
# since a peer reads an entry otherwise than this router.
def test_a_value_that_a_peer_told_otherwise_shows_no_restore(history):
    history.record_shared(SharedEntry('t/a', 8, b'told by a peer'))
    own = ToldChange('t/a', 8, b'ready')
    assert history.contradiction((own,)) is None
    assert history.compare((own,)) is Repetition.unknown
    history.record((own,))
    assert history.compare((own,)) is Repetition.same
    assert history.latest == own
    assert history.contradiction((ToldChange('t/a', 8, b'leaving'),))


def test_another_key_than_a_peer_told_shows_a_restore(history):
    history.record_shared(SharedEntry('t/a', 8, b'ready'))
    assert history.compare((ToldChange('t/a', 8, b'ready'),)) is (
        Repetition.same
    )
    assert history.contradiction((ToldChange('t/c', 8, b'ready'),))


def test_what_a_peer_tells_replaces_nothing_that_the_store_told(history):
    history.record_shared(SharedEntry('t/a', 5, b'told by a peer'))
    assert history.compare((WRITTEN,)) is Repetition.same
    assert history.contradiction((ToldChange('t/a', 5, b'leaving'),))


def test_the_latest_revisions_are_kept(history):
    later = range(10, 10 + MAX_REVISIONS)
    history.record(ToldChange('t/a', each, b'x') for each in later)
    assert history.compare((WRITTEN,)) is Repetition.unknown
    last = ToldChange('t/a', later[-1], b'x')
    assert history.compare((last,)) is Repetition.same


def test_changes_of_answers():
    listed = entry('t/a', b'ready', 5)
    assert list(told_changes(Snapshot((listed,), 9))) == [WRITTEN]
    changes = Changes((listed,), (('t/b', 6),), 9)
    assert list(told_changes(changes)) == [WRITTEN, DELETED]
