"""Tests of the updates between forwarding routers, with frames in memory."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from peridotwell.domain.target import wire_id
from peridotwell.fleet.relays.forwarding_state import ForwardingState
from peridotwell.fleet.relays.update_exchange import UpdateExchange
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.fleet.transport.frames import (
    EntriesPull,
    RouterUpdate,
    decode_frame,
    encode_frame,
)
from peridotwell.fleet.transport.peer_transport import PeerTransport
from peridotwell.fleet.transport.peers import Peers, make_hello
from peridotwell.metrics import Metrics
from peridotwell.policy.health.target_notices import Departure
from peridotwell.policy.load.peer_counts import PeerCounts
from peridotwell.policy.placement.prompt_cache_index import (
    CachedPart,
    PromptCacheIndex,
)
from peridotwell.store.base import Entry
from peridotwell.store.change_feed import Changes, Snapshot
from tests.fleet.replica.test_service_directory import Decoder

PART = CachedPart(7, 900)
SNAPSHOT = Snapshot(
    (Entry('table', b'1', 1), Entry('t/engine', b'ready', 2)),
    2,
)


class InMemoryTransport(PeerTransport):
    """Delivers frames at once to the routers in `routers`, by address.

    While `is_cut` is set, all frames of this router are dropped; frames to the
    addresses in `cut_from` are always dropped.
    """

    def __init__(self, address, routers):
        super().__init__(address)
        self.routers = routers
        self.is_cut = False
        self.cut_from = frozenset()

    def disconnect(self, address):
        pass

    def transmit(self, address, content):
        if self.is_cut or address not in self.routers:
            return False
        if address in self.cut_from:
            return False
        self.routers[address].inbox.append(content)
        return True


class Router:
    """A router with its update exchange, without callers or a store."""

    def __init__(
        self,
        name,
        routers,
        data_centre='a',
        decoder=None,
        snapshot=SNAPSHOT,
        transport=None,
        link_bytes_per_second=0,
    ):
        self.inbox = []
        self.hello = make_hello(
            name, data_centre, name, '', 1, link_bytes_per_second
        )
        self.transport = transport or InMemoryTransport(name, routers)
        self.directory = ServiceDirectory(decoder or Decoder())
        self.directory.apply_snapshot(snapshot, 0)
        self.knowledge = ForwardingState(
            self.directory,
            PromptCacheIndex(),
            PeerCounts(),
            PeerCounts(),
        )
        self.sharing = UpdateExchange(
            Peers(self.hello, 2),
            self.transport,
            self.knowledge,
            Metrics('', ''),
        )
        routers[name] = self

    def receive_frames(self, now):
        while self.inbox:
            self.sharing.receive(self.inbox.pop(0), now)


@pytest.fixture
def fleet():
    routers = {}
    first, second, third = (Router(name, routers) for name in 'abc')
    all_routers = (first, second, third)
    for router in all_routers:
        router.sharing.discovery.add_peers(each.hello for each in all_routers)
    run_ticks(all_routers, 0, 1)
    return all_routers


def run_ticks(all_routers, start, end):
    """Run the routers from `start` to `end` seconds, ticking each 0.05 s."""
    steps = int((end - start) / 0.05)
    for step in range(steps):
        now = start + step * 0.05
        for router in all_routers:
            router.sharing.tick(now)
        for router in all_routers:
            router.receive_frames(now)


def test_routers_detect_live_and_silent_peers(fleet):
    first, _, third = fleet
    assert len(first.sharing.peers.live_peers(1)) == 2
    third.transport.is_cut = True
    run_ticks(fleet, 1, 5)
    assert len(first.sharing.peers.live_peers(5)) == 1


def test_partition_does_not_multiply_the_retry_budget(fleet):
    """Each side of a partition leaves the other side its share of retries."""
    first, _, third = fleet
    third.transport.is_cut = True
    run_ticks(fleet, 1, 5)
    assert first.sharing.router_count() == 3
    first.sharing.discovery.remove_gone([first.hello], 5)
    assert first.sharing.router_count() == 2


def test_new_router_counts_registered_routers_before_the_first_frame():
    routers = {}
    new, other = Router('new', routers), Router('other', routers)
    new.sharing.discovery.add_peers([other.hello])
    assert new.sharing.router_count() == 2


def test_call_counts_of_peers_are_summed_until_a_peer_is_silent(fleet):
    first, second, third = fleet
    engine = wire_id('engine')
    second.sharing.own_requests.add(engine, 2)
    third.sharing.own_requests.add(engine, 3)
    run_ticks(fleet, 1, 2)
    assert first.knowledge.peer_requests.outstanding(engine) == 5
    third.transport.is_cut = True
    run_ticks(fleet, 2, 6)
    assert first.knowledge.peer_requests.outstanding(engine) == 2


def test_counts_of_a_peer_that_restarts_are_removed(fleet):
    first, _, third = fleet
    engine = wire_id('engine')
    third.sharing.own_requests.add(engine, 3)
    run_ticks(fleet, 1, 2)
    assert first.knowledge.peer_requests.outstanding(engine) == 3
    restarted = make_hello('c', 'a', 'c', '', 2)
    first.sharing.discovery.add_peers([restarted])
    first.sharing.tick(2)
    assert first.knowledge.peer_requests.outstanding(engine) == 0


def test_lost_update_is_repaired_by_a_later_one(fleet):
    first, second, _ = fleet
    engine = wire_id('engine')
    second.transport.is_cut = True
    second.sharing.own_requests.add(engine, 2)
    run_ticks(fleet, 1, 1.5)
    second.transport.is_cut = False
    run_ticks(fleet, 1.5, 5)
    assert first.knowledge.peer_requests.outstanding(engine) == 2


def test_new_prompt_is_shared_within_a_tenth_of_a_second(fleet):
    first, second, _ = fleet
    second.sharing.record_prompt_sent(wire_id('engine'), (PART,))
    run_ticks(fleet, 1, 1.1)
    assert first.knowledge.cache_index.missing_tokens('engine', (PART,), 1) == 0


STREAM, VERSION = wire_id('stream'), wire_id('v1')


def test_version_of_a_stream_is_shared_within_a_tenth_of_a_second(fleet):
    first, second, _ = fleet
    second.sharing.share_stream_versions([(STREAM, VERSION)])
    run_ticks(fleet, 1, 1.1)
    assert first.knowledge.stream_versions.version(STREAM, 1.1) == VERSION


def test_target_that_said_it_leaves_is_left_by_all_routers(fleet):
    first, second, _ = fleet
    second.sharing.departure_sync.share((Departure(7, 8),))
    run_ticks(fleet, 1, 1.1)
    assert list(first.knowledge.target_notices.departed()) == [(7, 8)]


# Guards against records that wait for the next periodic update.
def test_records_that_did_not_fit_an_update_are_sent_with_the_next(fleet):
    first, second, _ = fleet
    second.sharing.departure_sync.share(
        Departure(number, 8) for number in range(150)
    )
    run_ticks(fleet, 1, 1.05)
    assert second.sharing.has_updates.is_set()
    run_ticks(fleet, 1.05, 1.1)
    assert not second.sharing.has_updates.is_set()
    assert len(list(first.knowledge.target_notices.departed())) == 150


def test_many_streams_are_shared_over_several_updates(fleet):
    first, second, _ = fleet
    second.sharing.share_stream_versions(
        [(stream, VERSION) for stream in range(350)]
    )
    run_ticks(fleet, 1, 1.5)
    assert len(list(first.knowledge.stream_versions.recent(1.5))) == 350


def test_a_stream_adds_few_bytes_to_an_update():
    """At 76 streams a second, these stay below 1 KB/s."""
    update = RouterUpdate(1, 1, 1)
    more = RouterUpdate(1, 1, 1, stream_versions=((STREAM, VERSION),) * 10)
    added = len(encode_frame(more)) - len(encode_frame(update))
    assert added / 10 <= 12


def test_new_router_receives_the_prompt_cache_index_from_a_peer(fleet):
    first, second, _ = fleet
    second.knowledge.cache_index.record_use('engine', (PART,), 1)
    second.sharing.cache_sync.is_complete = True
    # Each call asks another peer; the third router has no index.
    assert first.sharing.cache_sync.request(1)
    assert first.sharing.cache_sync.request(1)
    run_ticks(fleet, 1, 1.2)
    assert first.sharing.cache_sync.is_ready.is_set()
    assert first.knowledge.cache_index.missing_tokens('engine', (PART,), 1) == 0


def test_lists_of_caches_reach_the_peers_of_a_small_fleet(fleet):
    first, second, _ = fleet
    second.sharing.cache_sync.record_listed(wire_id('engine'), (PART,), 1)
    run_ticks(fleet, 1, 1.2)
    assert first.knowledge.cache_index.missing_tokens('engine', (PART,), 1) == 0


# Guards against work for a leaving target until a large configuration has come.
def test_requested_entries_start_with_those_of_targets(fleet):
    first, second, _ = fleet
    second.directory.apply_changes(
        Changes(
            (
                Entry('table', b'2'.zfill(4000), 5),
                Entry('t/engine', b'leaving', 6),
            ),
            (),
            6,
        ),
        1,
    )
    second.inbox.clear()
    second.sharing.entry_sync.push_entries(
        EntriesPull(first.hello.sender, 2), 1
    )
    urgent, everything = first.inbox
    assert len(urgent) < 100
    first.sharing.receive(urgent, 1)
    assert not first.directory.available_targets('s')
    assert first.directory.known_revision == 2
    first.sharing.receive(everything, 1)
    assert first.directory.table.version == 2
    assert first.directory.known_revision == 6


def test_router_without_the_store_receives_changes_from_peers(fleet):
    """The store refuses one router while it serves the others."""
    first, second, third = fleet
    for router in (second, third):
        router.directory.apply_changes(
            Changes((Entry('table', b'2', 5),), (('t/engine', 6),), 6),
            1,
        )
    run_ticks(fleet, 1, 3)
    assert first.directory.table.version == 2
    assert not first.directory.available_targets('s')


def test_crash_record_reaches_all_routers(fleet):
    first, second, _ = fleet
    crash_record = second.knowledge.crashed_requests.record_loss(9, 1, 1)
    second.sharing.crashed_request_sync.share((crash_record,))
    run_ticks(fleet, 1, 1.2)
    assert first.knowledge.crashed_requests.lost_incarnations(9, 2) == {1}


@given(st.binary(max_size=200))
def test_invalid_frames_are_ignored(content):
    router = Router('x', {})
    router.sharing.receive(content, 0)
    assert router.sharing.router_count() == 1


def test_encoded_update_is_small():
    """An update for 0.1 s of a busy router fits a rate of 2 KB a second."""
    update = RouterUpdate(
        1, 1000, 2**32 - 1, outstanding_requests=((2**32 - 1, 12),) * 3
    )
    assert len(encode_frame(update)) < 60
    assert decode_frame(encode_frame(update)) == update


# Guards against a removed target that stays in use for the whole grace period
# although a peer was in touch with the store all the while.
def test_a_peer_in_touch_with_the_store_ends_the_doubt_of_a_removal(fleet):
    first, second, _ = fleet
    for now in (1, 3, 5):
        second.directory.store_contact.record_answer(now)
    first.directory.deferred_removals.start_grace_period(3, 5)
    first.directory.apply_changes(Changes((), (('t/engine', 3),), 3), 5)
    assert first.directory.available_targets('s')
    assert first.directory.deferred_removals.is_active(5)
    run_ticks((second,), 5, 6)
    first.receive_frames(6)
    assert not first.directory.deferred_removals.remaining_seconds(6)
    first.directory.remove_expired(6)
    assert not first.directory.available_targets('s')
    assert not first.directory.deferred_removals.is_active(6)
