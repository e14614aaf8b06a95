"""Tables and targets as read from the store, also during its faults."""

import trio

from peridotwell.domain.routing_table import RoutingTable
from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.errors import EntryError, StoreResponseLost
from peridotwell.fleet.deferred_removals import REREGISTRATION_SECONDS
from peridotwell.fleet.service_directory import ServiceDirectory
from peridotwell.fleet.store_follower import StoreFollower
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
    """Decodes tables (a number) and targets (a state and an incarnation)."""

    def is_table(self, key):
        return key == 'table'

    def is_target(self, key):
        return key.startswith('t/')

    def decode_table(self, content, revision):
        if not content.isdigit():
            raise EntryError('no number')
        return RoutingTable(int(content), revision)

    def decode_target(self, key, content):
        state, _, start = content.decode().partition(' ')
        if state not in {'ready', 'leaving'}:
            raise EntryError('no state')
        return Target(
            key[2:],
            '10.0.0.1:80',
            TargetKind.service,
            Pool('a', 's'),
            incarnation=start,
            leaving=state == 'leaving',
        )


def entry(key, value, revision):
    return Entry(key, value, revision)


def make_directory() -> ServiceDirectory:
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


def target_names(directory):
    return sorted(target.name for target in directory.available_targets('s'))


def apply_changes(directory, *entries, deleted=(), revision=9, now=1):
    directory.apply_changes(Changes(entries, deleted, revision), now)


def test_leaving_targets_get_no_new_work_and_are_still_known():
    directory = make_directory()
    apply_changes(directory, entry('t/x', b'leaving', 4))
    assert target_names(directory) == ['y']
    assert len(directory.all_targets('s')) == 2


def test_an_older_table_is_ignored():
    """During faults, the store may return a stale answer after a newer one."""
    directory = make_directory()
    apply_changes(directory, entry('table', b'2', 5))
    directory.apply_snapshot(Snapshot((entry('table', b'1', 1),), 3), 2)
    assert directory.table.version == 2


def test_a_stale_snapshot_does_not_bring_back_a_deleted_target():
    directory = make_directory()
    apply_changes(directory, deleted=(('t/x', 6),))
    old = (
        entry('table', b'1', 1),
        entry('t/x', b'ready', 2),
        entry('t/y', b'ready', 3),
    )
    directory.apply_snapshot(Snapshot(old, 3), 2)
    assert target_names(directory) == ['y']


def test_an_invalid_table_is_ignored():
    directory = make_directory()
    apply_changes(directory, entry('table', b'?', 5))
    assert directory.table.version == 1


def test_an_invalid_entry_removes_only_its_target():
    directory = make_directory()
    apply_changes(directory, entry('t/x', b'\x3f', 5))
    assert target_names(directory) == ['y']
    apply_changes(directory, entry('t/x', b'ready', 6))
    assert target_names(directory) == ['x', 'y']


def test_a_restarted_target_with_the_same_name_is_usable():
    directory = make_directory()
    apply_changes(directory, entry('t/x', b'leaving 1', 4))
    apply_changes(directory, entry('t/x', b'ready 2', 5))
    assert target_names(directory) == ['x', 'y']
    (target,) = [
        each for each in directory.available_targets('s') if each.name == 'x'
    ]
    assert target.incarnation == '2'


def test_after_an_outage_deleted_targets_are_kept_for_a_grace_period():
    directory = make_directory()
    directory.deferred_removals.start_grace_period(REREGISTRATION_SECONDS, 10)
    apply_changes(directory, deleted=(('t/x', 6),), now=10)
    assert target_names(directory) == ['x', 'y']
    directory.remove_expired(10 + REREGISTRATION_SECONDS)
    assert target_names(directory) == ['y']


def test_a_target_that_registers_again_after_an_outage_is_kept():
    directory = make_directory()
    directory.deferred_removals.start_grace_period(REREGISTRATION_SECONDS, 10)
    apply_changes(directory, deleted=(('t/x', 6),), now=10)
    apply_changes(directory, entry('t/x', b'ready', 7), now=11)
    directory.remove_expired(20)
    assert target_names(directory) == ['x', 'y']


