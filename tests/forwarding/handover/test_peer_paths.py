"""Tests of the choice of the router that takes over a request."""

from collections import Counter

import msgspec
import pytest

from peridotwell.fleet.transport.frames import Hello, RouterUpdate
from peridotwell.fleet.transport.peers import Peers, make_hello
from peridotwell.forwarding.handover.peer_paths import (
    MAX_ROUTERS_ASKED,
    UNABLE_SECONDS,
    PeerPaths,
)

TARGETS = (11, 12, 13, 14)


def hello(name, handover='10.0.0.9:1'):
    return make_hello(name, 'a', '10.0.0.9:2', '', 1, 0, handover)


def update(router, *, is_leaving=False, sequence=1, unreachable=()):
    return RouterUpdate(
        router.sender,
        1,
        sequence,
        is_leaving,
        True,
        unreachable_targets=unreachable,
    )


@pytest.fixture
def peers():
    known = Peers(hello('own'), dead_after_seconds=2)
    for number in range(6):
        router = hello(f'r{number}')
        known.add(router)
        known.record_update(update(router), 0)
    return known


def chosen(paths, request_id, tried=(), now=0.0):
    choice = paths.choose(request_id, tried, now, TARGETS)
    return choice and choice.target.name


def test_requests_are_spread_over_all_routers(peers):
    paths = PeerPaths(peers)
    counts = Counter(chosen(paths, f'id-{n}') for n in range(600))
    assert len(counts) == 6
    assert max(counts.values()) < 2 * min(counts.values())


def test_a_router_that_is_unable_is_not_asked_for_a_time(peers):
    paths = PeerPaths(peers)
    first = chosen(paths, 'id')
    paths.record_unable(first, 0)
    assert chosen(paths, 'id', now=UNABLE_SECONDS / 2) != first
    assert chosen(paths, 'id', now=UNABLE_SECONDS) == first


def test_few_routers_are_asked_for_one_request(peers):
    paths = PeerPaths(peers)
    tried = []
    while (name := chosen(paths, 'id', tried)) is not None:
        assert name not in tried
        tried.append(name)
    assert len(tried) == MAX_ROUTERS_ASKED


# Guards against bodies at routers outside the regions of a request.
def test_only_routers_in_allowed_data_centres_are_asked(peers):
    far = make_hello('far', 'b', '10.0.0.9:2', '', 1, 0, '10.0.0.9:1')
    peers.add(far)
    peers.record_update(update(far), 0)
    names = {
        PeerPaths(peers)
        .choose(f'id-{number}', (), 0, TARGETS, 'b'.__eq__)
        .target.name
        for number in range(20)
    }
    assert names == {'far'}


# Guards against a hop that is spent on being told that there is no path.
def test_a_router_that_has_told_that_it_reaches_none_is_not_asked(peers):
    for peer in peers.known_peers():
        peers.record_update(
            update(peer.hello, sequence=2, unreachable=TARGETS), 0
        )
    assert chosen(PeerPaths(peers), 'id') is None


def test_routers_that_reach_half_of_the_targets_are_preferred(peers):
    *worse, better = peers.known_peers()
    for peer in worse:
        peers.record_update(
            update(peer.hello, sequence=2, unreachable=TARGETS[:3]), 0
        )
    paths = PeerPaths(peers)
    names = {chosen(paths, f'id-{n}') for n in range(50)}
    assert names == {better.hello.name}
    paths.record_unable(better.hello.name, 0)
    assert chosen(paths, 'id') in {peer.hello.name for peer in worse}


def test_an_update_without_reach_leaves_it_as_it_was(peers):
    peer, *_ = peers.known_peers()
    peers.record_update(update(peer.hello, sequence=2, unreachable=(11,)), 0)
    peers.record_update(update(peer.hello, sequence=3, unreachable=None), 0)
    assert peer.unreachable_targets == {11}
    peers.record_update(update(peer.hello, sequence=4), 0)
    assert not peer.unreachable_targets


def test_routers_that_leave_are_silent_or_older_are_not_asked():
    known = Peers(hello('own'), dead_after_seconds=2)
    older, leaving, silent = hello('old', ''), hello('leaving'), hello('silent')
    for router in (older, leaving, silent):
        known.add(router)
    known.record_update(update(older), 5)
    known.record_update(update(leaving, is_leaving=True), 5)
    known.record_update(update(silent), 1)
    assert chosen(PeerPaths(known), 'id', now=5) is None


def test_an_older_hello_has_no_address_for_handovers():
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(hello('r')))
    decoded = msgspec.msgpack.decode(
        msgspec.msgpack.encode(fields[: fields.index('10.0.0.9:1')]),
        type=Hello,
    )
    assert decoded.handover_address == ''
    assert decoded.name == 'r'
