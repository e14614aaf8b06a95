"""Tests of the tables and targets read from the store, also during faults."""

import logging
from functools import partial

import trio

from peridotwell.domain.routing_table import RoutingTable
from peridotwell.domain.target import Pool, ReportNumber, Target, TargetKind
from peridotwell.errors import EntryError, StoreResponseLost
from peridotwell.fleet.replica.deferred_removals import REREGISTRATION_SECONDS
from peridotwell.fleet.replica.entry_source import EntrySource
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.fleet.replica.store_belief import Evidence, EvidenceSource
from peridotwell.fleet.replica.store_contact import MIN_OUTAGE_SECONDS
from peridotwell.fleet.replica.store_follower import StoreFollower
from peridotwell.fleet.replica.store_reader import StoreReader
from peridotwell.fleet.transport.frames import SharedEntry
from peridotwell.forwarding.adapters import EntryDecoder
from peridotwell.metrics import Metrics
from peridotwell.store.base import Entry
from peridotwell.store.change_feed import (
    ChangeFeed,
    Changes,
    HistoryGone,
    Snapshot,
)


class Decoder(EntryDecoder):
    """Decodes short texts.

    A table is its version number. `e/a` evacuates data centre a. A target is
    'ready' or 'leaving', then a space and its incarnation, if it has one, then
    the number of its report, if it has one.
    """

    def is_table(self, key):
        return key == 'table'

    def is_target(self, key):
        return key.startswith('t/')

    def evacuation_key(self, data_centre):
        return f'e/{data_centre}'

    def evacuated_data_centre(self, key):
        return key[2:] if key.startswith('e/') else None

    def decode_table(self, content, revision):
        if not content.isdigit():
            raise EntryError('table is not a number')
        return RoutingTable(int(content), revision)

    def table_version(self, content):
        return int(content) if content.isdigit() else None

    def decode_target(self, key, content):
        state, incarnation, number, *_ = (*content.decode().split(' '), '', '')
        if state not in {'ready', 'leaving'}:
            raise EntryError('target state is neither ready nor leaving')
        return Target(
            key[2:],
            '10.0.0.1:80',
            TargetKind.service,
            Pool('a', 's'),
            incarnation=incarnation,
            leaving=state == 'leaving',
            report=(
                ReportNumber(int(incarnation), int(number)) if number else None
            ),
        )


def entry(key, value, revision):
    return Entry(key, value, revision)


def loaded_directory() -> ServiceDirectory:
    directory = ServiceDirectory(Decoder())
    directory.apply_snapshot(
        Snapshot(
            (
                entry('table', b'1', 1),
                entry('t/x', b'ready', 2),
                entry('t/y', b'ready', 3),
            ),
            3,
        ),
        0,
    )
    return directory


def available_names(directory):
    return sorted(target.name for target in directory.available_targets('s'))


def apply_changes(directory, *entries, deleted=(), revision=9, now=1):
    directory.apply_changes(Changes(entries, deleted, revision), now)


def test_leaving_targets_are_unavailable_but_still_listed():
    directory = loaded_directory()
    apply_changes(directory, entry('t/x', b'leaving', 4))
    assert available_names(directory) == ['y']
    assert len(directory.all_targets('s')) == 2


def test_table_is_never_replaced_by_an_older_one():
    """During faults, the store may send a stale response after a newer one."""
    directory = loaded_directory()
    apply_changes(directory, entry('table', b'2', 5))
    directory.apply_snapshot(Snapshot((entry('table', b'1', 1),), 3), 2)
    assert directory.table.version == 2


# Guards against routes and keys of an older configuration, whose write was
# executed late, after the newer one.
def test_table_with_a_lower_version_is_not_taken():
    directory = loaded_directory()
    apply_changes(directory, entry('table', b'3', 5))
    apply_changes(directory, entry('table', b'2', 6), revision=10)
    assert directory.table.version == 3
    apply_changes(directory, entry('table', b'4', 7), revision=11)
    assert directory.table.version == 4


def test_log_tells_from_where_a_table_was_taken(caplog):
    caplog.set_level(logging.INFO, 'peridotwell')
    directory = loaded_directory()
    apply_changes(directory, entry('table', b'2', 5))
    directory.apply_peer_changes([SharedEntry('table', 6, b'3')], 6, 2)
    directory.apply_peer_snapshot([SharedEntry('table', 7, b'4')], 7, 3)
    lines = [record.msg for record in caplog.records]
    assert [
        line['source'] for line in lines if line['event'] == 'table.taken'
    ] == ['store snapshot', 'store changes', 'peer changes', 'peer snapshot']


