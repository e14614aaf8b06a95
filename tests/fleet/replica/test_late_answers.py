"""Answers of peers that arrive late, after those of others or of the store."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.fleet.transport.frames import SharedEntry
from peridotwell.store.base import Entry
from peridotwell.store.change_feed import Snapshot
from tests.fleet.replica.test_service_directory import (
    Decoder,
    apply_changes,
    available_names,
    entry,
    loaded_directory,
)

REGISTERED, LATE, REMOVED, NOW_KNOWN = 5, 6, 7, 8


# Guards against requests at a target that is gone, without end: the answer of a
# peer with its registration came after the news that it is gone.
@pytest.mark.parametrize('is_complete', [True, False])
@pytest.mark.parametrize('told_by', ['peer', 'store'])
def test_a_late_answer_does_not_bring_a_target_back(told_by, is_complete):
    directory = loaded_directory()
    if told_by == 'peer':
        removal = SharedEntry('t/z', REMOVED, None)
        directory.apply_peer_changes((removal,), NOW_KNOWN, 1)
    else:
        entries = tuple(directory.replica.changes_since(0))
        directory.apply_snapshot(
            Snapshot(
                tuple(
                    Entry(each.key, each.value, each.revision)
                    for each in entries
                ),
                NOW_KNOWN,
            ),
            1,
        )
    late = (SharedEntry('t/z', REGISTERED, b'ready'),)
    if is_complete:
        directory.apply_peer_snapshot(late, LATE, 1.5)
    else:
        directory.apply_peer_changes(late, LATE, 1.5)
    directory.remove_expired(100)
    assert 'z' not in available_names(directory)


# Guards against a target that comes back after its removal, because the removal
# was told before the registration: nobody here knew it then.
@pytest.mark.parametrize('told_by', ['peer', 'store'])
def test_a_removal_is_remembered_before_its_registration_is_known(told_by):
    directory = loaded_directory()
    late = entry('t/z', b'ready', REGISTERED)
    if told_by == 'peer':
        # Some of its changes are missing, so it tells no later revision.
        removal = SharedEntry('t/z', REMOVED, None)
        directory.apply_peer_changes((removal,), directory.known_revision, 1)
        directory.apply_peer_changes(
            (SharedEntry(late.key, late.revision, late.value),), LATE, 1.5
        )
    else:
        apply_changes(
            directory, deleted=(('t/z', REMOVED),), revision=NOW_KNOWN
        )
        apply_changes(directory, late, revision=LATE, now=1.5)
    directory.remove_expired(100)
    assert available_names(directory) == ['x', 'y']


# Guards against a removed target that comes back with an answer that the store
# gave earlier than the news of its removal, which told only what is listed.
@pytest.mark.parametrize('late_is_snapshot', [True, False])
def test_a_late_answer_of_the_store_does_not_bring_a_target_back(
    late_is_snapshot,
):
    directory = loaded_directory()
    listed = Snapshot(
        tuple(
            entry(key, b'ready', revision)
            for key, revision in (('t/x', 2), ('t/y', 3))
        ),
        NOW_KNOWN,
    )
    directory.apply_snapshot(listed, 1)
    late = entry('t/z', b'ready', REGISTERED)
    if late_is_snapshot:
        directory.apply_snapshot(
            Snapshot((*listed.entries, late), LATE), now=1.5
        )
    else:
        apply_changes(directory, late, revision=LATE, now=1.5)
    directory.remove_expired(100)
    assert available_names(directory) == ['x', 'y']


# The same answer, if it is the latest, is believed whatever peers have told.
def test_the_latest_answer_of_the_store_is_believed():
    directory = loaded_directory()
    directory.apply_peer_changes((), LATE, 1)
    apply_changes(
        directory, entry('t/z', b'ready', REGISTERED), revision=LATE, now=1.5
    )
    assert 'z' in available_names(directory)


# Guards against a router that keeps a removed target, because the one that told
# it the latest changes had never known that target.
def test_removals_of_unknown_targets_are_told_to_others():
    directory = loaded_directory()
    deleted = (('t/z', REMOVED), ('other/z', REMOVED))
    apply_changes(directory, deleted=deleted, revision=NOW_KNOWN)
    assert directory.replica.changes_since(REGISTERED) == (
        SharedEntry('t/z', REMOVED, None),
    )


KEYS = ('t/a', 't/b')
WRITES = st.lists(
    st.tuples(st.sampled_from(KEYS), st.booleans()), min_size=1, max_size=8
)
# Each answer: its place in the history, and when it arrives.
ANSWERS = st.lists(
    st.tuples(st.floats(0, 1), st.floats(0, 1), st.booleans()),
    min_size=1,
    max_size=6,
)


class History:
    """What a store has held at each revision: a key is listed or removed."""

    def __init__(self, writes):
        self.states = [{}]
        self.removed = [{}]
        for revision, (key, is_listed) in enumerate(writes, 1):
            state, removed = dict(self.states[-1]), dict(self.removed[-1])
            if is_listed:
                state[key] = revision
                removed.pop(key, None)
            elif state.pop(key, None) is not None:
                removed[key] = revision
            self.states.append(state)
            self.removed.append(removed)

    def changes(self, after, revision):
        """Return the changes after a revision, as a peer tells them."""
        return (
            *(
                SharedEntry(key, at, b'ready')
                for key, at in self.states[revision].items()
                if at > after
            ),
            *(
                SharedEntry(key, at, None)
                for key, at in self.removed[revision].items()
                if at > after
            ),
        )

    def names(self, revision):
        return sorted(key[2:] for key in self.states[revision])


# Guards against targets in use that are gone, and targets out of use that are
# listed, because answers of peers arrive in another order.
@given(WRITES, ANSWERS)
def test_what_is_known_is_what_the_store_held_at_the_known_revision(
    writes, answers
):
    history = History(writes)
    directory = ServiceDirectory(Decoder())
    directory.apply_snapshot(Snapshot((entry('table', b'1', 1),), 0), 0)
    # All are asked for before the first arrives; peers know different parts.
    for known_share, _, is_complete in sorted(answers, key=lambda one: one[1]):
        revision = round(known_share * len(writes))
        changes = history.changes(0, revision)
        if is_complete:
            table = SharedEntry('table', 0, b'1')
            directory.apply_peer_snapshot((table, *changes), revision, 1)
        else:
            directory.apply_peer_changes(changes, revision, 1)
        known = directory.known_revision
        assert available_names(directory) == history.names(known)
