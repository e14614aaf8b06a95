"""A router that lags behind asks others for the entries that it lacks."""

import pytest

from peridotwell.fleet.replica.entry_sync import EntrySync
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.fleet.transport.frames import EntriesPush, SharedEntry
from peridotwell.store.base import Entry
from peridotwell.store.change_feed import Changes
from peridotwell.store.revisions import ordered_revision
from tests.fleet.relays.test_update_exchange import Router, run_ticks
from tests.fleet.replica.test_service_directory import Decoder

CHANGED_AT = 1.0
# When all have told that they know the change.
TOLD_AT = CHANGED_AT + 0.3
# From the change on: the router waits before it asks, and asks twice.
MAX_SECONDS = 1.5
# A router with a peer ahead has the entries this long after the change.
SOON_SECONDS = 0.9
NEWER = Changes((Entry('table', b'2', 9),), (), 9)
RESTORED = ordered_revision(2, 8)
NEWER_AFTER_RESTORE = Changes((Entry('table', b'2', RESTORED),), (), RESTORED)


# Guards against a router that goes by an older configuration for seconds,
# because it asks one peer again and again, which stands still.
@pytest.mark.parametrize('frozen', ['b', 'c'])
def test_another_peer_is_asked_if_one_does_not_answer(frozen):
    fleet = make_fleet()
    running = [each for each in fleet if each.hello.name != frozen]
    run_ticks(running, TOLD_AT, CHANGED_AT + MAX_SECONDS)
    assert fleet[0].directory.table.version == 2


@pytest.mark.parametrize('unreachable', ['b', 'c'])
def test_another_peer_is_asked_if_one_cannot_be_reached(unreachable):
    fleet = make_fleet()
    fleet[0].transport.cut_from = frozenset((unreachable,))
    run_ticks(fleet, TOLD_AT, CHANGED_AT + MAX_SECONDS)
    assert fleet[0].directory.table.version == 2


# Guards against a router that has nothing in force that was written after a
# restore of the store, which others tell it: it asks the store for all entries,
# which it can't reach, and its peers only when it has waited for that.
def test_a_restore_that_others_tell_is_not_waited_for_at_the_store():
    fleet = make_fleet(NEWER_AFTER_RESTORE)
    fleet[0].directory.snapshot_requested_at = TOLD_AT
    run_ticks(fleet, TOLD_AT, CHANGED_AT + SOON_SECONDS)
    assert fleet[0].directory.table.version == 2


# Guards against the same entries twice on a slow link.
def test_entries_that_the_store_is_sending_are_not_asked_for():
    fleet = make_fleet()
    fleet[0].directory.snapshot_requested_at = TOLD_AT
    run_ticks(fleet, TOLD_AT, CHANGED_AT + SOON_SECONDS)
    assert fleet[0].directory.table.version == 1


def push(base_revision):
    """Return the changes after a revision, up to revision 9."""
    target = SharedEntry('t/x', 9, b'leaving')
    return EntriesPush(2, 9, (target,), base_revision=base_revision)


# Guards against a router that knows no configuration, or an older one, and asks
# nobody for it: the answer to its request of before its start came after it.
def test_the_answer_to_an_earlier_start_does_not_pass_a_version():
    router = Router('a', {})
    known = router.directory.known_revision
    router.sharing.entry_sync.apply_entries(push(known + 1), 0)
    assert router.directory.known_revision == known
    assert 'x' not in router.directory.available_names
    router.sharing.entry_sync.apply_entries(push(known), 0)
    assert router.directory.known_revision == 9


def test_a_router_is_not_loaded_by_the_answer_to_an_earlier_start():
    router = Router('a', {})
    directory = ServiceDirectory(Decoder())
    sync = EntrySync(
        router.sharing.peers,
        router.transport,
        directory,
        router.sharing.relay_protocol,
    )
    sync.apply_entries(push(7), 0)
    assert not directory.is_loaded
    assert not directory.known_revision


def make_fleet(changes=NEWER):
    """Return three routers, of which two have told that they know a change."""
    routers = {}
    fleet = [Router(name, routers) for name in 'abc']
    for router in fleet:
        router.sharing.discovery.add_peers(each.hello for each in fleet)
    run_ticks(fleet, 0, CHANGED_AT)
    for router in fleet[1:]:
        router.directory.apply_changes(changes, CHANGED_AT)
    run_ticks(fleet, CHANGED_AT, TOLD_AT)
    assert fleet[0].directory.table.version == 1
    return fleet
