"""A fleet of sixty routers in three data centres, over a bus in memory.

The load is that of a large site: every router places several requests a
second, and all of them must know of it soon.
"""

import pytest

from peridotwell.domain.target import wire_id
from peridotwell.policy.prompt_cache_index import CachedPart
from peridotwell.store.base import Entry
from peridotwell.store.change_feed import Changes
from tests.fleet.test_update_exchange import Router, run

PART = CachedPart(7, 900)
ENGINE = wire_id('engine')
SIZE = 60


@pytest.fixture
def fleet():
    routers = {}
    everyone = [Router(f'r{n}', routers, 'abc'[n % 3]) for n in range(SIZE)]
    for router in everyone:
        router.sharing.discovery.meet(each.hello for each in everyone)
        router.inbox.clear()
    run(everyone, 0, 4)
    return everyone


def relays(fleet, now):
    return [
        each
        for each in fleet
        if each.sharing.relay_protocol.must_follow_store(now)
    ]


def counts(fleet):
    return {each.knowledge.peer_calls.outstanding(ENGINE) for each in fleet}


def hear_from_the_store(fleet, now):
    for router in fleet:
        router.directory.store_answered_at = now


def test_all_know_all_as_live(fleet):
    assert {len(each.sharing.peers.live_peers(4)) for each in fleet} == {
        SIZE - 1
    }


def test_counts_and_prompts_are_known_everywhere_in_half_a_second(fleet):
    for router in fleet[1:]:
        router.sharing.own_calls.add(ENGINE, 1)
    fleet[0].sharing.record_prompt_sent(ENGINE, (PART,))
    run(fleet, 4, 4.5)
    assert counts(fleet[1:]) == {SIZE - 2}
    missing = {
        each.knowledge.cache_index.missing_tokens('engine', (PART,), 4.5)
        for each in fleet[1:]
    }
    assert missing == {0}


def test_frames_of_a_router_do_not_grow_with_the_fleet(fleet):
    """Each told every other before: 59 frames an update."""
    before = {each: each.bus.sent_frames for each in fleet}
    for step in range(50):
        for router in fleet:
            router.sharing.record_prompt_sent(ENGINE, (CachedPart(step, 5),))
        run(fleet, 4 + step * 0.1, 4.1 + step * 0.1)
    sent = sorted(each.bus.sent_frames - before[each] for each in fleet)
    assert sent[SIZE * 9 // 10] <= 5 * 20
    assert sent[-1] <= 5 * 10 * (SIZE / 3 + 4)


def test_one_router_a_data_centre_follows_the_store(fleet):
    hear_from_the_store(fleet, 4)
    run(fleet, 4, 5)
    following = relays(fleet, 5)
    found = [each.hello.data_centre for each in following]
    assert sorted(found) == ['a', 'b', 'c']


def test_the_others_learn_the_stores_changes_from_it(fleet):
    hear_from_the_store(fleet, 4)
    run(fleet, 4, 5)
    change = Changes((Entry('table', b'2', 5),), (('t/engine', 6),), 6)
    for router in relays(fleet, 5):
        router.directory.apply_changes(change, 5)
    run(fleet, 5, 5.4)
    assert {each.directory.table.version for each in fleet} == {2}
    assert not any(each.directory.available_targets('s') for each in fleet)


def test_a_relay_without_the_store_is_not_relied_on(fleet):
    """The store turns some machines away, relays among them."""
    hear_from_the_store(fleet, 4)
    run(fleet, 4, 9)
    assert len(relays(fleet, 9)) == SIZE


def test_a_router_that_the_store_turns_away_is_behind_for_a_second(fleet):
    """A change too large for bundles; found on a large site's day."""
    hear_from_the_store(fleet, 4)
    run(fleet, 4, 5)
    change = Changes((Entry('table', b'2'.zfill(4100), 5),), (), 5)
    for router in relays(fleet, 5):
        router.directory.apply_changes(change, 5)
    run(fleet, 5, 6)
    assert len({each.directory.table.version for each in fleet}) == 1


def test_a_relay_that_is_killed_is_replaced_in_a_second(fleet):
    hear_from_the_store(fleet, 4)
    run(fleet, 4, 5)
    gone = relays(fleet, 5)[0]
    rest = [each for each in fleet if each is not gone]
    gone.bus.is_cut = True
    run(rest, 5, 6)
    rest[0].sharing.own_calls.add(ENGINE, 3)
    run(rest, 6, 7)
    assert counts(rest[1:]) == {3}


def test_relays_that_are_killed_together_are_replaced(fleet):
    hear_from_the_store(fleet, 4)
    run(fleet, 4, 5)
    gone = relays(fleet, 5)
    rest = [each for each in fleet if each not in gone]
    for router in gone:
        router.bus.is_cut = True
    run(rest, 5, 7)
    rest[0].sharing.own_calls.add(ENGINE, 3)
    run(rest, 7, 8)
    assert counts(rest[1:]) == {3}


def test_a_data_centre_that_is_cut_off_goes_on_by_itself(fleet):
    inside = [each for each in fleet if each.hello.data_centre == 'a']
    outside = [each for each in fleet if each not in inside]
    for router in inside:
        router.bus.cut_from = frozenset(each.hello.name for each in outside)
    for router in outside:
        router.bus.cut_from = frozenset(each.hello.name for each in inside)
    for router in fleet:
        router.sharing.own_calls.add(ENGINE, 1)
    run(fleet, 4, 9)
    assert counts(inside) == {len(inside) - 1}
    assert counts(outside) == {len(outside) - 1}
    for router in fleet:
        router.bus.cut_from = frozenset()
    run(fleet, 9, 16)
    assert counts(fleet) == {SIZE - 1}


def test_a_request_that_loses_targets_is_known_everywhere(fleet):
    verdict = fleet[5].knowledge.quarantine.record_loss(9, 1, 4, 30)
    fleet[5].sharing.share_crash_records(verdict)
    run(fleet, 4, 4.6)
    assert all(each.knowledge.quarantine.is_suspect(9, 5) for each in fleet)