# Guards against lines that name other routers as the source of a version that
# this one has read from the store.
def test_log_tells_that_a_table_was_read_by_itself(caplog):
    caplog.set_level(logging.INFO, 'peridotwell')
    directory = loaded_directory()
    directory.apply_peer_changes(
        [SharedEntry('table', 6, b'3')], 6, 2, EntrySource.store_read
    )
    taken = caplog.records[-1].msg
    assert (taken['event'], taken['source']) == ('table.taken', 'store read')
    assert directory.table_in_force.source is EntrySource.store_read


def test_stale_snapshot_does_not_restore_a_deleted_target():
    directory = loaded_directory()
    apply_changes(directory, deleted=(('t/x', 6),))
    old = (
        entry('table', b'1', 1),
        entry('t/x', b'ready', 2),
        entry('t/y', b'ready', 3),
    )
    directory.apply_snapshot(Snapshot(old, 3), 2)
    assert available_names(directory) == ['y']


def test_invalid_table_leaves_the_current_one_in_force():
    directory = loaded_directory()
    apply_changes(directory, entry('table', b'?', 5))
    assert directory.table.version == 1


def test_invalid_target_entry_removes_only_that_target():
    directory = loaded_directory()
    apply_changes(directory, entry('t/x', b'\x3f', 5))
    assert available_names(directory) == ['y']
    apply_changes(directory, entry('t/x', b'ready', 6))
    assert available_names(directory) == ['x', 'y']


def test_target_that_restarts_under_the_same_name_is_available():
    directory = loaded_directory()
    apply_changes(directory, entry('t/x', b'leaving 1', 4))
    apply_changes(directory, entry('t/x', b'ready 2', 5))
    assert available_names(directory) == ['x', 'y']
    (target,) = [
        each for each in directory.available_targets('s') if each.name == 'x'
    ]
    assert target.incarnation == '2'


def test_after_an_outage_deletions_are_deferred_then_applied():
    directory = loaded_directory()
    directory.deferred_removals.start_grace_period(REREGISTRATION_SECONDS, 10)
    apply_changes(directory, deleted=(('t/x', 6),), now=10)
    assert available_names(directory) == ['x', 'y']
    directory.remove_expired(10 + REREGISTRATION_SECONDS)
    assert available_names(directory) == ['y']


def test_target_that_registers_again_after_an_outage_is_kept():
    directory = loaded_directory()
    directory.deferred_removals.start_grace_period(REREGISTRATION_SECONDS, 10)
    apply_changes(directory, deleted=(('t/x', 6),), now=10)
    apply_changes(directory, entry('t/x', b'ready', 7), now=11)
    directory.remove_expired(20)
    assert available_names(directory) == ['x', 'y']


def test_leaving_state_applies_at_once_after_an_outage():
    directory = loaded_directory()
    directory.deferred_removals.start_grace_period(REREGISTRATION_SECONDS, 10)
    apply_changes(directory, entry('t/x', b'leaving', 6), now=10)
    assert available_names(directory) == ['y']


def test_router_that_lags_catches_up_through_a_peer():
    ahead, behind = loaded_directory(), loaded_directory()
    apply_changes(ahead, entry('table', b'2', 5), deleted=(('t/x', 6),))
    shared = ahead.replica.changes_since(behind.known_revision)
    behind.apply_peer_changes(shared, ahead.known_revision, 1)
    assert behind.table.version == 2
    assert available_names(behind) == ['y']
    assert behind.known_revision == ahead.known_revision
    assert behind.feed_revision == 3


class ScriptedFeed(ChangeFeed):
    """Returns or raises the given results in order, then waits for ever."""

    def __init__(self, *results) -> None:
        self.results = list(results)
        self.requested = []

    async def read_snapshot(self):
        return await self._next('snapshot')

    async def wait_for_changes(self, after, wait_seconds):
        return await self._next(after)

    async def _next(self, requested):
        self.requested.append(requested)
        await trio.lowlevel.checkpoint()
        if not self.results:
            await trio.sleep_forever()
        step = self.results.pop(0)
        if isinstance(step, Exception):
            raise step
        return step


class IdleFeed(ChangeFeed):
    """A store without changes, whose watches wait as long as they may."""

    def __init__(self):
        self.calls = 0

    async def read_snapshot(self):
        await trio.lowlevel.checkpoint()
        return Snapshot((entry('table', b'1', 1),), 1)

    async def wait_for_changes(self, after, wait_seconds):
        self.calls += 1
        await trio.sleep(wait_seconds)
        return Changes((), (), after)


async def follow(directory, feed, must_follow_store=lambda now: True):
    reader = StoreReader(feed, directory, Metrics('', ''))
    follower = StoreFollower(
        reader,
        directory,
        Metrics('', ''),
        must_follow_store,
        partial(trio.sleep, 0.1),
    )
    with trio.move_on_after(5):
        await follower.run()
    return follower


