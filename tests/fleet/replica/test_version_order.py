"""The version with the highest number is in force, whatever the store's order.

The store may execute the write of a lower version after that of a higher one.
"""

import logging

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from peridotwell.fleet.replica.change_forwarding import ChangeForwarder
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.fleet.transport.frames import SharedEntry
from peridotwell.store.base import Entry
from peridotwell.store.change_feed import Changes, Snapshot
from peridotwell.store.revisions import ordered_revision
from tests.fleet.relays.test_update_exchange import Router, run_ticks
from tests.fleet.replica.test_service_directory import Decoder

# Two versions, and the revisions at which the store executed their writes.
EXECUTED_FIRST, EXECUTED_LAST = 2, 3
BEFORE = Entry('table', b'58', 1)
HIGHER = Entry('table', b'60', EXECUTED_FIRST)
LOWER = Entry('table', b'59', EXECUTED_LAST)


def directory_with(*entries, revision=1):
    directory = ServiceDirectory(Decoder())
    directory.apply_snapshot(Snapshot(entries, revision), 0)
    return directory


def change(directory, *entries, now=1):
    directory.apply_changes(
        Changes(entries, (), max(each.revision for each in entries)), now
    )


def shared(*entries):
    return tuple(
        SharedEntry(each.key, each.revision, each.value) for each in entries
    )


# Guards against the refusal of routes and keys of the highest version, which
# was never looked at since a lower one in the same answer was executed later.
@pytest.mark.parametrize(
    'told', [(HIGHER, LOWER), (LOWER, HIGHER)], ids=['in-order', 'reversed']
)
def test_of_one_answer_the_highest_version_is_taken(told):
    directory = directory_with(BEFORE)
    change(directory, *told)
    assert directory.table.version == 60
    assert directory.known_revision == EXECUTED_LAST


@pytest.mark.parametrize(
    'told', [(HIGHER, LOWER), (LOWER, HIGHER)], ids=['in-order', 'reversed']
)
def test_of_two_answers_the_highest_version_is_taken(told):
    directory = directory_with(BEFORE)
    for entry in told:
        change(directory, entry)
    assert directory.table.version == 60


# Guards against a router that starts with the lower version, although the one
# that it asks goes by the higher one.
def test_router_that_starts_takes_the_version_in_force_at_its_peer():
    peer = directory_with(BEFORE)
    change(peer, HIGHER, LOWER)
    started = ServiceDirectory(Decoder())
    started.apply_peer_snapshot(
        peer.replica.changes_since(0), peer.known_revision, 1
    )
    assert started.table.version == 60
    assert started.replica.changes_since(0) == peer.replica.changes_since(0)


def test_router_that_lags_takes_the_version_in_force_at_its_peer():
    peer, behind = directory_with(BEFORE), directory_with(BEFORE)
    change(peer, HIGHER, LOWER)
    changes = peer.replica.changes_since(behind.known_revision)
    behind.apply_peer_changes(changes, peer.known_revision, 1)
    assert behind.table.version == 60


# Guards against a higher version that is refused because of its revision.
@pytest.mark.parametrize('is_complete', [True, False])
def test_higher_version_of_an_earlier_revision_is_taken(is_complete):
    directory = directory_with(LOWER, revision=EXECUTED_LAST)
    entries = shared(HIGHER)
    if is_complete:
        directory.apply_peer_snapshot(entries, EXECUTED_FIRST, 1)
    else:
        directory.apply_peer_changes(entries, EXECUTED_FIRST, 1)
    assert directory.table.version == 60
    assert directory.known_revision == EXECUTED_LAST


def test_same_number_of_a_later_revision_is_taken():
    directory = directory_with(BEFORE)
    change(directory, Entry('table', b'58', 2))
    assert directory.table.revision == 2
    directory.apply_peer_snapshot(shared(BEFORE), 2, 1)
    assert directory.table.revision == 2


# Guards against a version that cannot be read and hides another one.
@pytest.mark.parametrize('unreadable', [HIGHER, LOWER])
def test_version_that_cannot_be_read_does_not_hide_another(unreadable):
    directory = directory_with(BEFORE)
    broken = Entry('table', b'?', unreadable.revision)
    readable = LOWER if unreadable is HIGHER else HIGHER
    change(directory, broken, readable)
    assert directory.table.version == int(readable.value)


class HalfDecoder(Decoder):
    """Reads the numbers of all versions, but no other part of some."""

    def table_version(self, content):
        return super().table_version(content.removesuffix(b'!'))


def test_highest_version_that_cannot_be_read_stays_seen(caplog):
    caplog.set_level(logging.INFO, 'peridotwell')
    directory = ServiceDirectory(HalfDecoder())
    directory.apply_snapshot(Snapshot((BEFORE,), 1), 0)
    change(directory, Entry('table', b'60!', EXECUTED_FIRST), LOWER)
    assert directory.table.version == 59
    assert directory.table_in_force.seen_label() == '60@2'
    assert [
        (each.msg['event'], each.msg['seen'])
        for each in caplog.records
        if each.levelname == 'WARNING'
    ] == [('table.invalid', '60@2')]


def test_one_version_of_an_answer_is_decoded():
    decoded = []

    class CountingDecoder(Decoder):
        def decode_table(self, content, revision):
            decoded.append(content)
            return super().decode_table(content, revision)

    directory = ServiceDirectory(CountingDecoder())
    change(directory, BEFORE, HIGHER, LOWER)
    change(directory, LOWER)
    directory.apply_snapshot(Snapshot((LOWER,), EXECUTED_LAST), 2)
    assert decoded == [b'60']


