"""Tests of relays among sixty routers in three data centres.

The routers exchange frames in memory. The load is that of a large
deployment: every router places several requests a second, and all other
routers must learn of them soon.
"""

import random
from collections import deque

import msgspec
import pytest
import trio
import trio.testing

from peridotwell.domain.target import wire_id
from peridotwell.fleet.replica.store_belief import Evidence, EvidenceSource
from peridotwell.fleet.transport.frames import RouterUpdate, StoreChanges
from peridotwell.policy.placement.prompt_cache_index import CachedPart
from peridotwell.store.base import Entry
from peridotwell.store.change_feed import Changes
from tests.fleet.relays.test_update_exchange import Router, run_ticks

PART = CachedPart(7, 900)
ENGINE = wire_id('engine')
ROUTER_COUNT = 60
LARGE_TABLE_BYTES = 4100
LATE_TURN_SECONDS = 0.35
TICK_SECONDS = 0.05
STOOD_STILL_STEPS = 60
REPORTING_TARGETS = 94
REPORT_BYTES = 250
LISTED_REVISION = 10
STORM_REVISION = 200


@pytest.fixture
def fleet():
    by_address = {}
    routers = [
        Router(f'r{n}', by_address, 'abc'[n % 3]) for n in range(ROUTER_COUNT)
    ]
    for router in routers:
        router.sharing.discovery.add_peers(each.hello for each in routers)
        router.inbox.clear()
    run_ticks(routers, 0, 4)
    return routers


def routers_following_store(fleet, now):
    """Return the routers that must follow the store themselves."""
    return [
        each
        for each in fleet
        if each.sharing.relay_protocol.must_follow_store(now)
    ]


def fleet_call_counts(fleet):
    """Return the distinct counts of other routers' requests on the engine."""
    return {each.knowledge.peer_requests.outstanding(ENGINE) for each in fleet}


def mark_store_answered(fleet, now, age=0):
    """Let each router assume that the store responded to it at `now`.

    The call was sent `age` seconds before.
    """
    for router in fleet:
        directory = router.directory
        directory.store_contact.record_answer(now)
        directory.belief.record(
            Evidence(now - age, directory.known_revision, EvidenceSource.watch),
            now,
        )


def test_every_router_considers_all_others_live(fleet):
    assert {len(each.sharing.peers.live_peers(4)) for each in fleet} == {
        ROUTER_COUNT - 1
    }


def test_call_counts_and_prompts_reach_all_routers_within_half_a_second(fleet):
    for router in fleet[1:]:
        router.sharing.own_requests.add(ENGINE, 1)
    fleet[0].sharing.record_prompt_sent(ENGINE, (PART,))
    run_ticks(fleet, 4, 4.5)
    assert fleet_call_counts(fleet[1:]) == {ROUTER_COUNT - 2}
    missing = {
        each.knowledge.cache_index.missing_tokens('engine', (PART,), 4.5)
        for each in fleet[1:]
    }
    assert missing == {0}


