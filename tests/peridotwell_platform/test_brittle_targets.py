"""Targets that fall over when they have to reject many requests."""

import httpcore
import pytest
import trio

from tests.peridotwell_platform.router_fleet import start_fleet

TARGETS = 4
SLOTS = 4
MAX_REJECTIONS = 5
# Falls in one time in which the targets are brittle that the users allow.
ALLOWED_FALLS = 2 + TARGETS / 10
CONTACT_SECONDS = 3
BURST_SECONDS = 6
WORK_SECONDS = 0.4
# Each request takes two parts of work.
CAPACITY_PER_SECOND = TARGETS * SLOTS / (2 * WORK_SECONDS)
CALM_PER_SECOND = CAPACITY_PER_SECOND / 2
BURST_FACTOR = 10
MIN_GOODPUT_SHARE = 0.6
# Longest time of a refusal beyond that of three responses without a target: it
# may come after two targets have rejected the request.
MAX_REFUSAL_SECONDS = 0.25
MAX_ROUND_TRIPS = 3
CONTROL_SECONDS = 0.02
DOWN_SECONDS = 1.5
# Within this time after its return, a target gets half of its slots at most.
REFILL_SECONDS = 0.3


@pytest.fixture
async def fleet(nursery):
    fleet = await start_fleet(nursery, 'no part crashes', targets=TARGETS)
    for target in fleet.targets:
        target.slots = SLOTS
        target.work_seconds = WORK_SECONDS
        target.down_seconds = DOWN_SECONDS
        target.max_rejections = str(MAX_REJECTIONS)
        target.brittle_from = trio.current_time() + CONTACT_SECONDS
    return fleet


async def send_for(fleet, seconds, per_second):
    """Send requests to all routers in turn.

    Returns the status, the time it took and the response of each, with a
    status of 0 for a stream that was broken off.
    """
    outcomes = []

    async def call(router):
        sent_at = trio.current_time()
        try:
            resp = await fleet.get(router, 'head')
        except httpcore.RemoteProtocolError:
            outcomes.append((0, trio.current_time() - sent_at, None))
            return
        outcomes.append((resp.status, trio.current_time() - sent_at, resp))

    begin = trio.current_time()
    async with trio.open_nursery() as nursery:
        for number in range(int(seconds * per_second)):
            await trio.sleep_until(begin + number / per_second)
            nursery.start_soon(call, number % len(fleet.callers))
    return outcomes


async def time_unknown_paths(fleet, times):
    """Record how long responses take that need no target, until cancelled."""
    while True:
        await trio.sleep(CONTROL_SECONDS)
        sent_at = trio.current_time()
        resp = await fleet.get(0, 'head', path='/unknown/x')
        assert resp.status == 404
        times.append(trio.current_time() - sent_at)


def most_rejections_in_a_second(target):
    rejections = [at for at in target.rejections if at >= target.brittle_from]
    return max(
        (
            sum(first <= at < first + 1 for at in rejections)
            for first in rejections
        ),
        default=0,
    )


def falls(fleet):
    return sum(len(target.falls) for target in fleet.targets)


# Guards against routers that together send a target so much beyond its room
# that it falls over, which brings the next ones down.
async def test_burst_does_not_bring_brittle_targets_down(slow_clock, fleet):
    await send_for(fleet, CONTACT_SECONDS, CALM_PER_SECOND)
    outcomes = await send_for(
        fleet, BURST_SECONDS, CALM_PER_SECOND * BURST_FACTOR
    )
    assert falls(fleet) <= ALLOWED_FALLS
    rejections = max(map(most_rejections_in_a_second, fleet.targets))
    assert rejections <= MAX_REJECTIONS
    served = [status for status, _, _ in outcomes if status == 200]
    assert (
        len(served) >= MIN_GOODPUT_SHARE * CAPACITY_PER_SECOND * BURST_SECONDS
    )


async def test_requests_beyond_the_room_are_refused_at_once(
    slow_clock, fleet, nursery
):
    await send_for(fleet, CONTACT_SECONDS, CALM_PER_SECOND)
    control = []
    nursery.start_soon(time_unknown_paths, fleet, control)
    outcomes = await send_for(
        fleet, BURST_SECONDS / 2, CALM_PER_SECOND * BURST_FACTOR
    )
    assert {status for status, _, _ in outcomes} == {200, 503}
    refused = [outcome for outcome in outcomes if outcome[0] == 503]
    slowest = max(seconds for _, seconds, _ in refused)
    round_trips = MAX_ROUND_TRIPS * max(control)
    assert slowest < MAX_REFUSAL_SECONDS + round_trips
    waits = {dict(resp.headers)[b'retry-after'] for _, _, resp in refused}
    assert len(waits) >= len(refused) / 4


# Guards against a target that all routers fill at once when it is back.
async def test_target_that_is_back_is_filled_step_by_step(slow_clock, fleet):
    await send_for(fleet, CONTACT_SECONDS, CALM_PER_SECOND)
    fallen = fleet.targets[0]
    fallen.fall_over()
    await send_for(fleet, BURST_SECONDS, CALM_PER_SECOND * BURST_FACTOR)
    assert most_rejections_in_a_second(fallen) <= MAX_REJECTIONS
    assert falls(fleet) <= ALLOWED_FALLS
    back_at = fallen.starts[1]
    after = [at - back_at for at in fallen.arrivals if at >= back_at]
    assert sum(at < REFILL_SECONDS for at in after) <= SLOTS / 2
    assert len(after) >= SLOTS
