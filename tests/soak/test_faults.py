"""Faults of routers do not overlap at one router."""

import subprocess

import pytest
import trio
import trio.testing

from tests.soak.cluster import Router, SoakCluster
from tests.soak.faults import FaultInjector

SHORT_SECONDS = 0.05


@pytest.fixture
def cluster(tmp_path):
    """Two routers, whose processes only wait."""
    started = SoakCluster(tmp_path, workers=[None])

    def start_router(router):
        router.process = subprocess.Popen(['sleep', '20'])
        router.is_stopping = False

    started.start_router = start_router
    for name in ('r0', 'r1', 'r2'):
        router = Router(name, tmp_path / name, '')
        start_router(router)
        started.routers.append(router)
    yield started
    started.workers.clear()
    started.stop()


# Guards against a soak that stands still, waiting for the end of a process that
# another fault has started in place of the one that was killed (seed 6502).
async def test_router_that_is_killed_is_left_alone_until_it_is_back(cluster):
    injector = FaultInjector(cluster, 1)
    injector._duration = lambda: SHORT_SECONDS
    before = {router.process for router in cluster.routers}
    async with trio.open_nursery() as nursery:
        nursery.start_soon(injector._kill_router)
        await trio.testing.wait_all_tasks_blocked()
        [killed] = (each for each in cluster.routers if each.is_stopping)
        chosen = {injector._choose_router().name for _ in range(50)}
        assert killed.name not in chosen
        # Another fault starts it all the same.
        killed.process.wait()
        killed.process = subprocess.Popen(['sleep', '20'])
        between = killed.process
    assert between.poll() is not None
    assert killed.process not in {*before, between}
    assert not killed.is_stopping
