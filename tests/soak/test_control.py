"""Calls to objects of another process, and how late this process is."""

import time
from functools import partial

import pytest
import trio

from tests.soak.control import Remote, Worker, record_lateness
from tests.soak.records import Late


async def test_calls_reach_a_worker_until_it_ends(tmp_path):
    worker = Worker('store', 'store')
    store = Remote(worker, 'host')
    await store.call('configure', 7)
    path = tmp_path / 'records'
    await Remote(worker, 'recorder').call('write', str(path))
    assert b'VersionWritten' in path.read_bytes()
    worker.stop()
    with pytest.raises((EOFError, ValueError)):
        await store.call('configure', 8)


async def test_a_process_records_that_it_was_late(nursery):
    records = []
    nursery.start_soon(partial(record_lateness, records, 'here'))
    await trio.sleep(0.1)
    time.sleep(0.2)  # Holds up all tasks.
    await trio.sleep(0.05)
    assert any(isinstance(each, Late) for each in records)
    assert max(each.seconds for each in records) > 0.1
