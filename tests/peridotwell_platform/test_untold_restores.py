"""Routers whose store comes back from an older copy, and may not say so."""

from functools import partial

import msgspec
import pytest
import trio

from peridotwell.store.revisions import era_of, inferred_restores
from tests.peridotwell_platform import stand_in
from tests.peridotwell_platform.router_setup import (
    LOCALHOST,
    configuration,
    start_router,
    start_store,
    target_entry,
)
from tests.ports import find_free_port

CONFIG = configuration(10, stand_in.route('read', 'idempotent'))
# A change must be in force at all routers this long after its answer.
IN_FORCE_SECONDS = 2.0
# What is missing after a restore may register again for two seconds. What is
# missing then is gone, and must be out of use as soon as any change.
REGISTERED_SECONDS = 2.0 + IN_FORCE_SECONDS
STEP_SECONDS = 0.02
SETTLE_SECONDS = 0.3
AWAY_SECONDS = 1.5
# So short that a router gets two or three answers.
LATE_SECONDS = 0.03
# A copy is some seconds old.
OLD_COPY_SECONDS = 2.1
ROUTERS = 3
TARGETS = ('i-1', 'i-2', 'i-3')
VERSIONS = range(2, 12)
# What the answers tell of a restore.
ROSE, MISSING, CONSTANT = 'rises', 'missing', 'constant'
ERAS = (ROSE, MISSING, CONSTANT)


class Fleet:
    """A store that has gone on since its last copy, and its routers."""

    def __init__(self, nursery, store, address):
        self._nursery = nursery
        self._address = address
        self._reports = 0
        self.store = store
        self.copy = store.copy()
        self.directories = []

    async def start_router(self):
        """Start one more router that knows the others."""
        started = await start_router(
            self._nursery,
            f'r-{len(self.directories)}',
            self._address,
            f'{LOCALHOST}:{find_free_port()}',
        )
        self.directories.append(started.router._components.directory)

    def report(self, name, state='ready', *, born=1):
        """Write the next report of a target."""
        self._reports += 1
        report = {
            **msgspec.json.decode(target_entry('127.0.0.1:9')),
            'state': state,
            'born': born,
            'seq': self._reports,
        }
        self.store.put(f'servers/{name}', msgspec.json.encode(report))

    def configure(self, version, **changes):
        """Write a version of the configuration."""
        document = {**CONFIG, **changes, 'version': version}
        self.store.put('op/config', msgspec.json.encode(document))

    def go_on(self):
        """Write versions and reports that the copy doesn't have."""
        for version in VERSIONS:
            self.configure(version)
            for name in TARGETS:
                self.report(name)

    async def restore(self):
        """Let the store come back from the copy; connections are lost."""
        self.store.restore(self.copy)
        self.store.cut_watches()
        await trio.sleep(SETTLE_SECONDS)

    def version_is(self, version):
        """Return whether a version is in force at all routers."""
        return all(each.table.version == version for each in self.directories)

    def has(self, name):
        """Return whether all routers use a target."""
        return all(name in each.available_names for each in self.directories)

    def has_not(self, name):
        """Return whether no router uses a target."""
        return not any(
            name in each.available_names for each in self.directories
        )


@pytest.fixture(params=ERAS)
async def fleet(request, nursery):
    """Return three routers whose store has gone on since its copy."""
    store, address = await start_store(nursery, CONFIG)
    store.era = None if request.param == MISSING else 1
    store.is_era_rising = request.param == ROSE
    fleet = Fleet(nursery, store, address)
    for name in TARGETS:
        fleet.report(name)
    for _ in range(ROUTERS):
        await fleet.start_router()
    await trio.sleep(SETTLE_SECONDS)
    fleet.copy = store.copy()
    fleet.go_on()
    assert await wait_until(partial(fleet.version_is, VERSIONS[-1]))
    return fleet