def test_a_leaving_target_is_not_usable_after_an_outage():
    directory = make_directory()
    directory.deferred_removals.start_grace_period(REREGISTRATION_SECONDS, 10)
    apply_changes(directory, entry('t/x', b'leaving', 6), now=10)
    assert target_names(directory) == ['y']


def test_a_router_that_lags_behind_applies_changes_of_a_peer():
    ahead, behind = make_directory(), make_directory()
    apply_changes(ahead, entry('table', b'2', 5), deleted=(('t/x', 6),))
    shared = ahead.replica.changes_since(behind.known_revision)
    behind.apply_peer_changes(shared, ahead.known_revision, 1)
    assert behind.table.version == 2
    assert target_names(behind) == ['y']
    assert behind.known_revision == ahead.known_revision
    assert behind.feed_revision == 3


class ScriptedFeed(ChangeFeed):
    """Returns answers and raises failures in order, then blocks."""

    def __init__(self, *script) -> None:
        self.script = list(script)
        self.calls = []

    async def read_snapshot(self):
        return await self._next_step('snapshot')

    async def wait_for_changes(self, after, wait_seconds):
        return await self._next_step(after)

    async def _next_step(self, calls):
        self.calls.append(calls)
        await trio.lowlevel.checkpoint()
        if not self.script:
            await trio.sleep_forever()
        step = self.script.pop(0)
        if isinstance(step, Exception):
            raise step
        return step


async def follow(directory, feed, must_follow_store=lambda now: True):
    follower = StoreFollower(
        feed, directory, Metrics('', ''), must_follow_store
    )
    with trio.move_on_after(5):
        await follower.run()
    return follower


async def test_lost_history_leads_to_a_new_snapshot(autojump_clock):
    directory = ServiceDirectory(Decoder())
    feed = ScriptedFeed(
        Snapshot((entry('table', b'1', 1),), 1),
        HistoryGone('dropped'),
        Snapshot((entry('table', b'3', 8),), 8),
    )
    await follow(directory, feed)
    assert feed.calls == ['snapshot', 1, 'snapshot', 8]
    assert directory.table.version == 3


async def test_an_interrupted_watch_resumes_at_its_revision(autojump_clock):
    directory = ServiceDirectory(Decoder())
    feed = ScriptedFeed(
        Snapshot((entry('table', b'1', 1),), 1),
        StoreResponseLost('no answer'),
        StoreResponseLost('no answer'),
        Changes((entry('table', b'2', 4),), (), 4),
    )
    follower = await follow(directory, feed)
    assert feed.calls == ['snapshot', 1, 1, 1, 4]
    assert directory.table.version == 2
    assert follower.is_connected


async def test_a_follower_is_idle_while_its_relay_follows_the_store(
    autojump_clock,
):
    """It reads a snapshot when it must follow the store again."""
    directory = ServiceDirectory(Decoder())
    feed = ScriptedFeed(
        Snapshot((entry('table', b'1', 1),), 1),
        Snapshot((entry('table', b'3', 8),), 8),
    )
    await follow(directory, feed, lambda now: now % 5 > 2)
    assert feed.calls == ['snapshot', 'snapshot', 8]
    assert directory.table.version == 3


async def test_a_follower_recovers_from_an_outage_at_the_start(autojump_clock):
    directory = ServiceDirectory(Decoder())
    feed = ScriptedFeed(
        StoreResponseLost('no answer'),
        StoreResponseLost('no answer'),
        Snapshot((entry('table', b'1', 1),), 1),
    )
    await follow(directory, feed)
    assert directory.is_loaded


def test_an_answer_without_changes_calls_no_listeners():
    """Watches that time out are frequent on every router."""
    directory = make_directory()
    calls = []
    directory.on_change(lambda: calls.append(1))
    apply_changes(directory, revision=10)
    assert not calls
    assert directory.feed_revision == 10
    apply_changes(directory, entry('t/x', b'leaving', 11), revision=11)
    assert calls == [1]


def test_a_target_whose_entry_becomes_invalid_is_removed():
    directory = make_directory()
    apply_changes(directory, entry('t/x', b'garbage', 4))
    assert target_names(directory) == ['y']
    assert len(directory.all_targets()) == 1
