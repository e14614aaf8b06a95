"""Calls to the store after a late turn."""

import pytest
import trio
import trio.testing

from peridotwell.errors import StoreUnavailable
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.fleet.replica.store_belief import Evidence, EvidenceSource
from peridotwell.fleet.replica.store_check import StoreCheck
from peridotwell.fleet.replica.store_reader import StoreReader
from peridotwell.fleet.transport.frames import SharedEntry
from peridotwell.metrics import Metrics
from peridotwell.store.change_feed import (
    ChangeFeed,
    Changes,
    HistoryGone,
    Snapshot,
)
from tests.fleet.replica.test_service_directory import Decoder, entry

STALL_SECONDS = 3.0
# A call takes some turns of the event loop, one for each step of its client.
TURNS_PER_CALL = 8
TURN_SECONDS = 0.25


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


class MuteFeed(FailingFeed):
    """Gives no answer to calls that ask for changes."""

    async def wait_for_changes(self, after, wait_seconds):
        return await trio.sleep_forever()


class SilentFeed(MuteFeed):
    """Gives no answer."""

    async def read_snapshot(self):
        return await trio.sleep_forever()


class SlowlyReadFeed(FailingFeed):
    """Answers at once; the client takes some turns to read the answer."""

    async def wait_for_changes(self, after, wait_seconds):
        for _ in range(TURNS_PER_CALL):
            await trio.lowlevel.checkpoint()
        return await super().wait_for_changes(after, wait_seconds)


async def take_slow_turns(clock):
    """Let each turn of the event loop take some time."""
    while True:
        await trio.lowlevel.checkpoint()
        clock.jump(TURN_SECONDS)


def stalled_directory():
    """Return a directory of a router that has just stood still."""
    directory = ServiceDirectory(Decoder())
    now = trio.current_time()
    snapshot = Snapshot((entry('table', b'1', 1),), 1)
    directory.apply_snapshot(snapshot, now - STALL_SECONDS)
    known = Evidence(now - STALL_SECONDS, 1, EvidenceSource.snapshot)
    directory.belief.record(known, now - STALL_SECONDS)
    directory.belief.record_turn(now - STALL_SECONDS)
    directory.belief.record_turn(now)
    return directory


def make_check(feed, directory, on_answer=print):
    metrics = Metrics('', '')
    reader = StoreReader(feed, directory, metrics)
    return StoreCheck(reader, directory, metrics, on_answer)


# Guards against a router that serves by an old configuration after it stood
# still, because changes that the store no longer has were taken for an outage.
async def test_changes_that_are_gone_are_read_as_a_snapshot(
    autojump_clock, nursery
):
    directory = stalled_directory()
    feed = FailingFeed(HistoryGone('gone'))
    nursery.start_soon(make_check(feed, directory).run)
    assert await directory.belief.settle(trio.current_time())
    assert directory.table.version == 2


async def test_a_check_that_failed_is_repeated(autojump_clock, nursery):
    directory = stalled_directory()
    feed = FailingFeed(StoreUnavailable('status 503'))
    nursery.start_soon(make_check(feed, directory).run)
    assert await directory.belief.settle(trio.current_time())
    assert directory.table.version == 1
    began = trio.current_time()
    with trio.fail_after(2):
        while directory.belief.due.is_set():
            await trio.sleep(0.1)
            directory.belief.record_turn(trio.current_time())
    assert directory.table.version == 2
    assert trio.current_time() - began == pytest.approx(1, abs=0.2)


# Guards against a router that decides by an old configuration, because it takes
# the store to be away whose answer it is itself too slow to read.
async def test_the_time_of_slow_turns_is_not_the_store_s(
    autojump_clock, nursery
):
    directory = stalled_directory()
    failures = []
    directory.belief.record_failure = lambda *_: failures.append(1)
    check = make_check(SlowlyReadFeed(), directory)
    nursery.start_soon(check.run)
    nursery.start_soon(take_slow_turns, autojump_clock)
    with trio.fail_after(5):
        while directory.table.version < 2:
            await trio.lowlevel.checkpoint()
    assert not failures


async def test_a_silent_store_is_known_to_be_away_soon(autojump_clock, nursery):
    directory = stalled_directory()
    check = make_check(SilentFeed(), directory)
    nursery.start_soon(check.run)
    began = trio.current_time()
    while not directory.belief.is_away():
        await trio.sleep(0.01)
    assert trio.current_time() - began == pytest.approx(0.6, abs=0.01)


# Guards against an older configuration that decides requests for as long as a
# store answers all calls but those that ask for changes.
async def test_all_entries_are_read_from_a_store_that_tells_no_changes(
    autojump_clock, nursery
):
    directory = stalled_directory()
    answered = []
    check = make_check(MuteFeed(), directory, answered.append)
    nursery.start_soon(check.run)
    asked_at = trio.current_time()
    assert await directory.belief.settle(asked_at)
    assert directory.table.version == 2
    assert directory.belief.is_current(trio.current_time())
    await trio.testing.wait_all_tasks_blocked()
    assert answered == [asked_at]


# Guards against a router that refuses all requests for a second longer after
# its start, while the store is silent and its peers have told the entries.
async def test_a_silent_store_is_known_to_be_away_soon_after_the_start(
    autojump_clock, nursery
):
    directory = ServiceDirectory(Decoder())
    directory.belief.record_turn(trio.current_time())
    nursery.start_soon(make_check(SilentFeed(), directory).run)
    await trio.sleep(0.15)
    loaded_at = trio.current_time()
    shared = SharedEntry('table', 1, b'1')
    directory.apply_peer_snapshot((shared,), 1, loaded_at)
    while not directory.belief.is_away():
        await trio.sleep(0.01)
    assert trio.current_time() - loaded_at == pytest.approx(0.65, abs=0.06)
