"""Tests of restores that the store does not tell."""

import pytest

from peridotwell.fleet.replica.restore_detector import (
    CONFIRM_SECONDS,
    RestoreDetector,
)
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.metrics import Metrics
from peridotwell.store.change_feed import Changes, HistoryGone, Snapshot
from peridotwell.store.revisions import era_of, later_era, ordered_revision
from tests.fleet.replica.test_service_directory import (
    Decoder,
    ScriptedFeed,
    entry,
)

KNOWN = 8
TABLE = entry('table', b'1', 4)
TARGET = entry('t/x', b'ready', KNOWN)
LISTING = Snapshot((TABLE, TARGET), KNOWN)
# A copy of revision 4, and what is told after a restore.
COPY = Snapshot((TABLE,), 4)


class _EraFeed(ScriptedFeed):
    """Counts eras, as the client of a store that may be restored does."""

    era = 0

    def begin_era(self, revision):
        self.era = later_era(era_of(revision))
        return self.era != era_of(revision)


@pytest.fixture
def feed():
    return _EraFeed()


@pytest.fixture
def detector(feed):
    """Return a detector that knows revision 8."""
    directory = ServiceDirectory(Decoder())
    directory.apply_snapshot(LISTING, 0)
    made = RestoreDetector(feed, directory, Metrics('', ''))
    made.check(LISTING, 0, 0)
    return made


# Guards against a store that only lags behind being taken for a restored one.
def test_stale_answers_that_repeat_are_waited_for(detector, feed):
    for second in range(100):
        detector.check(COPY, KNOWN, second)
        detector.check(Changes((), (), 4), KNOWN, second)
    assert detector.agreed_revision == 4
    assert feed.era == 0
    detector.check(Changes((TARGET,), (), KNOWN), KNOWN, 100)
    assert detector.agreed_revision is None


@pytest.mark.parametrize(
    'answer',
    [
        Changes((entry('t/y', b'ready', KNOWN),), (), KNOWN),
        Changes((entry('t/x', b'leaving', KNOWN),), (), KNOWN),
        Changes((), (('t/x', KNOWN),), KNOWN),
        Changes((), (('table', 4),), 4),
        Snapshot((entry('table', b'2', 4),), 4),
        # The key was written later than this.
        Snapshot((TABLE, entry('t/x', b'ready', 6)), KNOWN + 2),
    ],
)
def test_what_differs_from_what_was_told_shows_a_restore(
    detector, feed, answer
):
    with pytest.raises(HistoryGone):
        detector.check(answer, KNOWN, 1)
    assert feed.era == later_era(0)


def test_later_changes_show_no_restore(detector, feed):
    detector.check(Changes((entry('t/x', b'ready', 9),), (), 9), KNOWN, 1)
    listed = (TABLE, entry('t/x', b'leaving', 12))
    detector.check(Snapshot(listed, 12), 9, 2)
    # An entry that is gone was deleted.
    detector.check(Snapshot((TABLE,), 13), 12, 3)
    assert feed.era == 0


# Guards against a router that has just started and never learns of a restore.
def test_stale_answers_of_which_nothing_is_known_show_it_in_time(
    detector, feed
):
    answer = Snapshot((TABLE, entry('t/z', b'ready', 6)), 6)
    detector.check(answer, KNOWN, 1)
    detector.check(answer, KNOWN, 1 + CONFIRM_SECONDS / 2)
    assert feed.era == 0
    with pytest.raises(HistoryGone):
        detector.check(answer, KNOWN, 1 + CONFIRM_SECONDS)
    assert feed.era == later_era(0)


def test_one_stale_answer_shows_no_restore(detector, feed):
    answer = Snapshot((TABLE, entry('t/z', b'ready', 6)), 6)
    for second in range(10):
        detector.check(answer, KNOWN, second)
        detector.check(LISTING, KNOWN, second + 0.1)
    assert feed.era == 0


# Guards against calls without a pause at a store that lags behind and has
# dropped its history, and against a deletion there that is never seen.
def test_a_store_without_history_is_listed_again(detector, feed):
    detector.check(COPY, KNOWN, 1)
    detector.record_gone()
    assert detector.agreed_revision is None
    for second in range(2, 10):
        detector.check(COPY, KNOWN, second)
    assert detector.agreed_revision is None
    assert feed.era == 0
    deleted_since = Snapshot(COPY.entries, COPY.revision + 1)
    detector.check(deleted_since, KNOWN, 10)
    with pytest.raises(HistoryGone):
        detector.check(deleted_since, KNOWN, 10 + CONFIRM_SECONDS)


# Guards against a loop of restores where no more can be counted.
def test_a_feed_that_cannot_begin_an_era_is_read_on(detector, feed):
    feed.begin_era = lambda revision: False
    detector.check(Changes((), (('table', 4),), 4), KNOWN, 1)


def test_revisions_of_another_era_are_not_compared(detector, feed):
    revision = ordered_revision(later_era(0), 4)
    listed = Snapshot((entry('table', b'2', revision),), revision)
    detector.check(listed, KNOWN, 1)
    assert feed.era == 0
