"""Routers whose store's process ends, and starts again from an older copy."""

from functools import partial

import pytest
import trio

from peridotwell.fleet.replica import store_follower
from peridotwell.serving.asgi import serve_http
from tests.peridotwell_platform import stand_in
from tests.peridotwell_platform.router_setup import LOCALHOST
from tests.peridotwell_platform.test_untold_restores import (
    ROUTERS,
    TARGETS,
    VERSIONS,
    Fleet,
    wait_until,
)
from tests.ports import find_free_port

# That of a fleet of 60 routers: how long they wait between two calls.
BATCH_SECONDS = 0.1


class RestartedFleet(Fleet):
    """A store that ends with all its connections, and its routers."""

    _serving = trio.CancelScope()

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve the store until its process ends."""
        with trio.CancelScope() as self._serving:
            async with trio.open_nursery() as nursery:
                await nursery.start(
                    serve_http, self.store.handle, self._address
                )
                task_status.started()
                await trio.sleep_forever()

    async def restart(self):
        """Let the store's process end, and start again from the copy."""
        self._serving.cancel()
        self.store.restore(self.copy)
        await self._nursery.start(self.serve)

    def knows(self, revision):
        """Return whether all routers have been told a revision."""
        return all(each.known_revision == revision for each in self.directories)


@pytest.fixture
async def fleet(nursery, monkeypatch):
    """Return three routers whose store tells no era."""
    monkeypatch.setattr(
        store_follower, 'BATCH_SECONDS_PER_ROUTER', BATCH_SECONDS
    )
    store = stand_in.StoreStandIn()
    store.page_size = 100
    store.era = None
    fleet = RestartedFleet(nursery, store, f'{LOCALHOST}:{find_free_port()}')
    await nursery.start(fleet.serve)
    fleet.configure(1)
    for name in TARGETS:
        fleet.report(name)
    for _ in range(ROUTERS):
        await fleet.start_router()
    assert await wait_until(lambda: len(store.leases) == ROUTERS)
    fleet.copy = store.copy()
    fleet.go_on()
    assert await wait_until(partial(fleet.version_is, VERSIONS[-1]))
    return fleet


# Guards against a restore that nobody notices: no call waits meanwhile, the
# store has just the revision of before, and nothing is written afterwards.
async def test_changes_just_up_to_the_known_revision_are_taken(fleet):
    await trio.sleep(2 * ROUTERS * BATCH_SECONDS)
    fleet.report('i-1')
    known = fleet.store.revision
    assert await wait_until(partial(fleet.knows, known))
    await fleet.restart()
    fleet.report('i-2', 'draining')
    while fleet.store.revision < known - 1:
        fleet.report('i-1')
    fleet.configure(50)
    assert await wait_until(partial(fleet.version_is, 50))
    assert await wait_until(partial(fleet.has_not, 'i-2'))


async def test_changes_after_a_second_restart_are_taken(fleet):
    for version, name in ((50, 'i-2'), (60, 'i-3')):
        await fleet.restart()
        fleet.report(name, 'draining')
        fleet.configure(version)
        assert await wait_until(partial(fleet.version_is, version))
        assert await wait_until(partial(fleet.has_not, name))
