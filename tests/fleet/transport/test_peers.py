"""Tests of which routers are live."""

import random

import pytest

from peridotwell.fleet.transport.frames import RouterUpdate
from peridotwell.fleet.transport.peers import Peers, make_hello

DEAD_AFTER_SECONDS = 2
NAMES = ('a', 'b', 'c', 'd')


def hello(name, incarnation=1):
    return make_hello(name, 'north', name, '', incarnation)


def update(name, sequence):
    return RouterUpdate(hello(name).sender, 1, sequence)


def happen(peers, random_events, number, now):
    """Let one router be added, restart, be removed or send an update."""
    name = random_events.choice(NAMES)
    match random_events.choice(('update', 'update', 'add', 'remove')):
        case 'add':
            peers.add(hello(name, number))
        case 'remove':
            peers.remove(hello(name).sender)
        case 'update':
            peers.record_update(update(name, number), now)


# Each tick of a router looked at every other router.
@pytest.mark.parametrize('seed', range(5))
def test_live_ids_are_those_of_the_live_peers(seed):
    random_events = random.Random(seed)
    peers = Peers(hello('own'), DEAD_AFTER_SECONDS)
    for name in NAMES:
        peers.add(hello(name))
    now = 10
    for number in range(2, 500):
        now += random_events.choice((0, 0.1, 0.5, 2))
        happen(peers, random_events, number, now)
        live = {peer.wire_id for peer in peers.live_peers(now)}
        assert peers.live_ids(now) == live


def test_changes_of_membership_are_counted_and_updates_are_not():
    peers = Peers(hello('own'), DEAD_AFTER_SECONDS)
    counts = [peers.membership_changes]
    for change in (
        lambda: peers.add(hello('a')),
        lambda: peers.add(hello('a', 2)),
        lambda: peers.record_update(
            RouterUpdate(hello('a').sender, 1, 1, is_leaving=True), 10
        ),
        lambda: peers.remove(hello('a').sender),
    ):
        change()
        counts.append(peers.membership_changes)
    assert counts == [0, 1, 2, 3, 4]
    peers.add(hello('b'))
    for sequence in range(1, 5):
        peers.record_update(update('b', sequence), 10)
    peers.remove(hello('a').sender)
    assert peers.membership_changes == 5


def test_a_router_is_live_until_the_end_of_its_time():
    peers = Peers(hello('own'), DEAD_AFTER_SECONDS)
    peers.add(hello('a'))
    peers.record_update(update('a', 1), 10)
    assert peers.live_ids(12) == {hello('a').sender}
    assert not peers.live_ids(12.01)
    peers.record_update(update('a', 2), 13)
    assert peers.live_ids(13) == {hello('a').sender}
