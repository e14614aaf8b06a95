"""Reports of targets that the store executes late, after newer ones."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from peridotwell.fleet.replica.departed_targets import (
    EARLIER_START_SECONDS,
    EXPIRY_SECONDS,
)
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.fleet.transport.frames import SharedEntry
from peridotwell.store.base import Entry
from peridotwell.store.change_feed import Changes, Snapshot
from tests.fleet.replica.test_service_directory import Decoder

KEY = 't/x'
START, RESTART = 100, 200


class Feed:
    """A directory that reads the reports of one target as they arrive."""

    def __init__(self):
        self.directory = ServiceDirectory(Decoder())
        self.directory.apply_snapshot(Snapshot((), 1), 0)
        self._revisions = itertools.count(2)

    def report(self, state, start, number, now=0.0):
        revision = next(self._revisions)
        entry = Entry(KEY, f'{state} {start} {number}'.encode(), revision)
        self.directory.apply_changes(Changes((entry,), (), revision), now)

    def delete(self, now=0.0):
        revision = next(self._revisions)
        changes = Changes((), ((KEY, revision),), revision)
        self.directory.apply_changes(changes, now)

    @property
    def available(self):
        targets = self.directory.available_targets('s')
        return [target.incarnation for target in targets]


@pytest.fixture
def feed():
    feed = Feed()
    feed.report('ready', START, 1)
    return feed


# Guards against requests at a target that leaves: an older report of it was
# executed late and put it back in use.
def test_an_older_report_does_not_end_the_leaving_of_a_target(feed):
    feed.report('leaving', START, 3)
    feed.report('ready', START, 2, now=2.5)
    assert feed.available == []
    feed.directory.remove_expired(1000)
    assert feed.available == []


# Guards against requests at a target that is gone: an older report of it was
# executed after its entry was removed.
@pytest.mark.parametrize('state', ['ready', 'leaving'])
def test_an_older_report_does_not_bring_a_removed_target_back(feed, state):
    feed.report(state, START, 3)
    feed.delete(now=1)
    feed.report('ready', START, 2, now=2)
    assert feed.available == []
    feed.directory.remove_expired(1 + EXPIRY_SECONDS)
    assert feed.available == []


def test_a_target_that_reports_again_after_a_removal_is_available(feed):
    feed.report('ready', START, 3)
    feed.delete()
    feed.report('ready', START, 2, now=1)
    feed.report('ready', START, 4, now=1.2)
    assert feed.available == [str(START)]


# Guards against requests at the address that a target had before it started
# again, and against one that leaves twice.
@pytest.mark.parametrize('state', ['ready', 'leaving'])
def test_a_report_from_an_earlier_start_does_not_replace_a_target(feed, state):
    feed.report('ready', RESTART, 1)
    feed.report(state, START, 2, now=1)
    assert feed.available == [str(RESTART)]
    feed.report('ready', RESTART, 2, now=2)
    feed.directory.remove_expired(1000)
    assert feed.available == [str(RESTART)]


# Guards against a target that stays out of use because the time of day of its
# machine was set back before it started again.
def test_an_earlier_start_that_stays_is_a_new_one(feed):
    feed.report('ready', RESTART, 5)
    feed.report('ready', START, 1, now=1)
    feed.directory.remove_expired(1 + EARLIER_START_SECONDS)
    assert feed.available == [str(START)]


# Guards against the same, and against requests at a target whose leaving is not
# heard of: each further report began the wait anew, so it never ended.
@pytest.mark.parametrize('is_removed', [False, True])
@pytest.mark.parametrize('state', ['ready', 'leaving'])
def test_an_earlier_start_that_goes_on_reporting_is_a_new_one(
    state, is_removed
):
    feed = Feed()
    feed.report('ready', RESTART, 5)
    if is_removed:
        feed.delete()
    for number in range(1, 10):
        feed.report('ready', START, number, now=number)
    feed.report(state, START, 10, now=10)
    feed.directory.remove_expired(1 + EARLIER_START_SECONDS)
    expected = [str(START)] if state == 'ready' else []
    assert feed.available == expected


# Guards against requests at a target that was kept out for some time, and whose
# entry became unreadable or was removed in that time.
@pytest.mark.parametrize('is_removed', [False, True])
@pytest.mark.parametrize('kept_out_by', ['earlier start', 'removal'])
def test_an_unreadable_entry_ends_the_wait_of_a_target_kept_out(
    kept_out_by, is_removed
):
    feed = Feed()
    if kept_out_by == 'removal':
        feed.report('ready', START, 5)
        feed.delete()
    else:
        feed.report('ready', RESTART, 5)
    feed.report('ready', START, 1, now=1)
    feed.report('odd', START, 6, now=2)
    if is_removed:
        feed.delete(now=3)
    feed.directory.remove_expired(1000)
    assert feed.available == []


# Guards against a target that stays out of use because its entry was unreadable
# for a moment.
def test_a_target_that_reports_after_an_unreadable_entry_is_available(feed):
    feed.report('odd', START, 2)
    feed.report('ready', START, 3, now=1)
    assert feed.available == [str(START)]


# Guards against the end of the leaving of a target by an older report that
# another router tells.
def test_an_older_report_told_by_a_peer_changes_nothing(feed):
    feed.report('leaving', START, 3)
    late = SharedEntry(KEY, 50, f'ready {START} 2'.encode())
    feed.directory.apply_peer_changes((late,), 50, 1)
    assert feed.available == []
    late = SharedEntry(KEY, 60, f'ready {START} 2'.encode())
    feed.directory.apply_peer_snapshot((late,), 60, 1)
    assert feed.available == []


REPORTS = st.tuples(
    st.sampled_from(['ready', 'leaving']),
    st.sampled_from([START, RESTART]),
    st.integers(1, 5),
)


@given(
    st.lists(REPORTS, min_size=1, max_size=8, unique_by=lambda each: each[1:])
)
def test_the_newest_report_counts_in_whatever_order_they_arrive(reports):
    feed = Feed()
    for report in reports:
        feed.report(*report)
    state, start, _ = max(reports, key=lambda each: each[1:])
    assert feed.available == ([str(start)] if state == 'ready' else [])
