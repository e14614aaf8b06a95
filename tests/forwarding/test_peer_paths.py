"""Tests of the choice of the router that takes over a request."""

from collections import Counter

import msgspec
import pytest

from peridotwell.fleet.transport.frames import Hello, RouterUpdate
from peridotwell.fleet.transport.peers import Peers, make_hello
from peridotwell.forwarding.peer_paths import (
    MAX_ROUTERS_ASKED,
    UNABLE_SECONDS,
    PeerPaths,
)


def hello(name, handover='10.0.0.9:1'):
    return make_hello(name, 'a', '10.0.0.9:2', '', 1, 0, handover)


def update(router, *, is_leaving=False):
    return RouterUpdate(
        router.sender, 1, 1, is_leaving, True, (), (), (), (), 0, 0, (), ()
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
    choice = paths.choose(request_id, tried, now)
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
        msgspec.msgpack.encode(fields[:-1]), type=Hello
    )
    assert decoded.handover_address == ''
    assert decoded.name == 'r'