async def test_missing_history_causes_a_new_snapshot(autojump_clock):
    directory = ServiceDirectory(Decoder())
    feed = ScriptedFeed(
        Snapshot((entry('table', b'1', 1),), 1),
        HistoryGone('history was dropped'),
        Snapshot((entry('table', b'3', 8),), 8),
    )
    await follow(directory, feed)
    assert feed.requested == ['snapshot', 1, 'snapshot', 8]
    assert directory.table.version == 3


# Guards against calls of all members of a relay to an idle store: what they
# believe is older than the relay's belief by the time that its batches take.
async def test_members_need_no_calls_while_their_relay_follows_an_idle_store(
    autojump_clock, nursery
):
    batch_seconds = 0.4
    feed = IdleFeed()
    relay, member = ServiceDirectory(Decoder()), ServiceDirectory(Decoder())
    follower = StoreFollower(
        StoreReader(feed, relay, Metrics('', '')),
        relay,
        Metrics('', ''),
        lambda now: True,
        trio.sleep_forever,
        lambda now: True,
    )
    nursery.start_soon(follower.run)
    await trio.sleep(2)
    for _ in range(100):
        await trio.sleep(0.05)
        now = trio.current_time()
        known_until = now - relay.belief.age(now) - batch_seconds
        evidence = Evidence(known_until, 1, EvidenceSource.relay)
        member.belief.record(evidence, now)
        member.belief.record_turn(now)
        assert not member.belief.due.is_set()
    assert feed.calls < 7 / 0.4


async def test_watch_without_a_response_resumes_at_its_revision(autojump_clock):
    """The latest change is asked for again."""
    directory = ServiceDirectory(Decoder())
    first, second = entry('table', b'1', 1), entry('table', b'2', 4)
    feed = ScriptedFeed(
        Snapshot((first,), 1),
        StoreResponseLost('no response'),
        StoreResponseLost('no response'),
        Changes((first, second), (), 4),
    )
    follower = await follow(directory, feed)
    assert feed.requested == ['snapshot', 1, 0, 0, 4]
    assert directory.table.version == 2
    assert follower.is_connected


# Guards against changes that are never told: the store was restored while no
# watch was answered, and had passed the known revision before the next one.
async def test_all_entries_are_read_if_the_latest_change_is_not_told_again(
    autojump_clock,
):
    directory = ServiceDirectory(Decoder())
    first, second = entry('table', b'1', 1), entry('table', b'2', 4)
    feed = ScriptedFeed(
        Snapshot((first,), 1),
        StoreResponseLost('no response'),
        Changes((entry('t/a', b'ready', 5),), (), 5),
        Snapshot((second, entry('t/a', b'ready', 5)), 5),
    )
    follower = await follow(directory, feed)
    assert feed.requested == ['snapshot', 1, 0, 'snapshot', 5]
    assert directory.table.version == 2
    assert follower.is_connected


async def test_follower_pauses_while_a_relay_follows_the_store(autojump_clock):
    """It continues with the changes when it must follow the store again."""
    directory = ServiceDirectory(Decoder())
    feed = ScriptedFeed(
        Snapshot((entry('table', b'1', 1),), 1),
        Changes((entry('table', b'3', 8),), (), 8),
    )
    await follow_after_relay(directory, feed)
    assert feed.requested == ['snapshot', 6, 8]
    assert directory.table.version == 3


# Guards against changes that are missing for good after the relay's time.
async def test_a_snapshot_is_read_if_the_history_since_the_relay_is_gone(
    autojump_clock,
):
    directory = ServiceDirectory(Decoder())
    feed = ScriptedFeed(
        Snapshot((entry('table', b'1', 1),), 1),
        HistoryGone('history was dropped'),
        Snapshot((entry('table', b'3', 8),), 8),
    )
    await follow_after_relay(directory, feed)
    assert feed.requested == ['snapshot', 6, 'snapshot', 8]
    assert directory.table.version == 3


async def follow_after_relay(directory, feed):
    """Follow, then pause while a relay tells revision 6, and follow again."""

    def must_follow(now):
        if now % 5 > 2:
            return True
        if directory.known_revision:
            directory.apply_peer_changes((), 6, now)
        return False

    await follow(directory, feed, must_follow)


async def test_store_outage_at_startup_is_retried(autojump_clock):
    directory = ServiceDirectory(Decoder())
    feed = ScriptedFeed(
        StoreResponseLost('no response'),
        StoreResponseLost('no response'),
        Snapshot((entry('table', b'1', 1),), 1),
    )
    await follow(directory, feed)
    assert directory.is_loaded


