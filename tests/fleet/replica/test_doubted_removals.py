"""Removals that a router doubts after an outage, as it tells them to others."""

import pytest

from peridotwell.fleet.replica.change_forwarding import ChangeForwarder
from peridotwell.fleet.replica.deferred_removals import (
    LATER_REMOVAL_SECONDS,
    REREGISTRATION_SECONDS,
)
from peridotwell.fleet.replica.store_replica import StoreReplica
from peridotwell.fleet.transport.frames import EntriesPull
from peridotwell.store.base import Entry
from peridotwell.store.change_feed import Changes, Snapshot
from tests.fleet.relays.test_update_exchange import Router
from tests.fleet.replica.test_service_directory import entry

RETURNED_AT = 9
GONE_AT = RETURNED_AT + REREGISTRATION_SECONDS + 0.1


@pytest.fixture
def peers():
    """Two routers; the first has read the store after an outage.

    A target is missing there, the other router has not heard of that.
    """
    routers = {}
    returned, behind = (Router(name, routers) for name in 'ab')
    for router in (returned, behind):
        router.sharing.discovery.add_peers(
            each.hello for each in (returned, behind)
        )
    contact = returned.directory.store_contact
    contact.record_answer(1)
    contact.record_failure()
    contact.record_answer(RETURNED_AT)
    returned.directory.apply_snapshot(
        Snapshot((entry('table', b'1', 1), entry('t/y', b'ready', 5)), 6),
        RETURNED_AT,
    )
    return returned, behind


def names(router, now):
    router.directory.remove_expired(now)
    targets = router.directory.available_targets('s')
    return sorted(target.name for target in targets)


def pull(returned, behind, revision, now):
    returned.sharing.entry_sync.push_entries(
        EntriesPull(behind.hello.sender, revision), now
    )
    behind.receive_frames(now)


# Guards against requests at a target that is gone, without end: a peer that
# doubted its removal told it as listed.
@pytest.mark.parametrize('revision', [2, 6])
def test_a_doubted_removal_is_told_to_a_router_that_asks(peers, revision):
    returned, behind = peers
    if revision == 6:
        snapshot = Snapshot((entry('table', b'1', 1),), 6)
        returned.directory.replica.record_snapshot(snapshot.revision)
        returned.directory.apply_changes(
            Changes((entry('t/z', b'ready', 7),), (('t/z', 8),), 8),
            RETURNED_AT,
        )
    pull(returned, behind, 2, RETURNED_AT + 0.1)
    assert behind.directory.known_revision == returned.directory.known_revision
    assert names(returned, GONE_AT) == names(behind, GONE_AT) == ['y']


# Guards against callers without targets: a router removed at once what its
# peer kept, because it may register again after the outage.
def test_a_doubted_removal_is_doubted_by_the_router_that_asks(peers):
    pull(*peers, 2, RETURNED_AT + 0.1)
    assert names(peers[1], RETURNED_AT + 1) == ['engine', 'y']


# Guards against requests at a target that has left, because a peer alone had
# lost the store.
def test_a_router_in_contact_does_not_doubt_what_its_peer_doubts(peers):
    returned, behind = peers
    for now in range(5, RETURNED_AT + 1):
        behind.directory.store_contact.record_answer(now)
    pull(returned, behind, 2, RETURNED_AT + 0.1)
    assert names(behind, RETURNED_AT + 0.1) == ['y']


# Guards against requests at a target that left after an outage: its removal was
# doubted for longer than it may be in use.
@pytest.mark.parametrize('after_seconds', [0.01, 0.5, 1])
def test_a_removal_after_the_return_is_doubted_for_a_short_time(
    peers, after_seconds
):
    returned, _ = peers
    removed_at = RETURNED_AT + after_seconds
    returned.directory.apply_changes(Changes((), (('t/y', 7),), 7), removed_at)
    assert names(returned, removed_at + 0.5) == ['engine', 'y']
    gone_at = removed_at + LATER_REMOVAL_SECONDS
    assert 'y' not in names(returned, gone_at)


# Guards against the same at a router that was told of the doubt, and hears the
# removal itself.
def test_a_peers_doubt_ends_with_the_removals_that_it_tells(peers):
    _, behind = peers
    pull(*peers, 2, RETURNED_AT + 0.1)
    removed_at = RETURNED_AT + 0.2
    behind.directory.apply_changes(Changes((), (('t/y', 7),), 7), removed_at)
    assert 'y' not in names(behind, removed_at + LATER_REMOVAL_SECONDS)
    assert 'engine' in names(behind, removed_at + LATER_REMOVAL_SECONDS)


# Guards against requests at a target that is gone, without end: a relay told
# its registration after its removal, in one batch.
def test_a_relay_tells_an_entry_that_is_gone_as_removed_only(peers):
    relay, member = peers
    forwarder = ChangeForwarder(relay.directory)
    forwarder.next_changes(RETURNED_AT)
    relay.directory.apply_changes(
        Changes((entry('t/z', b'ready', 7),), (), 7), RETURNED_AT
    )
    relay.directory.apply_changes(Changes((), (('t/z', 8),), 8), RETURNED_AT)
    changes = forwarder.next_changes(RETURNED_AT)
    member.directory.apply_peer_changes((), 6, RETURNED_AT)
    ChangeForwarder(member.directory).apply(changes, RETURNED_AT)
    assert member.directory.known_revision == 8
    assert 'z' not in names(member, GONE_AT)


def test_an_entry_written_again_after_its_deletion_is_told():
    replica = StoreReplica()
    replica.put(Entry('t/x', b'ready', 1))
    replica.record_deletion('t/x', 2)
    assert [each.value for each in replica.changes_since(0)] == [None]
    replica.put(Entry('t/x', b'ready', 3))
    assert [each.value for each in replica.changes_since(0)] == [b'ready']
