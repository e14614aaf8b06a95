"""The simulated engine: priorities, prefix cache, fencing and cache events."""

import pytest
import trio

from standins.batch_slots import BatchSlots
from standins.cluster import LocalCluster


@pytest.fixture(scope='module')
def cluster_and_engine():
    with LocalCluster() as cluster:
        yield cluster, cluster.start_engine('e1', '--cache_tokens=12')


async def test_slots_are_granted_by_priority_also_after_a_cancellation(
    autojump_clock,
):
    batch = BatchSlots(1)
    granted_priorities = []

    async def hold_slot(priority):
        async with batch.slot(priority):
            granted_priorities.append(priority)
            await trio.sleep(1)

    async with trio.open_nursery() as nursery:
        for priority in (5, 9, 0, 3):
            nursery.start_soon(hold_slot, priority)
            await trio.testing.wait_all_tasks_blocked()
        with trio.move_on_after(0.5):
            await hold_slot(1)
    assert granted_priorities == [5, 0, 3, 9]
    async with batch.slot(1):
        assert not batch._free


@pytest.mark.parametrize(
    ('ignores_fencing', 'statuses'), [(False, [200, 409]), (True, [200, 200])]
)
def test_outdated_fencing_number_is_refused_unless_ignored(
    cluster_and_engine, ignores_fencing, statuses
):
    cluster, engine = cluster_and_engine
    cluster.set_faults(engine, ignore_fencing=ignores_fencing)
    replies = [
        cluster.post(engine.address, '/orders', {'fence': fence, 'load': 'ink'})
        for fence in (7, 6)
    ]
    cluster.set_faults(engine)
    assert [reply.status for reply in replies] == statuses


def test_prefix_cache_is_limited_and_cache_events_can_be_dropped(
    cluster_and_engine,
):
    cluster, engine = cluster_and_engine
    cluster.set_faults(engine, drop_every_event=2, once=False)
    cached = [
        int(cluster.chat(engine, text, stream=False).headers['x-cached-tokens'])
        for text in ('a b c', 'a b c', 'd e f', 'g h i', 'j k l', 'a b c')
    ]
    cluster.set_faults(engine)
    assert cached == [0, 4, 0, 0, 0, 0]
    events = cluster.get(engine.address, '/cache-events').json()
    event_numbers = [event['seq'] for event in events]
    assert {event['kind'] for event in events} <= {'stored', 'removed'}
    assert event_numbers != list(range(1, len(event_numbers) + 1))
    cluster.set_faults(engine, event_lag_seconds=60, once=False)
    assert cluster.get(engine.address, '/cache-events').json() == []