def test_empty_response_does_not_call_listeners():
    """Every router receives such responses whenever a watch times out."""
    directory = loaded_directory()
    calls = []
    directory.on_change(lambda: calls.append(1))
    apply_changes(directory, revision=10)
    assert not calls
    assert directory.feed_revision == 10
    apply_changes(directory, entry('t/x', b'leaving', 11), revision=11)
    assert calls == [1]


def test_entry_that_becomes_invalid_removes_its_target():
    directory = loaded_directory()
    apply_changes(directory, entry('t/x', b'garbage', 4))
    assert available_names(directory) == ['y']
    assert len(directory.all_targets()) == 1


def test_of_several_versions_in_one_answer_only_the_newest_is_decoded():
    """Decoding each of many large configurations takes seconds."""
    decoded = []

    class CountingDecoder(Decoder):
        def decode_table(self, content, revision):
            decoded.append(content)
            return super().decode_table(content, revision)

    directory = ServiceDirectory(CountingDecoder())
    versions = [entry('table', b'%d' % number, number) for number in (4, 5, 6)]
    apply_changes(directory, *versions)
    assert (directory.table.version, decoded) == (6, [b'6'])


def test_a_valid_version_is_taken_although_a_newer_one_is_invalid():
    directory = ServiceDirectory(Decoder())
    versions = [entry('table', b'4', 4), entry('table', b'garbage', 5)]
    apply_changes(directory, *versions)
    assert directory.table.version == 4
    apply_changes(directory, entry('table', b'6', 6))
    assert directory.table.version == 6


def removal_after_failures(failures, seconds):
    """Return a feed that fails, and a moment later has a target removed."""

    class RemovingFeed(ScriptedFeed):
        async def wait_for_changes(self, after, wait_seconds):
            if len(self.results) == 1:
                await trio.sleep(seconds)
            return await super().wait_for_changes(after, wait_seconds)

    listed = Snapshot((entry('table', b'1', 1), entry('t/x', b'ready', 2)), 2)
    return RemovingFeed(
        listed,
        Changes((), (), 2),
        *(StoreResponseLost('cut') for _ in range(failures)),
        Changes((), (('t/x', 3),), 3),
    )


async def seconds_of_use(directory, feed, nursery):
    """Return for how long a target is used after its removal is read."""
    reader = StoreReader(feed, directory, Metrics('', ''))
    follower = StoreFollower(
        reader,
        directory,
        Metrics('', ''),
        lambda now: True,
        trio.sleep_forever,
    )
    nursery.start_soon(follower.run)
    while directory.feed_revision < 3:
        await trio.sleep(0.01)
    removed_at = trio.current_time()
    while available_names(directory):
        await trio.sleep(0.01)
        directory.remove_expired(trio.current_time())
    return trio.current_time() - removed_at


# Guards against requests at a target that has left, because one watch of the
# store was cut as it left.
async def test_a_cut_watch_does_not_keep_a_target_in_use(
    autojump_clock, nursery
):
    directory = ServiceDirectory(Decoder())
    feed = removal_after_failures(1, 0)
    assert await seconds_of_use(directory, feed, nursery) == 0


async def test_an_outage_keeps_a_removed_target_in_use(autojump_clock, nursery):
    directory = ServiceDirectory(Decoder())
    feed = removal_after_failures(2, MIN_OUTAGE_SECONDS)
    seconds = await seconds_of_use(directory, feed, nursery)
    assert 0 < seconds <= REREGISTRATION_SECONDS + 0.1


# Guards against a watch without news that is taken for an outage when it is
# cut, although the store renews leases meanwhile.
async def test_renewals_show_that_the_store_is_up(autojump_clock, nursery):
    directory = ServiceDirectory(Decoder())
    feed = removal_after_failures(2, MIN_OUTAGE_SECONDS)

    async def renew():
        while True:
            await trio.sleep(1)
            directory.store_contact.record_call(trio.current_time())

    nursery.start_soon(renew)
    assert await seconds_of_use(directory, feed, nursery) == 0


# Guards against a removed target in use of which the log does not tell for how
# long it is doubted, and who has told of its removal.
def test_the_log_tells_how_long_a_removal_is_doubted_and_who_told_it(caplog):
    caplog.set_level(logging.INFO, 'peridotwell')
    directory = loaded_directory()
    directory.deferred_removals.start_grace_period(2, 5)
    directory.apply_changes(Changes((), (('t/x', 4),), 4), 5.5)
    directory.apply_peer_changes((SharedEntry('t/y', 5, None),), 5, 6)
    doubted = [
        (each.msg['entry'], each.msg['source'], each.msg['seconds'])
        for each in caplog.records
        if each.msg['event'] == 'target.doubted'
    ]
    assert doubted == [
        ('t/x', 'store changes', 1.5),
        ('t/y', 'peer changes', 1),
    ]
