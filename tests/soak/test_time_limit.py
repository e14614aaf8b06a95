"""A run that lasts too long is ended, and has no verdict."""

import subprocess

import pytest
import trio

from tests.soak.cluster import Router, SoakCluster
from tests.soak.run import soak
from tests.soak.time_limit import run_within

LIMIT_SECONDS = 0.2
# Bounds what a test waits for if a limit does not work.
ENDED_SECONDS = 20


@pytest.fixture
def cluster(tmp_path):
    """A cluster of one process, which takes no notice of anything."""
    started = SoakCluster(tmp_path)
    router = Router('r0', tmp_path / 'r0.toml', '')
    router.process = subprocess.Popen(['sleep', str(ENDED_SECONDS)])
    started.routers.append(router)
    yield started
    started.stop()


async def test_run_that_ends_in_time(cluster):
    assert await run_within(ENDED_SECONDS, cluster, trio.lowlevel.checkpoint)
    assert cluster.routers[0].process.poll() is None


async def test_run_that_waits_for_ever(cluster):
    assert not await run_within(LIMIT_SECONDS, cluster, trio.sleep_forever)


# Guards against a soak that stands still for ever, waiting for a process that
# another of its tasks has started meanwhile (seed 6502).
async def test_run_that_stands_still(cluster):
    async def stand_still():
        cluster.routers[0].process.wait()
        await trio.sleep_forever()

    began_at = trio.current_time()
    grace = LIMIT_SECONDS
    assert not await run_within(LIMIT_SECONDS, cluster, stand_still, grace)
    assert trio.current_time() - began_at < ENDED_SECONDS / 2


async def test_failure_of_a_run_is_raised(cluster):
    async def fail():
        raise EOFError('a worker has ended')

    with pytest.raises(ExceptionGroup):
        await run_within(ENDED_SECONDS, cluster, fail)


# Guards against a run without an end that counts as a pass.
def test_run_beyond_its_limit_is_a_failure(tmp_path):
    report = trio.run(soak, 1, ENDED_SECONDS, tmp_path, 1, 2, (), None, (), 2)
    assert report.violations[0].startswith('no verdict: ')
