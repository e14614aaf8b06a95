"""Tests of what contact with the store shows about missing entries.

A router that regains the store keeps targets that are missing for a while,
because their leases may have expired during an outage. Peers that were in
contact all the time show that there was none.
"""

import pytest

from peridotwell.fleet.replica.deferred_removals import (
    REREGISTRATION_SECONDS,
    DeferredRemovals,
)
from peridotwell.fleet.replica.store_contact import StoreContact
from peridotwell.store.change_feed import Changes, Snapshot
from peridotwell.store.revisions import ordered_revision
from tests.fleet.relays.test_update_exchange import Router, run_ticks
from tests.fleet.replica.test_service_directory import entry

WATCH_SECONDS = 2
CUT_SECONDS = 8
# Half of the shortest time in which a leaving target must be out of use.
MAX_REMOVAL_SECONDS = 1.0


@pytest.fixture
def fleet():
    routers = {}
    fleet = [Router(name, routers) for name in 'abc']
    for router in fleet:
        router.sharing.discovery.add_peers(each.hello for each in fleet)
    run_ticks(fleet, 0, 1)
    return fleet


def answer_watch(router, revision, now):
    router.directory.apply_changes(Changes((), (), revision), now)


def regain_store(router, snapshot, now):
    """Let a router read the store again, as its follower does."""
    router.directory.deferred_removals.start_grace_period(
        REREGISTRATION_SECONDS, now
    )
    router.directory.apply_snapshot(snapshot, now)


def uses_engine(router, now):
    router.directory.remove_expired(now)
    return bool(router.directory.available_targets('s'))


def run_with_contact(fleet, start, end, *, connected):
    """Let the store answer some routers every two seconds."""
    now = start
    while now < end:
        for router in connected:
            answer_watch(router, 2, now)
        step_end = min(now + WATCH_SECONDS, end)
        run_ticks(fleet, now, step_end)
        now = step_end


GONE = Snapshot((entry('table', b'1', 1),), 5)


# Guards against work for a target that left while one router was cut off.
def test_router_that_was_cut_off_alone_removes_missing_targets_at_once(fleet):
    cut_off = fleet[0]
    run_with_contact(fleet, 1, 1 + CUT_SECONDS, connected=fleet[1:])
    now = 1 + CUT_SECONDS
    regain_store(cut_off, GONE, now)
    end = now + MAX_REMOVAL_SECONDS
    run_with_contact(fleet, now, end, connected=fleet[1:])
    assert not uses_engine(cut_off, end)


def test_targets_are_kept_after_an_outage_for_all(fleet):
    """Live ones register again within two seconds."""
    run_with_contact(fleet, 1, 3, connected=fleet)
    now = 8
    run_ticks(fleet, 3, now)
    for router in fleet:
        regain_store(router, GONE, now)
    run_with_contact(fleet, now, now + 1.9, connected=fleet)
    assert all(uses_engine(router, now + 1.9) for router in fleet)
    run_with_contact(fleet, now + 1.9, now + 3, connected=fleet)
    assert not any(uses_engine(router, now + 3) for router in fleet)


def test_contact_with_the_store_before_a_restore_shows_nothing(fleet):
    run_with_contact(fleet, 1, 9, connected=fleet)
    restored = Snapshot((entry('table', b'1', 1),), ordered_revision(1, 1))
    fleet[0].directory.apply_snapshot(restored, 9)
    run_ticks([fleet[0]], 9, 9.1)
    for router in fleet[1:]:
        router.transport.cut_from = frozenset(('a',))
    run_ticks(fleet[1:], 9, 9.1)
    for router in fleet[1:]:
        router.transport.cut_from = frozenset()
        router.inbox.clear()
        router.sharing.tick(10)
    fleet[0].receive_frames(10)
    assert uses_engine(fleet[0], 10)


def test_contact_is_interrupted_by_failures_and_long_gaps():
    contact = StoreContact(DeferredRemovals())
    for now in (1, 3, 5):
        contact.record_answer(now)
    assert contact.report(5).shows_gone
    assert not contact.report(7).shows_gone
    contact.record_failure()
    contact.record_answer(7.2)
    assert not contact.report(7.2).shows_gone
    contact.record_answer(9.4)
    assert contact.report(9.4).shows_gone
    contact.record_answer(11.9)
    assert not contact.report(11.9).shows_gone
