"""Routers that hear of a restore of the store at different times."""

from functools import partial

import msgspec
import pytest
import trio

from peridotwell.store.revisions import era_of, inferred_restores
from tests.peridotwell_platform import cut_fleet
from tests.peridotwell_platform.test_untold_restores import (
    IN_FORCE_SECONDS,
    REGISTERED_SECONDS,
    SETTLE_SECONDS,
    TARGETS,
    VERSIONS,
    wait_until,
)

# The router that is out of step.
LATE = 2
ROUTERS = 3
DELAY_SECONDS = 0.5
REPORT_SECONDS = 0.4
# Longer than a router takes to know that the store is away.
OUT_SECONDS = 2.5


class RestoredFleet(cut_fleet.CutFleet):
    """Routers whose store has gone on since its copy."""

    reports = 0

    def report(self, name, state='ready'):
        """Write the next report of a target."""
        self.reports += 1
        entry = msgspec.json.decode(cut_fleet.target_entry('127.0.0.1:9'))
        report = {**entry, 'state': state, 'born': 1, 'seq': self.reports}
        self.store.put(f'servers/{name}', msgspec.json.encode(report))

    def configure(self, version):
        """Write a version of the configuration."""
        document = {**cut_fleet.CONFIG, 'version': version}
        self.store.put('op/config', msgspec.json.encode(document))

    def go_on(self):
        """Write versions and reports that the copy doesn't have."""
        for version in VERSIONS:
            self.configure(version)
            for name in TARGETS:
                self.report(name)

    async def report_again(self, name):
        """Let a target report all the while."""
        while True:
            await trio.sleep(REPORT_SECONDS)
            self.report(name)

    def restore(self, copy):
        """Let the store come back from a copy; connections are lost."""
        self.store.restore(copy)
        self.store.cut_watches()

    def directories(self, *left_out):
        """Return what these routers, by default all, know."""
        return [
            each.directory
            for number, each in enumerate(self.routers)
            if number not in left_out
        ]

    def version_is(self, version, *left_out):
        """Return whether a version is in force at all routers but some."""
        known = self.directories(*left_out)
        return all(each.table.version == version for each in known)

    def has_not(self, name, *left_out):
        """Return whether no router but some uses a target."""
        known = self.directories(*left_out)
        return not any(name in each.available_names for each in known)


@pytest.fixture(params=[True, False], ids=['rising', 'constant'])
async def fleet(request, nursery):
    store = cut_fleet.CopyingStore()
    store.page_size = 100
    store.era = 1
    store.is_era_rising = request.param
    fleet = RestoredFleet(nursery, store, [], {})
    fleet.configure(1)
    for name in TARGETS:
        fleet.report(name)
    for _ in range(ROUTERS):
        await fleet.start_router()
    await trio.sleep(1)
    return fleet


@pytest.fixture
async def copy(fleet):
    """Return a copy of the store, after which it has gone on."""
    made = fleet.store.copy()
    fleet.go_on()
    assert await wait_until(partial(fleet.version_is, VERSIONS[-1]))
    return made


# Guards against changes after a restore that are not in force at a router which
# hears of them from others alone, and against older ones once it is back.
async def test_a_router_without_the_store_follows_a_restore(fleet, copy):
    fleet.cut_from_store(LATE)
    fleet.restore(copy)
    fleet.configure(50)
    fleet.report('i-2', 'draining')
    assert await wait_until(partial(fleet.version_is, 50))
    assert await wait_until(partial(fleet.has_not, 'i-2'))
    await trio.sleep(OUT_SECONDS)
    fleet.join()
    fleet.configure(60)
    fleet.report('i-3', 'draining')
    assert await wait_until(partial(fleet.version_is, 60))
    assert await wait_until(partial(fleet.has_not, 'i-3'))
    assert fleet.has_not('i-2')


# Guards against the same at a router that hears nothing of two restores until
# the others have inferred both, the second one as soon as the first.
async def test_a_router_that_was_cut_off_follows_two_restores(
    fleet, copy, nursery
):
    nursery.start_soon(fleet.report_again, 'i-1')
    fleet.cut_off(LATE)
    for version, name in ((50, 'i-2'), (60, 'i-3')):
        fleet.restore(copy)
        fleet.configure(version)
        fleet.report(name, 'draining')
        assert await wait_until(partial(fleet.version_is, version, LATE))
        assert await wait_until(partial(fleet.has_not, name, LATE))
    fleet.join()
    assert await wait_until(partial(fleet.version_is, 60))
    assert await wait_until(partial(fleet.has_not, 'i-3'))
    # It reported ready again in the copy; those that saw it leave go by that.
    fleet.report('i-2', 'draining')
    assert await wait_until(partial(fleet.has_not, 'i-2'))


# Guards against a restore that is inferred where there was none: routers read
# the address of a target otherwise than the one that told them the entry.
async def test_what_another_router_told_infers_no_restore(nursery):
    fleet = await cut_fleet.start_fleet(nursery)
    fleet.cut_from_store(LATE)
    address = fleet.addresses['i-1']
    fleet.store.put('servers/i-1', cut_fleet.target_entry(address))
    await trio.sleep(OUT_SECONDS)
    fleet.join()
    await trio.sleep(IN_FORCE_SECONDS)
    for router in fleet.routers:
        revision = router.directory.known_revision
        assert not inferred_restores(era_of(revision))


# Guards against a router whose news arrive late, and that infers a restore
# which the others have inferred already for one more of its own.
async def test_late_answers_of_a_restored_store_open_one_era(fleet, copy):
    fleet.delay_news(DELAY_SECONDS, LATE)
    await trio.sleep(SETTLE_SECONDS + DELAY_SECONDS)
    fleet.restore(copy)
    fleet.configure(50)
    fleet.report('i-2', 'draining')
    in_force = IN_FORCE_SECONDS + DELAY_SECONDS
    assert await wait_until(partial(fleet.version_is, 50), in_force)
    assert await wait_until(partial(fleet.has_not, 'i-2'), in_force)
    fleet.store.delete('servers/i-3')
    assert await wait_until(
        partial(fleet.has_not, 'i-3'), REGISTERED_SECONDS + DELAY_SECONDS
    )
    await trio.sleep(OUT_SECONDS)
    revisions = {each.known_revision for each in fleet.directories()}
    assert len(revisions) == 1
    fleet.configure(60)
    assert await wait_until(partial(fleet.version_is, 60), in_force)