# Guards against an older configuration after a restore, also at a router that
# starts then and hears others.
def test_after_a_restore_the_highest_version_stays_in_force():
    peer = directory_with(BEFORE)
    change(peer, HIGHER, LOWER)
    restored = Entry('table', b'58', ordered_revision(1, 1))
    snapshot = Snapshot((restored,), ordered_revision(1, 2))
    peer.apply_snapshot(snapshot, 2)
    started = ServiceDirectory(Decoder())
    started.apply_snapshot(snapshot, 2)
    started.apply_peer_snapshot(
        peer.replica.changes_since(0), peer.known_revision, 3
    )
    assert peer.table.version == started.table.version == 60
    rewritten = Entry('table', b'60', ordered_revision(1, 3))
    for directory in (peer, started):
        change(directory, rewritten)
        assert directory.table.revision == rewritten.revision


def connected_fleet(*snapshots):
    routers = {}
    fleet = [
        Router(f'r{number}', routers, snapshot=snapshot)
        for number, snapshot in enumerate(snapshots)
    ]
    for router in fleet:
        router.sharing.discovery.add_peers(each.hello for each in fleet)
    return fleet


# Guards against a router that starts and reads the lower version from the
# store, and never asks those that know as late a revision.
def test_router_that_read_the_lower_version_is_told_the_higher_one():
    before = Snapshot((BEFORE,), 1)
    latest = Snapshot((LOWER,), EXECUTED_LAST)
    fleet = connected_fleet(before, before, latest)
    for router in fleet[:2]:
        change(router.directory, HIGHER, LOWER, now=0)
    assert fleet[2].directory.table.version == 59
    run_ticks(fleet, 0, 4)
    assert [each.directory.table.version for each in fleet] == [60] * 3


# Guards against refusals for good by a lower version than others go by.
def test_higher_version_of_a_live_peer_is_heard_until_it_is_taken():
    fleet = connected_fleet(
        Snapshot((LOWER,), EXECUTED_LAST), Snapshot((HIGHER,), EXECUTED_LAST)
    )
    sync = fleet[0].sharing.entry_sync
    run_ticks(fleet, 0, 0.3)
    assert sync.hears_higher_version(0.3)
    assert not fleet[1].sharing.entry_sync.hears_higher_version(0.3)
    assert not sync.hears_higher_version(10)
    run_ticks(fleet, 0.3, 3)
    assert fleet[0].directory.table.version == 60
    assert not sync.hears_higher_version(3)


# Guards against requests for all entries without end, for a version that the
# others go by and this router cannot read.
def test_version_that_cannot_be_read_here_is_asked_for_once(caplog):
    caplog.set_level(logging.INFO, 'peridotwell')

    class OtherDecoder(HalfDecoder):
        def decode_table(self, content, revision):
            return super().decode_table(content.removesuffix(b'!'), revision)

    routers = {}
    able = Router(
        'able',
        routers,
        decoder=OtherDecoder(),
        snapshot=Snapshot((Entry('table', b'60!', EXECUTED_FIRST),), 3),
    )
    unable = Router(
        'unable',
        routers,
        decoder=HalfDecoder(),
        snapshot=Snapshot((LOWER,), EXECUTED_LAST),
    )
    for router in (able, unable):
        router.sharing.discovery.add_peers([able.hello, unable.hello])
    run_ticks((able, unable), 0, 9)
    events = [each.msg['event'] for each in caplog.records]
    assert events.count('entries.pulled') == 1
    assert unable.directory.table.version == 59
    assert unable.directory.table_in_force.seen_label() == '60@2'


# Guards against a relay that tells a group all changes up to a revision without
# the version in force: only one large version has a difference that fits.
def test_relay_does_not_claim_to_tell_all_without_the_version_in_force():
    large = [
        Entry('table', each.value.zfill(3000), each.revision)
        for each in (BEFORE, HIGHER, LOWER)
    ]
    relay, member = directory_with(large[0]), directory_with(large[0])
    forwarders = ChangeForwarder(relay), ChangeForwarder(member)
    forwarders[0].next_changes(0)
    change(relay, *large[1:])
    changes = forwarders[0].next_changes(1)
    assert changes.is_partial
    forwarders[1].apply(changes, 1)
    assert member.known_revision == 1
    change(member, *large[1:])
    assert relay.table.version == member.table.version == 60


VERSIONS = st.permutations(range(2, 7))
ROUTERS = 3
# Each answer: the router that gets it, the writes from and up to which the
# store tells, and whether it is a snapshot.
ANSWERS = st.lists(
    st.tuples(
        st.integers(0, ROUTERS - 1),
        st.integers(0, 5),
        st.integers(0, 5),
        st.booleans(),
    ),
    max_size=12,
)


# Guards against routers that go by different versions, or by a lower one than
# any of them was told, in whatever order versions are written and told.
@settings(max_examples=60, deadline=None)
@given(VERSIONS, ANSWERS)
def test_all_routers_end_with_the_highest_version_that_one_was_told(
    versions, answers
):
    written = [
        Entry('table', b'%d' % version, revision)
        for revision, version in enumerate((1, *versions), 1)
    ]
    fleet = connected_fleet(*[Snapshot(tuple(written[:1]), 1)] * ROUTERS)
    highest = 1
    for number, start, end, is_snapshot in answers:
        directory = fleet[number].directory
        told = tuple(written[start : end + 1])
        if is_snapshot:
            told = (written[end],)
            directory.apply_snapshot(Snapshot(told, end + 1), 0)
        elif told:
            change(directory, *told, now=0)
        highest = max(highest, *(int(each.value) for each in told), 0)
        assert directory.table.version <= highest
    run_ticks(fleet, 0, 6)
    assert [each.directory.table.version for each in fleet] == [
        highest
    ] * ROUTERS