async def wait_until(is_in_force, seconds=IN_FORCE_SECONDS):
    with trio.move_on_after(seconds):
        while not is_in_force():
            await trio.sleep(STEP_SECONDS)
    return is_in_force()


# Guards against requests at targets that leave after a restore which the store
# has not told: its revisions were taken for older than what was known.
async def test_a_target_that_leaves_after_a_restore_is_left(fleet):
    await fleet.restore()
    fleet.report('i-2', 'draining')
    assert await wait_until(partial(fleet.has_not, 'i-2'))


async def test_a_target_that_is_deleted_after_a_restore_is_left(fleet):
    await fleet.restore()
    fleet.store.delete('servers/i-3')
    assert await wait_until(partial(fleet.has_not, 'i-3'), REGISTERED_SECONDS)


async def test_a_target_that_registers_after_a_restore_is_used(fleet):
    await fleet.restore()
    fleet.report('i-9')
    assert await wait_until(partial(fleet.has, 'i-9'))


# Guards against an older version in force after such a restore, since the new
# one came at or near a revision that was given out before.
@pytest.mark.parametrize('distance', [-1, 0, 1])
async def test_a_version_near_the_revision_of_the_old_one_is_taken(
    fleet, distance
):
    revision = fleet.store.items['op/config']['rev'] + distance
    await fleet.restore()
    while fleet.store.revision < revision - 1:
        fleet.report('i-1')
    fleet.configure(50)
    assert fleet.store.items['op/config']['rev'] == revision
    assert await wait_until(partial(fleet.version_is, 50))


# Guards against the same at routers that saw no lower revision: the store had
# passed the one they knew before it answered them again.
@pytest.mark.parametrize('is_cut', [True, False])
async def test_changes_up_to_the_known_revision_are_read(fleet, is_cut):
    await trio.sleep(SETTLE_SECONDS if is_cut else OLD_COPY_SECONDS)
    known = fleet.store.revision
    fleet.store.restore(fleet.copy)
    fleet.configure(50)
    fleet.report('i-2', 'draining')
    fleet.store.delete('servers/i-3')
    while fleet.store.revision < known + 3:
        fleet.report('i-1')
    if is_cut:
        fleet.store.cut_watches()
    assert await wait_until(partial(fleet.version_is, 50))
    assert await wait_until(partial(fleet.has_not, 'i-2'))
    assert await wait_until(partial(fleet.has_not, 'i-3'), REGISTERED_SECONDS)


async def test_changes_after_two_restores_are_taken(fleet):
    await fleet.restore()
    fleet.configure(50)
    fleet.report('i-2', 'draining')
    assert await wait_until(partial(fleet.version_is, 50))
    await fleet.restore()
    fleet.configure(60)
    fleet.report('i-3', 'draining')
    assert await wait_until(partial(fleet.version_is, 60))
    assert await wait_until(partial(fleet.has_not, 'i-3'))
    assert fleet.has_not('i-2')


async def test_changes_after_two_restores_at_once_are_taken(fleet):
    fleet.store.restore(fleet.copy)
    fleet.report('i-1')
    await fleet.restore()
    fleet.report('i-3', 'draining')
    fleet.configure(60)
    assert await wait_until(partial(fleet.version_is, 60))
    assert await wait_until(partial(fleet.has_not, 'i-3'))


async def test_a_router_that_starts_meanwhile_takes_changes(fleet):
    await fleet.restore()
    await fleet.start_router()
    fleet.report('i-2', 'draining')
    fleet.configure(50)
    assert await wait_until(partial(fleet.version_is, 50))
    assert await wait_until(partial(fleet.has_not, 'i-2'))


async def test_changes_after_an_outage_and_a_restore_are_taken(fleet):
    fleet.store.faults.extend([503] * 10_000)
    await trio.sleep(AWAY_SECONDS)
    fleet.store.restore(fleet.copy)
    fleet.store.faults.clear()
    fleet.report('i-2', 'draining')
    fleet.configure(50)
    assert await wait_until(partial(fleet.version_is, 50))
    assert await wait_until(partial(fleet.has_not, 'i-2'))


