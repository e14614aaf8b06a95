"""Calls of the platform's store client, with and without faults."""

import pytest
import trio
from peridotwell_platform.store import PlatformStore

from peridotwell.errors import (
    StoreConflict,
    StoreError,
    StoreResponseLost,
    StoreUnavailable,
)
from peridotwell.serving.asgi import serve_http
from peridotwell.store.change_feed import HistoryGone
from tests.peridotwell_platform.stand_in import StoreStandIn


@pytest.fixture
async def served(nursery):
    stand_in = StoreStandIn()
    address = await nursery.start(serve_http, stand_in.handle, '127.0.0.1:0')
    return stand_in, PlatformStore(address)


async def test_snapshot_reads_all_pages(served):
    stand_in, store = served
    for number in range(8):
        stand_in.put(f'key/{number}', b'%d' % number)
    snapshot = await store.read_snapshot()
    assert [entry.value for entry in snapshot.entries] == [
        b'%d' % number for number in range(8)
    ]
    assert snapshot.revision == stand_in.revision
    assert stand_in.calls == ['kv-range'] * 3


async def test_changes_contain_writes_and_deletions(served):
    stand_in, store = served
    stand_in.put('a', b'1')
    start = stand_in.revision
    stand_in.put('b', b'2')
    stand_in.delete('a')
    changes = await store.wait_for_changes(start, 1)
    assert [(entry.key, entry.value) for entry in changes.entries] == [
        ('b', b'2')
    ]
    assert changes.deleted == (('a', stand_in.revision),)


async def test_watch_without_changes_returns_after_its_wait_time(served):
    stand_in, store = served
    changes = await store.wait_for_changes(stand_in.revision, 0.05)
    assert (changes.entries, changes.deleted) == ((), ())


async def test_dropped_history_raises_history_gone(served):
    stand_in, store = served
    stand_in.put('a', b'1')
    stand_in.drop_history()
    with pytest.raises(HistoryGone):
        await store.wait_for_changes(0, 1)


@pytest.mark.parametrize(
    ('fault', 'error'),
    [
        (429, StoreUnavailable),
        (503, StoreUnavailable),
        (500, StoreError),
        ('garbage', StoreResponseLost),
        ('silent', StoreResponseLost),
    ],
)
@pytest.mark.parametrize(
    'call',
    [
        lambda store: store.read_snapshot(),
        lambda store: store.wait_for_changes(0, 0.05),
        lambda store: store.grant_lease(1),
    ],
)
async def test_each_fault_raises_its_exception(served, fault, error, call):
    stand_in, store = served
    stand_in.faults.append(fault)
    with trio.fail_after(3), pytest.raises(error):
        await call(store)


async def test_refused_connection_raises_store_unavailable():
    with pytest.raises(StoreUnavailable):
        await PlatformStore('127.0.0.1:9').read_snapshot()


async def test_write_fails_unless_its_condition_holds(served):
    _, store = served
    revision = await store.write('a', b'1', expected=0)
    with pytest.raises(StoreConflict):
        await store.write('a', b'2', expected=0)
    assert await store.write('a', b'2', expected=revision) > revision
    assert (await store.read('a')).value == b'2'
    assert await store.read('b') is None


async def test_write_with_a_lost_response_may_have_taken_effect(served):
    stand_in, store = served
    stand_in.faults.append('lost')
    with pytest.raises(StoreResponseLost):
        await store.write('a', b'1', expected=0)
    assert (await store.read('a')).value == b'1'


async def test_entries_are_deleted_with_their_lease(served):
    stand_in, store = served
    lease = await store.grant_lease(1)
    await store.write('a', b'1', expected=0, lease=lease)
    await store.renew_lease(lease)
    stand_in.expire_lease(int(lease))
    with pytest.raises(StoreConflict):
        await store.renew_lease(lease)
    with pytest.raises(StoreConflict):
        await store.write('b', b'1', expected=0, lease=lease)
    assert await store.read('a') is None
