"""Tests of the probes of targets that may be unreachable."""

import pytest
import trio

from peridotwell.forwarding.targets import reachability_prober
from peridotwell.forwarding.targets.reachability_prober import (
    ReachabilityProber,
)
from peridotwell.policy.health.own_reach import OwnReach
from tests.fleet.replica.test_evacuations import evacuate
from tests.forwarding.targets.test_target_tracker import NEAR, tracker

__all__ = ('tracker',)


@pytest.fixture
def results(monkeypatch):
    """The results of the next connections; further ones cannot be made."""
    results = []

    async def can_connect(target, timeout_seconds):
        await trio.sleep(0)
        return results.pop(0) if results else False

    monkeypatch.setattr(reachability_prober, 'can_connect', can_connect)
    return results


async def probe_quiet_target(tracker, nursery):
    tracker.directory.all_targets = lambda: (NEAR,)
    prober = ReachabilityProber(tracker, 'r', OwnReach())
    tracker.silence.record_request(NEAR.name, trio.current_time() - 0.5)
    nursery.start_soon(prober.run)
    await trio.sleep(0.5)
    return tracker.ejection.unreachable_targets()


# Guards against streams that are broken off because the process did not run
# while it connected to a sound target.
async def test_one_connection_that_fails_is_no_cut(
    autojump_clock, nursery, tracker, results
):
    results.extend((False, True))
    assert not await probe_quiet_target(tracker, nursery)


async def test_a_quiet_target_without_connections_is_unreachable(
    autojump_clock, nursery, tracker, results
):
    assert await probe_quiet_target(tracker, nursery) == {NEAR.name}


# Guards against probes in a data centre that the operator evacuates.
async def test_targets_of_evacuated_data_centres_are_not_probed(
    autojump_clock, nursery, tracker, results
):
    evacuate(tracker.directory, data_centre=NEAR.pool.data_centre)
    assert not await probe_quiet_target(tracker, nursery)


# Guards against a prober that ended at the first unreachable target that had
# requests: no later target was probed.
async def test_targets_are_probed_after_waits_were_ended(
    autojump_clock, nursery, tracker, results
):
    nursery.start_soon(tracker.silence_limits.run)
    cut = trio.Event()

    async def wait():
        with tracker.silence_limits.limit(NEAR.name, 5):
            await trio.sleep_forever()
        cut.set()

    nursery.start_soon(wait)
    await trio.sleep(0)
    await probe_quiet_target(tracker, nursery)
    assert cut.is_set()
    results.extend([True] * 10)
    await trio.sleep(4)
    assert not tracker.ejection.unreachable_targets()


# Guards against a prober that is idle while nobody sends requests, and does not
# notice the next one.
async def test_a_target_that_is_quiet_after_a_time_at_rest_is_probed(
    autojump_clock, nursery, tracker, results
):
    tracker.directory.all_targets = lambda: (NEAR,)
    nursery.start_soon(ReachabilityProber(tracker, 'r', OwnReach()).run)
    for _ in range(3):
        await trio.sleep(7)
        tracker.silence.record_request(NEAR.name, trio.current_time())
        await trio.sleep(0.31)
        assert tracker.ejection.unreachable_targets() == {NEAR.name}
        tracker.silence.record_end(NEAR.name)
        results.extend([True] * 10)
        await trio.sleep(4)
        assert not tracker.ejection.unreachable_targets()
        results.clear()
