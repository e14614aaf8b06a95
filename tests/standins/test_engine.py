"""The engine stand-in's own contract: priorities, cache, fencing, events."""

import pytest
import trio

from standins.batch_slots import BatchSlots
from standins.cluster import LocalCluster


@pytest.fixture(scope='module')
def engine():
    with LocalCluster() as cluster:
        yield cluster, cluster.start_engine('e1', '--cache_tokens=12')


async def test_slots_go_by_priority_and_survive_cancellation(autojump_clock):
    batch = BatchSlots(1)
    order = []

    async def hold(priority):
        async with batch.slot(priority):
            order.append(priority)
            await trio.sleep(1)

    async with trio.open_nursery() as nursery:
        for priority in (5, 9, 0, 3):
            nursery.start_soon(hold, priority)
            await trio.testing.wait_all_tasks_blocked()
        with trio.move_on_after(0.5):
            await hold(1)
    assert order == [5, 0, 3, 9]
    async with batch.slot(1):
        assert not batch._free


@pytest.mark.parametrize(
    ('ignores', 'statuses'), [(False, [200, 409]), (True, [200, 200])]
)
def test_old_fencing_numbers(engine, ignores, statuses):
    cluster, process = engine
    cluster.set_faults(process, ignore_fencing=ignores)
    replies = [
        cluster.post(
            process.address, '/orders', {'fence': fence, 'load': 'ink'}
        )
        for fence in (7, 6)
    ]
    cluster.set_faults(process)
    assert [reply.status for reply in replies] == statuses


def test_prefix_cache_is_limited_and_its_events_have_gaps(engine):
    cluster, process = engine
    cluster.set_faults(process, drop_every_event=2, once=False)
    cached = [
        int(
            cluster.chat(process, text, stream=False).headers['x-cached-tokens']
        )
        for text in ('a b c', 'a b c', 'd e f', 'g h i', 'j k l', 'a b c')
    ]
    cluster.set_faults(process)
    assert cached == [0, 4, 0, 0, 0, 0]
    events = cluster.get(process.address, '/cache-events').json()
    numbers = [event['seq'] for event in events]
    assert {event['kind'] for event in events} <= {'stored', 'removed'}
    assert numbers != list(range(1, len(numbers) + 1))
    cluster.set_faults(process, event_lag_seconds=60, once=False)
    assert cluster.get(process.address, '/cache-events').json() == []
