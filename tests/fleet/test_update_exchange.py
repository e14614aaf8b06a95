"""What forwarding routers tell each other, over a bus in memory."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from peridotwell.domain.target import wire_id
from peridotwell.fleet.frames import RouterUpdate, decode_frame, encode_frame
from peridotwell.fleet.peer_transport import PeerTransport
from peridotwell.fleet.peers import Peers, make_hello
from peridotwell.fleet.service_directory import ServiceDirectory
from peridotwell.fleet.update_exchange import ForwardingState, UpdateExchange
from peridotwell.metrics import Metrics
from peridotwell.policy.peer_counts import PeerCounts
from peridotwell.policy.prompt_cache_index import CachedPart, PromptCacheIndex
from peridotwell.policy.quarantine import Quarantine
from peridotwell.store.base import Entry
from peridotwell.store.change_feed import Changes, Snapshot
from tests.fleet.test_service_directory import Decoder

PART = CachedPart(7, 900)
LISTING = Snapshot(
    (Entry('table', b'1', 1), Entry('t/engine', b'ready', 2)),
    2,
)


class MemoryBus(PeerTransport):
    """Delivers at once to the routers registered in `routers`."""

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
    def __init__(self, name, routers, data_centre='a'):
        self.inbox = []
        self.hello = make_hello(name, data_centre, name, '', 1)
        self.bus = MemoryBus(name, routers)
        self.directory = ServiceDirectory(Decoder())
        self.directory.apply_snapshot(LISTING, 0)
        self.knowledge = ForwardingState(
            self.directory,
            PromptCacheIndex(),
            PeerCounts(),
            PeerCounts(),
            Quarantine(),
        )
        self.sharing = UpdateExchange(
            Peers(self.hello, 2), self.bus, self.knowledge, Metrics('', '')
        )
        routers[name] = self

    def read(self, now):
        while self.inbox:
            self.sharing.receive(self.inbox.pop(0), now, now)


@pytest.fixture
def fleet():
    routers = {}
    first, second, third = (Router(name, routers) for name in 'abc')
    everyone = (first, second, third)
    for router in everyone:
        router.sharing.discovery.meet(each.hello for each in everyone)
    run(everyone, 0, 1)
    return everyone


def run(everyone, start, end):
    steps = int((end - start) / 0.05)
    for step in range(steps):
        now = start + step * 0.05
        for router in everyone:
            router.sharing.tick(now)
        for router in everyone:
            router.read(now)


def test_routers_see_each_other_and_who_is_gone(fleet):
    first, _, third = fleet
    assert len(first.sharing.peers.live_peers(1)) == 2
    third.bus.is_cut = True
    run(fleet, 1, 5)
    assert len(first.sharing.peers.live_peers(5)) == 1


def test_a_cut_does_not_multiply_the_budget_of_second_sends(fleet):
    """Each side of a cut still leaves the other side its share."""
    first, _, third = fleet
    third.bus.is_cut = True
    run(fleet, 1, 5)
    assert first.sharing.router_count() == 3
    first.sharing.discovery.forget_gone([first.hello], 5)
    assert first.sharing.router_count() == 2


def test_a_router_that_starts_knows_its_share_before_it_hears_anyone():
    routers = {}
    new, other = Router('new', routers), Router('other', routers)
    new.sharing.discovery.meet([other.hello])
    assert new.sharing.router_count() == 2


def test_loads_of_others_are_summed_and_end_with_them(fleet):
    first, second, third = fleet
    engine = wire_id('engine')
    second.sharing.own_calls.add(engine, 2)
    third.sharing.own_calls.add(engine, 3)
    run(fleet, 1, 2)
    assert first.knowledge.peer_calls.outstanding(engine) == 5
    third.bus.is_cut = True
    run(fleet, 2, 6)
    assert first.knowledge.peer_calls.outstanding(engine) == 2


def test_a_lost_update_is_made_up_for(fleet):
    first, second, _ = fleet
    engine = wire_id('engine')
    second.bus.is_cut = True
    second.sharing.own_calls.add(engine, 2)
    run(fleet, 1, 1.5)
    second.bus.is_cut = False
    run(fleet, 1.5, 5)
    assert first.knowledge.peer_calls.outstanding(engine) == 2


def test_a_new_prompt_is_told_within_a_tenth_of_a_second(fleet):
    first, second, _ = fleet
    second.sharing.record_prompt_sent(wire_id('engine'), (PART,))
    run(fleet, 1, 1.1)
    assert first.knowledge.cache_index.missing_tokens('engine', (PART,), 1) == 0


def test_a_router_that_starts_learns_the_caches_from_a_peer(fleet):
    first, second, _ = fleet
    second.knowledge.cache_index.record_use('engine', (PART,), 1)
    second.sharing.prompt_caches_known.set()
    first.sharing.request_caches(1)
    run(fleet, 1, 1.2)
    assert first.sharing.prompt_caches_known.is_set()
    assert first.knowledge.cache_index.missing_tokens('engine', (PART,), 1) == 0


def test_a_router_without_the_store_follows_its_peers(fleet):
    """The store turns one router away while it serves the others."""
    first, second, third = fleet
    for router in (second, third):
        router.directory.apply_changes(
            Changes((Entry('table', b'2', 5),), (('t/engine', 6),), 6),
            1,
        )
    run(fleet, 1, 3)
    assert first.directory.table.version == 2
    assert not first.directory.available_targets('s')


def test_a_request_that_loses_targets_is_known_everywhere(fleet):
    first, second, _ = fleet
    verdict = second.knowledge.quarantine.record_loss(9, 1, 1, 30)
    second.sharing.share_crash_records(verdict)
    run(fleet, 1, 1.2)
    assert first.knowledge.quarantine.is_suspect(9, 2)


@given(st.binary(max_size=200))
def test_garbage_is_counted_and_passed_over(content):
    router = Router('x', {})
    router.sharing.receive(content, 0, 0)
    assert router.sharing.router_count() == 1


def test_an_update_stays_small():
    """A tenth of a second of a busy router, against 2 KB a second."""
    update = RouterUpdate(
        1, 1000, 2**32 - 1, outstanding_calls=((2**32 - 1, 12),) * 3
    )
    assert len(encode_frame(update)) < 60
    assert decode_frame(encode_frame(update)) == update