def test_frames_sent_by_a_router_do_not_grow_with_the_fleet(fleet):
    """Without relays, a router sent 59 frames for each update."""
    before = {each: each.transport.sent_frames for each in fleet}
    for step in range(50):
        for router in fleet:
            router.sharing.record_prompt_sent(ENGINE, (CachedPart(step, 5),))
        run_ticks(fleet, 4 + step * 0.1, 4.1 + step * 0.1)
    sent = sorted(each.transport.sent_frames - before[each] for each in fleet)
    assert sent[ROUTER_COUNT * 9 // 10] <= 5 * 20
    assert sent[-1] <= 5 * 10 * (ROUTER_COUNT / 3 + 4)


def test_one_router_per_data_centre_follows_the_store(fleet):
    mark_store_answered(fleet, 4)
    run_ticks(fleet, 4, 5)
    followers = routers_following_store(fleet, 5)
    data_centres = [each.hello.data_centre for each in followers]
    assert sorted(data_centres) == ['a', 'b', 'c']


def test_relays_forward_store_changes_to_the_other_routers(fleet):
    mark_store_answered(fleet, 4)
    run_ticks(fleet, 4, 5)
    change = Changes((Entry('table', b'2', 5),), (('t/engine', 6),), 6)
    for router in routers_following_store(fleet, 5):
        router.directory.apply_changes(change, 5)
    run_ticks(fleet, 5, 5.4)
    assert {each.directory.table.version for each in fleet} == {2}
    assert not any(each.directory.available_targets('s') for each in fleet)


def test_all_routers_follow_the_store_when_relays_lose_it(fleet):
    """The store refuses some instances, which may include relays."""
    mark_store_answered(fleet, 4)
    run_ticks(fleet, 4, 9)
    assert len(routers_following_store(fleet, 9)) == ROUTER_COUNT


# Guards against a group that goes by an old configuration, because its relay is
# too busy to read in time what the store answers.
def test_all_routers_follow_the_store_when_relays_read_it_late(fleet):
    mark_store_answered(fleet, 4)
    run_ticks(fleet, 4, 5)
    relays = routers_following_store(fleet, 5)
    others = [each for each in fleet if each not in relays]
    for step in range(12):
        now = 5 + step * LATE_TURN_SECONDS
        for relay in relays:
            relay.receive_frames(now)
            mark_store_answered([relay], now, age=2)
            relay.sharing.tick(now)
        run_ticks(others, now, now + LATE_TURN_SECONDS)
    assert len(routers_following_store(fleet, now)) == ROUTER_COUNT


# Guards against a router that goes by an old configuration after it stood
# still: batches that had waited unread were taken for what its relay knows now.
@pytest.mark.parametrize('steps', range(20))
def test_batches_that_waited_unread_show_no_recent_knowledge(fleet, steps):
    mark_store_answered(fleet, 4)
    run_ticks(fleet, 4, 5)
    relays = routers_following_store(fleet, 5)
    member = next(each for each in fleet if each not in relays)
    others = [each for each in fleet if each is not member]
    for step in range(STOOD_STILL_STEPS + steps):
        now = 5 + step * TICK_SECONDS
        mark_store_answered(relays, now)
        running = fleet if step < steps else others
        run_ticks(running, now, now + TICK_SECONDS * 1.2)
    known_until = member.directory.belief.evidence.known_until
    member.sharing.tick(now)
    assert member.inbox
    member.receive_frames(now)
    assert member.directory.belief.evidence.known_until == known_until


def test_large_store_change_reaches_all_routers_within_a_second(fleet):
    """The change is too large for an update batch of a relay.

    This failed during a day's run of a large deployment.
    """
    mark_store_answered(fleet, 4)
    run_ticks(fleet, 4, 5)
    change = Changes((Entry('table', b'2'.zfill(4100), 5),), (), 5)
    for router in routers_following_store(fleet, 5):
        router.directory.apply_changes(change, 5)
    run_ticks(fleet, 5, 6)
    assert len({each.directory.table.version for each in fleet}) == 1


def apply_to_followers(fleet, content, revision, now):
    """Let the routers that follow the store read a table."""
    followers = routers_following_store(fleet, now)
    change = Changes((Entry('table', content, revision),), (), revision)
    for router in followers:
        router.directory.apply_changes(change, now)
    return followers


def table_versions(fleet):
    return {each.directory.table.version for each in fleet}


@pytest.fixture
def fleet_with_large_table(fleet):
    """All routers know a table of 4,100 bytes; relays follow the store."""
    mark_store_answered(fleet, 4)
    large = Changes((Entry('table', b'1'.zfill(4100), 5),), (), 5)
    for router in fleet:
        router.directory.apply_changes(large, 4)
    run_ticks(fleet, 4, 5)
    return fleet


# Guards against every router reading all entries for each configuration.
def test_change_of_a_large_table_reaches_all_routers_through_relays(
    fleet_with_large_table,
):
    fleet = fleet_with_large_table
    apply_to_followers(fleet, b'2'.zfill(4100), 6, now=5)
    run_ticks(fleet, 5, 5.4)
    assert table_versions(fleet) == {2}


def test_several_changes_of_a_large_table_arrive_in_order(
    fleet_with_large_table,
):
    fleet = fleet_with_large_table
    for number in range(2, 9):
        now = 5 + number * 0.1
        apply_to_followers(fleet, b'%04100d' % number, number + 4, now)
        run_ticks(fleet, now, now + 0.1)
    run_ticks(fleet, 6, 6.3)
    assert table_versions(fleet) == {8}


def test_router_without_the_version_before_reads_the_store(
    fleet_with_large_table,
):
    """A difference of versions 2 and 3 says nothing to one that has 1."""
    fleet = fleet_with_large_table
    members = [
        each for each in fleet if each not in routers_following_store(fleet, 5)
    ]
    missing = members[0]
    missing.inbox.clear()
    apply_to_followers(fleet, b'2'.zfill(4100), 6, now=5)
    missing.transport.routers.pop(missing.hello.name)
    run_ticks(fleet, 5, 5.4)
    missing.transport.routers[missing.hello.name] = missing
    apply_to_followers(fleet, b'3'.zfill(4100), 7, now=5.4)
    run_ticks(fleet, 5.4, 5.6)
    assert missing.directory.table.version == 1
    assert missing.sharing.relay_protocol.must_follow_store(5.6)


def available_targets(fleet):
    return {len(each.directory.available_targets('s')) for each in fleet}


# Guards against targets that leave being used while a large configuration is
# on its way.
def test_news_of_a_leaving_target_does_not_wait_for_a_new_configuration(
    fleet_with_large_table,
):
    """The relays send the configuration after it, in messages of their own."""
    fleet = fleet_with_large_table
    unlike_the_last = random.Random(22).randbytes(LARGE_TABLE_BYTES)
    changes = Changes(
        (
            Entry('table', unlike_the_last, 6),
            Entry('t/engine', b'leaving', 7),
        ),
        (),
        7,
    )
    for router in routers_following_store(fleet, 5):
        router.directory.apply_changes(changes, 5)
    run_ticks(fleet, 5, 5.4)
    assert available_targets(fleet) == {0}
    assert {
        each.directory.replica.entry('table').revision for each in fleet
    } == {6}
    followers = routers_following_store(fleet, 5.4)
    assert len(followers) == len({each.hello.data_centre for each in fleet})


def reports(revision, leaving=-1):
    """Return reports of all targets, as long as those of a deployment."""
    states = ['ready'] * REPORTING_TARGETS
    if leaving >= 0:
        states[leaving] = 'leaving'
    entries = tuple(
        Entry(
            f't/i-{number}',
            f'{state} 1 {revision} '.encode().ljust(REPORT_BYTES, b'.')
            + state.encode(),
            revision + number,
        )
        for number, state in enumerate(states)
    )
    return Changes(entries, (), revision + REPORTING_TARGETS - 1)


# Guards against requests at targets that leave: among many reports at once, the
# one that says "leaving" is the longest, and was left out of the batch.
@pytest.mark.parametrize('leaving', [0, REPORTING_TARGETS - 1])
def test_news_of_a_leaving_target_does_not_wait_for_many_reports(
    fleet, leaving
):
    mark_store_answered(fleet, 4)
    for router in fleet:
        router.directory.apply_changes(reports(LISTED_REVISION), 4)
    run_ticks(fleet, 4, 5)
    for router in routers_following_store(fleet, 5):
        router.directory.apply_changes(reports(STORM_REVISION, leaving), 5)
    run_ticks(fleet, 5, 5.4)
    name = f'i-{leaving}'
    assert not [
        each for each in fleet if name in each.directory.available_names
    ]


# Guards against requests at an evacuated data centre for the same reason.
def test_news_of_an_evacuation_does_not_wait_for_many_reports(fleet):
    mark_store_answered(fleet, 4)
    run_ticks(fleet, 4, 5)
    storm = reports(STORM_REVISION)
    evacuation = Entry('e/a', b'{}', storm.revision + 1)
    changes = Changes((*storm.entries, evacuation), (), evacuation.revision)
    for router in routers_following_store(fleet, 5):
        router.directory.apply_changes(changes, 5)
    run_ticks(fleet, 5, 5.4)
    assert available_targets(fleet) == {0}


# Guards against the same for a router that has missed a batch of its relay.
def test_router_that_missed_a_change_learns_that_a_target_leaves(
    fleet_with_large_table,
):
    fleet = fleet_with_large_table
    missing = next(
        each for each in fleet if each not in routers_following_store(fleet, 5)
    )
    apply_to_followers(fleet, b'2'.zfill(4100), 6, now=5)
    missing.transport.routers.pop(missing.hello.name)
    run_ticks(fleet, 5, 5.4)
    missing.transport.routers[missing.hello.name] = missing
    change = Changes((Entry('t/engine', b'leaving', 7),), (), 7)
    for router in routers_following_store(fleet, 5.4):
        router.directory.apply_changes(change, 5.4)
    run_ticks(fleet, 5.4, 5.8)
    assert available_targets(fleet) == {0}
    assert missing.sharing.relay_protocol.must_follow_store(5.8)


class OlderUpdateBatch(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """The batch as versions without patches know it."""

    sender: int
    follows_store: bool
    revision: int
    updates: tuple[RouterUpdate, ...]
    store_changes: StoreChanges | None = None


def test_older_versions_take_no_changes_whose_patches_they_would_miss(
    fleet_with_large_table,
):
    """They would count as up to date without the configuration."""
    fleet = fleet_with_large_table
    relays = apply_to_followers(fleet, b'2'.zfill(4100), 6, now=5)
    for router in fleet:
        router.inbox.clear()
    for relay in relays:
        relay.sharing.tick(5.2)
    frames = [content for router in fleet for content in router.inbox]
    batches = [
        msgspec.msgpack.decode(content, type=OlderUpdateBatch)
        for content in frames
    ]
    assert any(batch.revision == 6 for batch in batches)
    assert not any(batch.store_changes for batch in batches)


def test_routers_that_read_a_large_change_do_not_also_request_it(fleet):
    """On a slow link the store's answer takes 0.7 s, and peers' add to it."""
    mark_store_answered(fleet, 4)
    run_ticks(fleet, 4, 5)
    change = Changes((Entry('table', b'2'.zfill(4100), 5),), (), 5)
    for router in routers_following_store(fleet, 5):
        router.directory.apply_changes(change, 5)
    for router in fleet:
        router.directory.snapshot_requested_at = 5.1
    run_ticks(fleet, 5, 5.8)
    for router in fleet:
        router.directory.snapshot_requested_at = None
        router.directory.apply_changes(change, 5.8)
    run_ticks(fleet, 5.8, 7)
    assert not any(
        each.transport.sent_bytes_by_kind['EntriesPull'] for each in fleet
    )


def test_routers_request_a_change_that_the_store_does_not_send(fleet):
    mark_store_answered(fleet, 4)
    run_ticks(fleet, 4, 5)
    change = Changes((Entry('table', b'2'.zfill(4100), 5),), (), 5)
    for router in routers_following_store(fleet, 5):
        router.directory.apply_changes(change, 5)
    for router in fleet:
        router.directory.snapshot_requested_at = 5.1
    run_ticks(fleet, 5, 6.5)
    assert {each.directory.table.version for each in fleet} == {2}


def test_killed_relay_is_replaced_within_a_second(fleet):
    mark_store_answered(fleet, 4)
    run_ticks(fleet, 4, 5)
    killed = routers_following_store(fleet, 5)[0]
    remaining = [each for each in fleet if each is not killed]
    killed.transport.is_cut = True
    run_ticks(remaining, 5, 6)
    remaining[0].sharing.own_requests.add(ENGINE, 3)
    run_ticks(remaining, 6, 7)
    assert fleet_call_counts(remaining[1:]) == {3}


def test_relays_killed_at_the_same_time_are_replaced(fleet):
    mark_store_answered(fleet, 4)
    run_ticks(fleet, 4, 5)
    killed = routers_following_store(fleet, 5)
    remaining = [each for each in fleet if each not in killed]
    for router in killed:
        router.transport.is_cut = True
    run_ticks(remaining, 5, 7)
    remaining[0].sharing.own_requests.add(ENGINE, 3)
    run_ticks(remaining, 7, 8)
    assert fleet_call_counts(remaining[1:]) == {3}


def test_partitioned_data_centre_keeps_sharing_counts_internally(fleet):
    inside = [each for each in fleet if each.hello.data_centre == 'a']
    outside = [each for each in fleet if each not in inside]
    for router in inside:
        router.transport.cut_from = frozenset(
            each.hello.name for each in outside
        )
    for router in outside:
        router.transport.cut_from = frozenset(
            each.hello.name for each in inside
        )
    for router in fleet:
        router.sharing.own_requests.add(ENGINE, 1)
    run_ticks(fleet, 4, 9)
    assert fleet_call_counts(inside) == {len(inside) - 1}
    assert fleet_call_counts(outside) == {len(outside) - 1}
    for router in fleet:
        router.transport.cut_from = frozenset()
    run_ticks(fleet, 9, 16)
    assert fleet_call_counts(fleet) == {ROUTER_COUNT - 1}


def test_crash_record_reaches_all_routers(fleet):
    crash_record = fleet[5].knowledge.crashed_requests.record_loss(9, 1, 4)
    fleet[5].sharing.crashed_request_sync.share((crash_record,))
    run_ticks(fleet, 4, 4.6)
    for each in fleet:
        assert each.knowledge.crashed_requests.lost_incarnations(9, 5) == {1}


def test_lists_of_caches_reach_all_routers_within_a_second(fleet):
    parts = (PART, CachedPart(8, 400))
    for router in fleet[::10]:
        router.sharing.cache_sync.record_listed(ENGINE, parts, 4)
    run_ticks(fleet, 4, 5)
    missing = {
        each.knowledge.cache_index.missing_tokens('engine', parts, 5)
        for each in fleet[1::10]
    }
    assert missing == {0}


def test_updates_sent_before_the_relay_knows_a_router_do_not_count(fleet):
    """A restarted router would leave its relay for ten seconds."""
    new = fleet[-1]
    others = fleet[:-1]
    for router in others:
        router.sharing.peers.remove(new.hello.sender)
    run_ticks(fleet, 4, 6)
    for router in others:
        router.sharing.discovery.add_peers([new.hello])
    run_ticks(fleet, 6, 6.4)
    assert new.sharing.update_delay.seconds(6.4) <= 0.5


def delay_receiving(router, delay_seconds):
    """Let a router handle frames late, by a function of the time.

    They wait in its queue, in order, as if its processor were short.
    """
    waiting = deque()

    def receive_frames(now):
        waiting.extend((now, frame) for frame in router.inbox)
        router.inbox.clear()
        while waiting and now - waiting[0][0] >= delay_seconds(now):
            router.sharing.receive(waiting.popleft()[1], now)

    router.receive_frames = receive_frames


def growing_delay(now):
    """Return a delay that grows from second 5 on, up to 3.5 s."""
    return min(max(now - 5, 0) * 0.8, 3.5)


# Guards against a router that answers by an older configuration, because the
# batches of its relays wait for seconds and say nothing of their age.
def test_a_router_that_gets_batches_late_follows_the_store_itself(fleet):
    mark_store_answered(fleet, 4)
    run_ticks(fleet, 4, 5)
    followers = routers_following_store(fleet, 5)
    late = next(each for each in fleet if each not in followers)
    delay_receiving(late, growing_delay)
    for step in range(30):
        now = 5 + step * 0.5
        mark_store_answered(followers, now)
        run_ticks(fleet, now, now + 0.5)
        if growing_delay(now) > 1:
            protocol = late.sharing.relay_protocol
            assert protocol.must_follow_store(now + 0.5), now + 0.5


# Guards against a router that goes by an older configuration, because it takes
# what its relay tells for knowledge of now.
def test_a_router_knows_no_more_than_its_relay_did(fleet):
    mark_store_answered(fleet, 4)
    run_ticks(fleet, 4, 5)
    followers = routers_following_store(fleet, 5)
    members = [each for each in fleet if each not in followers]
    mark_store_answered(followers, 5, age=0.7)
    run_ticks(fleet, 5, 5.5)
    for member in members:
        belief = member.directory.belief
        assert belief.logged_source() == 'relay'
        assert belief.evidence.known_until <= 4.3
        assert belief.is_current(5.5)
    run_ticks(fleet, 5.5, 7)
    assert not any(each.directory.belief.is_current(7) for each in fleet)


# Guards against a router whose relay loses the store, and that does not read
# the store itself because it was at rest.
async def test_a_router_at_rest_follows_the_store_once_its_relay_does_not(
    fleet,
):
    mark_store_answered(fleet, 4)
    run_ticks(fleet, 4, 5)
    followers = routers_following_store(fleet, 5)
    member = next(each for each in fleet if each not in followers)
    is_following = trio.Event()

    async def follow():
        await member.sharing.relay_protocol.wait_until_following()
        is_following.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(follow)
        for start in (5, 6):
            await trio.testing.wait_all_tasks_blocked()
            assert not is_following.is_set()
            mark_store_answered(followers, start)
            run_ticks(fleet, start, start + 1)
        for start in (7, 8, 9):
            run_ticks(fleet, start, start + 1)
        await trio.testing.wait_all_tasks_blocked()
        assert is_following.is_set()
