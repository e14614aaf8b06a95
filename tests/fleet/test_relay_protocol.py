"""Relays in a fleet of 60 routers in three data centres, in memory.

The load is that of a large site: each router places several requests per
second, and all routers must know of them soon.
"""

import pytest

from peridotwell.domain.target import wire_id
from peridotwell.policy.prompt_cache_index import CachedPart
from peridotwell.store.base import Entry
from peridotwell.store.change_feed import Changes
from tests.fleet.test_update_exchange import Router, run

PART = CachedPart(7, 900)
ENGINE = wire_id('engine')
ROUTER_COUNT = 60


@pytest.fixture
def fleet():
    routers = {}
    all_routers = [
        Router(f'r{n}', routers, 'abc'[n % 3]) for n in range(ROUTER_COUNT)
    ]
    for router in all_routers:
        router.exchange.discovery.meet(each.hello for each in all_routers)
        router.inbox.clear()
    run(all_routers, 0, 4)
    return all_routers


def store_followers(fleet, now):
    return [
        each
        for each in fleet
        if each.exchange.relay_protocol.must_follow_store(now)
    ]


def known_counts(fleet):
    return {each.state.peer_calls.outstanding(ENGINE) for each in fleet}


def record_store_answers(fleet, now):
    for router in fleet:
        router.directory.store_answered_at = now


def test_each_router_knows_all_others_as_live(fleet):
    assert {len(each.exchange.peers.live_peers(4)) for each in fleet} == {
        ROUTER_COUNT - 1
    }


def test_counts_and_prompts_reach_all_routers_within_half_a_second(fleet):
    for router in fleet[1:]:
        router.exchange.own_calls.add(ENGINE, 1)
    fleet[0].exchange.record_prompt_sent(ENGINE, (PART,))
    run(fleet, 4, 4.5)
    assert known_counts(fleet[1:]) == {ROUTER_COUNT - 2}
    missing = {
        each.state.cache_index.missing_tokens('engine', (PART,), 4.5)
        for each in fleet[1:]
    }
    assert missing == {0}


def test_messages_per_router_do_not_grow_with_the_fleet(fleet):
    """Without relays, each router sent 59 messages per update."""
    before = {each: each.transport.sent_frames for each in fleet}
    for step in range(50):
        for router in fleet:
            router.exchange.record_prompt_sent(ENGINE, (CachedPart(step, 5),))
        run(fleet, 4 + step * 0.1, 4.1 + step * 0.1)
    sent = sorted(each.transport.sent_frames - before[each] for each in fleet)
    assert sent[ROUTER_COUNT * 9 // 10] <= 5 * 20
    assert sent[-1] <= 5 * 10 * (ROUTER_COUNT / 3 + 4)


def test_one_router_per_data_centre_follows_the_store(fleet):
    record_store_answers(fleet, 4)
    run(fleet, 4, 5)
    following = store_followers(fleet, 5)
    found = [each.hello.data_centre for each in following]
    assert sorted(found) == ['a', 'b', 'c']


def test_other_routers_get_store_changes_through_relays(fleet):
    record_store_answers(fleet, 4)
    run(fleet, 4, 5)
    change = Changes((Entry('table', b'2', 5),), (('t/engine', 6),), 6)
    for router in store_followers(fleet, 5):
        router.directory.apply_changes(change, 5)
    run(fleet, 5, 5.4)
    assert {each.directory.table.version for each in fleet} == {2}
    assert not any(each.directory.available_targets('s') for each in fleet)


def test_routers_follow_the_store_if_their_relay_does_not(fleet):
    """The store refuses the calls of some instances, relays among them."""
    record_store_answers(fleet, 4)
    run(fleet, 4, 9)
    assert len(store_followers(fleet, 9)) == ROUTER_COUNT


def test_a_router_refused_by_the_store_lags_at_most_a_second(fleet):
    """The change is too large for a batch.

    The fault was found with the day of a large site.
    """
    record_store_answers(fleet, 4)
    run(fleet, 4, 5)
    change = Changes((Entry('table', b'2'.zfill(4100), 5),), (), 5)
    for router in store_followers(fleet, 5):
        router.directory.apply_changes(change, 5)
    run(fleet, 5, 6)
    assert len({each.directory.table.version for each in fleet}) == 1


def test_a_failed_relay_is_replaced_within_a_second(fleet):
    record_store_answers(fleet, 4)
    run(fleet, 4, 5)
    failed = store_followers(fleet, 5)[0]
    rest = [each for each in fleet if each is not failed]
    failed.transport.is_cut = True
    run(rest, 5, 6)
    rest[0].exchange.own_calls.add(ENGINE, 3)
    run(rest, 6, 7)
    assert known_counts(rest[1:]) == {3}


def test_relays_that_fail_together_are_replaced(fleet):
    record_store_answers(fleet, 4)
    run(fleet, 4, 5)
    failed = store_followers(fleet, 5)
    rest = [each for each in fleet if each not in failed]
    for router in failed:
        router.transport.is_cut = True
    run(rest, 5, 7)
    rest[0].exchange.own_calls.add(ENGINE, 3)
    run(rest, 7, 8)
    assert known_counts(rest[1:]) == {3}


def test_a_partitioned_data_centre_keeps_working_and_rejoins(fleet):
    partitioned = [each for each in fleet if each.hello.data_centre == 'a']
    others = [each for each in fleet if each not in partitioned]
    for router in partitioned:
        router.transport.cut_from = frozenset(
            each.hello.name for each in others
        )
    for router in others:
        router.transport.cut_from = frozenset(
            each.hello.name for each in partitioned
        )
    for router in fleet:
        router.exchange.own_calls.add(ENGINE, 1)
    run(fleet, 4, 9)
    assert known_counts(partitioned) == {len(partitioned) - 1}
    assert known_counts(others) == {len(others) - 1}
    for router in fleet:
        router.transport.cut_from = frozenset()
    run(fleet, 9, 16)
    assert known_counts(fleet) == {ROUTER_COUNT - 1}


def test_a_crash_record_reaches_all_routers(fleet):
    crash_record = fleet[5].state.quarantine.record_loss(9, 1, 4, 30)
    fleet[5].exchange.share_crash_records(crash_record)
    run(fleet, 4, 4.6)
    assert all(each.state.quarantine.is_suspect(9, 5) for each in fleet)
