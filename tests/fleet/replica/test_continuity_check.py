"""Tests of the question whether the store still tells what it told."""

import pytest
import trio
import trio.testing

from peridotwell.errors import StoreResponseLost
from peridotwell.fleet.replica.continuity_check import (
    INTERVAL_SECONDS,
    ContinuityCheck,
)
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.metrics import Metrics
from peridotwell.store.change_feed import HistoryGone, ToldChange
from peridotwell.store.revisions import ordered_revision
from tests.fleet.replica.test_service_directory import Decoder, ScriptedFeed

FIRST = ToldChange('t/a', 3, b'ready')
SECOND = ToldChange('t/a', 5, b'leaving')


# A question that no result is given for fails the test.
ANSWER_SECONDS = 1


class _AskedFeed(ScriptedFeed):
    """Answers the questions with the given results, in order."""

    listener = None

    def on_ended(self, listener):
        self.listener = listener
        return True

    async def tells_again(self, change):
        with trio.fail_after(ANSWER_SECONDS):
            return await self._next(change)


class _Setup:
    def __init__(self, *results, is_following=True):
        self.feed = _AskedFeed(*results)
        self.breaks = 0
        directory = ServiceDirectory(Decoder())
        self.history = directory.replica.history
        checks = ContinuityCheck(
            self.feed,
            directory,
            Metrics('', ''),
            lambda now: is_following,
            self._break,
        )
        self.check = checks.check
        self.run = checks.run

    def _break(self):
        self.breaks += 1


# Guards against changes that no answer tells: the store was restored, and has
# passed the known revision before it was asked again.
@pytest.mark.parametrize('result', [False, HistoryGone('gone')])
async def test_a_change_that_is_not_told_again_has_all_entries_read(result):
    setup = _Setup(result)
    setup.history.record((FIRST,))
    await setup.check(0)
    setup.history.record((SECOND,))
    await setup.check(1)
    assert setup.feed.requested == [FIRST]
    assert setup.breaks == 1


async def test_nothing_is_asked_while_nothing_changes():
    setup = _Setup()
    setup.history.record((FIRST,))
    for second in range(3):
        await setup.check(second)
    assert not setup.feed.requested


async def test_a_change_of_an_earlier_era_is_not_asked_for():
    setup = _Setup()
    setup.history.record((FIRST,))
    await setup.check(0)
    restored = ToldChange('t/a', ordered_revision(1, 2), b'ready')
    setup.history.record((restored,))
    await setup.check(1)
    assert not setup.feed.requested
    assert not setup.breaks


# Guards against a second restore that nobody notices, right after the first one
# is known: the first change of that one is to be asked for.
async def test_checks_begin_anew_with_the_first_change_of_an_era(
    nursery, autojump_clock
):
    setup = _Setup(False)
    setup.history.record((FIRST,))
    nursery.start_soon(setup.run)
    await trio.testing.wait_all_tasks_blocked()
    setup.history.record((SECOND,))
    await trio.sleep(INTERVAL_SECONDS / 2)
    first = ToldChange('t/a', ordered_revision(1, 2), b'ready')
    setup.history.record((first,))
    await trio.testing.wait_all_tasks_blocked()
    later = ToldChange('t/a', ordered_revision(1, 3), b'leaving')
    setup.history.record((later,))
    await trio.sleep(1.5 * INTERVAL_SECONDS)
    assert setup.feed.requested == [first]
    assert setup.breaks == 1


# Guards against a restore that nobody notices: the store's process has ended
# while no call waited, and has reached the revision of before again.
async def test_the_latest_change_is_asked_for_once_connections_have_ended(
    nursery, autojump_clock
):
    setup = _Setup(StoreResponseLost('lost'), False)
    setup.history.record((FIRST,))
    nursery.start_soon(setup.run)
    await trio.sleep(2 * INTERVAL_SECONDS)
    assert not setup.feed.requested
    setup.feed.listener()
    await trio.sleep(1.5 * INTERVAL_SECONDS)
    assert setup.feed.requested == [FIRST, FIRST]
    assert setup.breaks == 1


async def test_a_question_without_an_answer_is_asked_again():
    setup = _Setup(StoreResponseLost('lost'), True)
    setup.history.record((FIRST,))
    await setup.check(0)
    setup.history.record((SECOND,))
    await setup.check(1)
    await setup.check(2)
    assert setup.feed.requested == [FIRST, FIRST]
    assert not setup.breaks


async def test_a_router_that_follows_another_one_does_not_ask():
    setup = _Setup(is_following=False)
    setup.history.record((FIRST,))
    await setup.check(0)
    setup.history.record((SECOND,))
    await setup.check(1)
    assert not setup.feed.requested