# Guards against what was in force before a restore being undone by it.
async def test_a_restore_undoes_nothing(fleet):
    fleet.report('i-2', 'draining')
    fleet.report('i-9')
    fleet.store.delete('servers/i-3')
    assert await wait_until(partial(fleet.has_not, 'i-2'))
    assert await wait_until(partial(fleet.has, 'i-9'))
    assert await wait_until(partial(fleet.has_not, 'i-3'))
    await fleet.restore()
    fleet.report('i-1')
    with trio.move_on_after(IN_FORCE_SECONDS):
        while True:
            assert fleet.version_is(VERSIONS[-1])
            assert fleet.has_not('i-2')
            assert fleet.has_not('i-3')
            await trio.sleep(STEP_SECONDS)


# Guards against a store that only lags behind being taken for a restored one:
# what was in force must not go back, and what comes later must be taken.
@pytest.mark.parametrize('seconds', [0.3, 2.0, 4.0])
async def test_a_store_that_lags_behind_undoes_nothing(fleet, seconds):
    fleet.report('i-2', 'draining')
    fleet.report('i-9')
    assert await wait_until(partial(fleet.has_not, 'i-2'))
    assert await wait_until(partial(fleet.has, 'i-9'))
    present = fleet.store.copy()
    fleet.store.show(fleet.copy)
    with trio.move_on_after(seconds):
        while True:
            assert fleet.version_is(VERSIONS[-1])
            assert fleet.has_not('i-2')
            assert fleet.has('i-9')
            await trio.sleep(STEP_SECONDS)
    fleet.store.show(present)
    fleet.configure(50)
    fleet.report('i-3', 'draining')
    assert await wait_until(partial(fleet.version_is, 50))
    assert await wait_until(partial(fleet.has_not, 'i-3'))
    assert fleet.has('i-9')
    assert fleet.has_not('i-2')


# Guards against one late answer being taken for a restore.
@pytest.mark.parametrize('is_cut', [True, False])
async def test_one_late_answer_undoes_nothing(fleet, is_cut):
    fleet.report('i-2', 'draining')
    fleet.report('i-9')
    assert await wait_until(partial(fleet.has_not, 'i-2'))
    assert await wait_until(partial(fleet.has, 'i-9'))
    present = fleet.store.copy()
    fleet.store.show(fleet.copy)
    if is_cut:
        fleet.store.cut_watches()
    await trio.sleep(LATE_SECONDS)
    fleet.store.show(present)
    with trio.move_on_after(IN_FORCE_SECONDS):
        while True:
            assert fleet.version_is(VERSIONS[-1])
            assert fleet.has_not('i-2')
            assert fleet.has('i-9')
            await trio.sleep(STEP_SECONDS)
    fleet.report('i-3', 'draining')
    assert await wait_until(partial(fleet.has_not, 'i-3'))
    for each in fleet.directories:
        assert not inferred_restores(era_of(each.known_revision))


# Guards against leases of before a restore, whose numbers are given out again.
async def test_routers_are_registered_again_with_leases_of_their_own(nursery):
    store, address = await start_store(nursery, CONFIG)
    store.era = None
    fleet = Fleet(nursery, store, address)
    for name in TARGETS:
        fleet.report(name)
    fleet.copy = store.copy()
    for _ in range(ROUTERS):
        await fleet.start_router()

    def leases():
        items = store.items.items()
        return {
            item['lease'] for key, item in items if key.startswith('routers/')
        }

    assert await wait_until(lambda: len(leases()) == ROUTERS)
    fleet.go_on()
    assert await wait_until(partial(fleet.version_is, VERSIONS[-1]))
    for _ in range(2):
        await fleet.restore()
        assert await wait_until(lambda: len(leases()) == ROUTERS)
        assert leases() <= store.leases
