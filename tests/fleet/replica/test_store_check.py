"""Calls to the store after a late turn."""

import pytest
import trio

from peridotwell.errors import StoreUnavailable
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.fleet.replica.store_check import StoreCheck
from peridotwell.metrics import Metrics
from peridotwell.store.change_feed import (
    ChangeFeed,
    Changes,
    HistoryGone,
    Snapshot,
)
from tests.fleet.replica.test_service_directory import Decoder, entry

STALL_SECONDS = 3.0


class FailingFeed(ChangeFeed):
    """Raises the given errors in order, then answers."""

    def __init__(self, *errors) -> None:
        self.errors = list(errors)

    async def read_snapshot(self):
        await trio.lowlevel.checkpoint()
        return Snapshot((entry('table', b'2', 9),), 9)

    async def wait_for_changes(self, after, wait_seconds):
        await trio.lowlevel.checkpoint()
        if self.errors:
            raise self.errors.pop(0)
        return Changes((entry('table', b'2', 9),), (), 9)


def stalled_directory():
    """Return a directory of a router that has just stood still."""
    directory = ServiceDirectory(Decoder())
    now = trio.current_time()
    snapshot = Snapshot((entry('table', b'1', 1),), 1)
    directory.apply_snapshot(snapshot, now - STALL_SECONDS)
    directory.freshness.record_answer(now - STALL_SECONDS, now - STALL_SECONDS)
    directory.freshness.record_turn(now - STALL_SECONDS, now - STALL_SECONDS)
    directory.freshness.record_turn(now, now)
    return directory


# Guards against a router that serves by an old configuration after it stood
# still, because changes that the store no longer has were taken for an outage.
async def test_changes_that_are_gone_are_read_as_a_snapshot(
    autojump_clock, nursery
):
    directory = stalled_directory()
    feed = FailingFeed(HistoryGone('gone'))
    nursery.start_soon(StoreCheck(feed, directory, Metrics('', '')).run)
    assert await directory.freshness.settle(trio.current_time())
    assert directory.table.version == 2


async def test_a_check_that_failed_is_repeated(autojump_clock, nursery):
    directory = stalled_directory()
    feed = FailingFeed(StoreUnavailable('status 503'))
    nursery.start_soon(StoreCheck(feed, directory, Metrics('', '')).run)
    assert await directory.freshness.settle(trio.current_time())
    assert directory.table.version == 1
    began = trio.current_time()
    with trio.fail_after(2):
        while directory.freshness.late.is_set():
            await trio.sleep(0.1)
            directory.freshness.record_turn(trio.current_time(), 0)
    assert directory.table.version == 2
    assert trio.current_time() - began == pytest.approx(1, abs=0.2)
