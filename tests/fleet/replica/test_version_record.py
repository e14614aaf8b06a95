"""Tests of the record of the software versions that have served."""

from contextlib import suppress

import pytest

from peridotwell.errors import StoreResponseLost
from peridotwell.fleet.replica.version_record import (
    LEASE_SECONDS,
    RENEWAL_SECONDS,
    START_SECONDS,
    VERSIONS_KEY,
    VersionRecordWriter,
    decode_versions,
)
from peridotwell.fleet.transport.peers import Peers, make_hello
from peridotwell.policy.service_versions import MEMORY_SECONDS, ServiceVersions
from standins.memory_store import MemoryStore
from tests.store.fakes import Fault, FaultyStore

MODEL = 'model'
# Longer than a store that keeps its entries is away.
OUTAGE_SECONDS = 240
OLD, NEW = 1, 2


class Writer:
    """A router that may write the record, with its view of the store."""

    def __init__(self, name, store):
        self.store = store
        self.peers = Peers(make_hello(name, 'a', name, '', 1), 2)
        self.versions = ServiceVersions()
        self.writer = VersionRecordWriter(store, self.peers, self.versions)

    def serve(self, *versions, now):
        self.versions.set_serving({MODEL: frozenset(versions)}, now)

    async def update(self, now):
        self.store.now = now
        if self.writer.is_due(now):
            known = self.store.memory.read(VERSIONS_KEY, now)
            await self.writer.update([MODEL], known, 10**9, now)

    def recorded(self, now):
        entry = self.store.memory.read(VERSIONS_KEY, now)
        return decode_versions(entry.value)[MODEL] if entry else None


@pytest.fixture
def store():
    return FaultyStore(MemoryStore())


@pytest.fixture
async def writer(store):
    started = Writer('r1', store)
    started.serve(OLD, now=0)
    await started.update(0)
    await started.update(START_SECONDS)
    return started


async def test_record_names_versions_for_as_long_as_their_streams_last(writer):
    assert writer.recorded(3) == {OLD}
    writer.serve(OLD, NEW, now=4)
    await writer.update(4)
    assert writer.recorded(4) == {OLD, NEW}
    writer.serve(NEW, now=10)
    await writer.update(9 + MEMORY_SECONDS)
    assert writer.recorded(9 + MEMORY_SECONDS) == {OLD, NEW}
    await writer.update(11 + MEMORY_SECONDS)
    assert writer.recorded(11 + MEMORY_SECONDS) == {NEW}


async def test_record_outlasts_the_streams_of_its_writer(writer):
    assert writer.recorded(START_SECONDS + MEMORY_SECONDS) == {OLD}
    assert writer.recorded(START_SECONDS + LEASE_SECONDS + 1) is None


# Guards against streams with events of two versions when all routers start
# after an outage of the store in which nobody could renew the lease.
async def test_record_outlasts_an_outage_of_the_store(writer):
    renewed_at = RENEWAL_SECONDS + START_SECONDS
    await writer.update(renewed_at)
    assert writer.recorded(renewed_at + OUTAGE_SECONDS) == {OLD}


async def test_a_record_that_is_up_to_date_costs_one_renewal_at_a_time(writer):
    before = writer.store.calls
    for tenths in range(30, 30 + 20 * int(RENEWAL_SECONDS)):
        await writer.update(tenths / 10)
    assert writer.store.calls - before == 2
    assert writer.recorded(LEASE_SECONDS + RENEWAL_SECONDS) == {OLD}


# Guards against a record that ends with the lease of a router that is gone.
async def test_another_router_writes_the_record_under_its_own_lease(
    writer, store
):
    other = Writer('r2', store)
    other.serve(OLD, now=0)
    for second in range(30, 40):
        await other.update(second)
    assert other.recorded(START_SECONDS + LEASE_SECONDS + 5) == {OLD}


# Guards against two routers that replace each other's record without end,
# because they do not hear each other.
async def test_two_writers_write_seldom(writer, store):
    other = Writer('r2', store)
    other.serve(NEW, now=0)
    before = store.memory.read(VERSIONS_KEY, 3).revision
    for tenths in range(30, 630, 5):
        await writer.update(tenths / 10)
        await other.update(tenths / 10)
    assert store.memory.read(VERSIONS_KEY, 63).revision - before <= 8


async def test_record_is_written_again_after_its_lease_has_ended(writer):
    late = START_SECONDS + LEASE_SECONDS + 1
    await writer.update(late)
    await writer.update(late + 1)
    assert writer.recorded(late + 1) == {OLD}


async def test_a_lost_response_leaves_a_record_under_a_lease(store):
    writer = Writer('r1', store)
    writer.serve(OLD, now=0)
    await writer.update(0)
    store.script.extend([Fault.none, Fault.lost_after])
    for second in range(3, 60):
        with suppress(StoreResponseLost):
            await writer.update(second)
    assert writer.recorded(60 + MEMORY_SECONDS) == {OLD}


# Guards against a record that names only some of the versions.
async def test_versions_that_only_others_know_leave_a_service_out(store):
    writer = Writer('r1', store)
    writer.serve(NEW, now=0)
    writer.versions.record_mixed(MODEL, 20, 0)
    await writer.update(0)
    await writer.update(START_SECONDS)
    assert writer.recorded(START_SECONDS) is None


@pytest.mark.parametrize(
    'content',
    [b'', b'[]', b'{"m": "x"}', b'{"m": [1.5]}', b'\xff', b'[' * 9999],
)
def test_a_record_that_cannot_be_read_is_none(content):
    assert decode_versions(content) is None
