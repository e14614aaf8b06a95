"""Updates between forwarding routers over a transport in memory."""

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
SNAPSHOT = Snapshot(
    (Entry('table', b'1', 1), Entry('t/engine', b'ready', 2)),
    2,
)


class InMemoryTransport(PeerTransport):
    """Delivers immediately to the routers registered in `routers`."""

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
        self.transport = InMemoryTransport(name, routers)
        self.directory = ServiceDirectory(Decoder())
        self.directory.apply_snapshot(SNAPSHOT, 0)
        self.state = ForwardingState(
            self.directory,
            PromptCacheIndex(),
            PeerCounts(),
            PeerCounts(),
            Quarantine(),
        )
        self.exchange = UpdateExchange(
            Peers(self.hello, 2), self.transport, self.state, Metrics('', '')
        )
        routers[name] = self

    def handle_messages(self, now):
        while self.inbox:
            self.exchange.receive(self.inbox.pop(0), now, now)


@pytest.fixture
def fleet():
    routers = {}
    first, second, third = (Router(name, routers) for name in 'abc')
    all_routers = (first, second, third)
    for router in all_routers:
        router.exchange.discovery.meet(each.hello for each in all_routers)
    run(all_routers, 0, 1)
    return all_routers


def run(all_routers, start, end):
    steps = int((end - start) / 0.05)
    for step in range(steps):
        now = start + step * 0.05
        for router in all_routers:
            router.exchange.tick(now)
        for router in all_routers:
            router.handle_messages(now)


def test_routers_know_which_peers_are_live(fleet):
    first, _, third = fleet
    assert len(first.exchange.peers.live_peers(1)) == 2
    third.transport.is_cut = True
    run(fleet, 1, 5)
    assert len(first.exchange.peers.live_peers(5)) == 1


def test_a_partition_does_not_increase_the_retry_budget(fleet):
    """Each side of a partition leaves the other side its share."""
    first, _, third = fleet
    third.transport.is_cut = True
    run(fleet, 1, 5)
    assert first.exchange.router_count() == 3
    first.exchange.discovery.forget_gone([first.hello], 5)
    assert first.exchange.router_count() == 2


def test_a_new_router_counts_registered_peers_before_it_hears_them():
    routers = {}
    new_router, other = Router('new', routers), Router('other', routers)
    new_router.exchange.discovery.meet([other.hello])
    assert new_router.exchange.router_count() == 2


def test_peer_calls_are_summed_and_removed_with_dead_peers(fleet):
    first, second, third = fleet
    engine = wire_id('engine')
    second.exchange.own_calls.add(engine, 2)
    third.exchange.own_calls.add(engine, 3)
    run(fleet, 1, 2)
    assert first.state.peer_calls.outstanding(engine) == 5
    third.transport.is_cut = True
    run(fleet, 2, 6)
    assert first.state.peer_calls.outstanding(engine) == 2


def test_a_lost_update_is_corrected_by_a_full_update(fleet):
    first, second, _ = fleet
    engine = wire_id('engine')
    second.transport.is_cut = True
    second.exchange.own_calls.add(engine, 2)
    run(fleet, 1, 1.5)
    second.transport.is_cut = False
    run(fleet, 1.5, 5)
    assert first.state.peer_calls.outstanding(engine) == 2


def test_a_new_prompt_reaches_peers_within_a_tenth_of_a_second(fleet):
    first, second, _ = fleet
    second.exchange.record_prompt_sent(wire_id('engine'), (PART,))
    run(fleet, 1, 1.1)
    assert first.state.cache_index.missing_tokens('engine', (PART,), 1) == 0


def test_a_new_router_gets_cached_prompts_from_a_peer(fleet):
    first, second, _ = fleet
    second.state.cache_index.record_use('engine', (PART,), 1)
    second.exchange.prompt_caches_known.set()
    first.exchange.request_caches(1)
    run(fleet, 1, 1.2)
    assert first.exchange.prompt_caches_known.is_set()
    assert first.state.cache_index.missing_tokens('engine', (PART,), 1) == 0


def test_a_router_without_the_store_gets_changes_from_peers(fleet):
    """The store refuses the calls of one router and serves the others."""
    first, second, third = fleet
    for router in (second, third):
        router.directory.apply_changes(
            Changes((Entry('table', b'2', 5),), (('t/engine', 6),), 6),
            1,
        )
    run(fleet, 1, 3)
    assert first.directory.table.version == 2
    assert not first.directory.available_targets('s')


def test_a_crash_record_reaches_all_peers(fleet):
    first, second, _ = fleet
    crash_record = second.state.quarantine.record_loss(9, 1, 1, 30)
    second.exchange.share_crash_records(crash_record)
    run(fleet, 1, 1.2)
    assert first.state.quarantine.is_suspect(9, 2)


@given(st.binary(max_size=200))
def test_invalid_content_is_ignored(content):
    router = Router('x', {})
    router.exchange.receive(content, 0, 0)
    assert router.exchange.router_count() == 1


def test_an_update_stays_small():
    """An update of a busy router for 0.1 s; the limit is 2 KB per second."""
    update = RouterUpdate(
        1, 1000, 2**32 - 1, outstanding_calls=((2**32 - 1, 12),) * 3
    )
    assert len(encode_frame(update)) < 60
    assert decode_frame(encode_frame(update)) == update
