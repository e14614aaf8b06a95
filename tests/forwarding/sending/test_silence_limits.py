"""Tests of the limits on waits for silent targets."""

import math
import time

import pytest
import trio

from peridotwell.forwarding.sending.silence_limits import SilenceLimits


@pytest.fixture
async def limits(nursery):
    running = SilenceLimits()
    nursery.start_soon(running.run)
    return running


async def wait_for_response(limits, target, max_seconds, seconds=10.0):
    """Wait `seconds` for a response; return whether and when it was cut."""
    with limits.limit(target, max_seconds) as wait:
        await trio.sleep(seconds)
    return wait.scope.cancelled_caught, trio.current_time()


async def test_a_wait_ends_when_its_target_has_been_silent(
    autojump_clock, limits
):
    assert await wait_for_response(limits, 'e1', 1.2) == (True, 1.2)


async def test_data_on_another_connection_starts_the_time_again(
    autojump_clock, nursery, limits
):

    async def respond_to_others():
        for _ in range(5):
            await trio.sleep(1)
            limits.record_activity('e1', trio.current_time())

    nursery.start_soon(respond_to_others)
    cut, ended_at = await wait_for_response(limits, 'e1', 1.2)
    assert (cut, round(ended_at, 3)) == (True, 6.2)


async def test_data_from_another_target_does_not_count(
    autojump_clock, nursery, limits
):

    async def respond():
        await trio.sleep(1)
        limits.record_activity('e2', trio.current_time())

    nursery.start_soon(respond)
    assert await wait_for_response(limits, 'e1', 1.2) == (True, 1.2)


async def test_without_a_limit_a_wait_is_not_cut(autojump_clock, limits):
    cut, _ = await wait_for_response(limits, 'e1', math.inf)
    assert not cut


async def test_several_waits_for_one_target_have_limits_of_their_own(
    autojump_clock, nursery, limits
):
    ended = []

    async def wait(max_seconds):
        ended.append(await wait_for_response(limits, 'e1', max_seconds))

    nursery.start_soon(wait, 0.5)
    nursery.start_soon(wait, 3)
    await trio.sleep(0.2)
    limits.record_activity('e1', trio.current_time())
    await trio.sleep(5)
    assert ended == [(True, 0.7), (True, 3.2)]


# Guards against a TypeError that ended the task of the prober, and with it the
# early end of all waits for unreachable targets.
async def test_waits_for_an_unreachable_target_end_at_once(
    autojump_clock, nursery, limits
):
    ended = []

    async def wait(target):
        ended.append(await wait_for_response(limits, target, 5, seconds=6))

    nursery.start_soon(wait, 'e1')
    nursery.start_soon(wait, 'e2')
    await trio.sleep(0.5)
    limits.end_waits('e1', 0.2, trio.current_time())
    await trio.sleep(0.1)
    assert ended == [(True, 0.5)]


async def test_waits_with_data_since_the_probe_began_go_on(
    autojump_clock, nursery, limits
):
    nursery.start_soon(wait_for_response, limits, 'e1', 5)
    await trio.sleep(0.3)
    limits.record_activity('e1', trio.current_time())
    await trio.sleep(0.2)
    limits.end_waits('e1', 0.2, trio.current_time())
    await trio.sleep(0.1)
    assert [wait.deadline for wait in limits._all_waits()] == [5.3]


# Guards against sound targets that count as silent after the router itself has
# stood still: their data have arrived, but are not read yet.
async def test_time_in_which_the_router_stood_still_does_not_count(
    nursery, limits
):
    sending, receiving = trio.socket.socketpair()

    async def respond():
        await trio.sleep(0.1)
        await sending.send(b'x')
        # Nothing else runs meanwhile.
        time.sleep(0.5)

    nursery.start_soon(respond)
    with limits.limit('e1', 0.3) as wait:
        await receiving.recv(1)
        await trio.sleep(0.1)
    assert not wait.scope.cancelled_caught


# Guards against sound targets that count as silent after the router stood still
# until just after the end of a wait.
@pytest.mark.parametrize('running_seconds', [0, 0.1])
@pytest.mark.parametrize('late_seconds', [0.005, 0.02])
async def test_a_stop_that_ends_with_the_wait_does_not_count(
    nursery, limits, running_seconds, late_seconds
):
    max_seconds = 0.3

    async def stand_still(until):
        await trio.sleep(running_seconds)
        # Nothing else runs meanwhile.
        time.sleep(until - trio.current_time())

    with limits.limit('e1', max_seconds) as wait:
        until = trio.current_time() + max_seconds + late_seconds
        nursery.start_soon(stand_still, until)
        await trio.sleep(max_seconds + late_seconds + 0.1)
    assert not wait.scope.cancelled_caught


# Guards against answers that are given up although nobody else can give them.
async def test_a_wait_that_may_not_be_given_up_goes_on(autojump_clock, limits):

    def may_give_up(now):
        return now >= 3

    with limits.limit('e1', 1.2, may_give_up) as wait:
        await trio.sleep(10)
    assert wait.scope.cancelled_caught
    assert 3 <= trio.current_time() <= 3.5


async def test_time_outside_of_reads_does_not_count(autojump_clock, limits):
    with limits.limit('e1', 1.2) as wait:
        wait.after_read()
        await trio.sleep(5)
        wait.before_read()
        await trio.sleep(1)
        wait.after_read()
        await trio.sleep(5)
        wait.before_read()
        await trio.sleep(5)
    assert wait.scope.cancelled_caught
    assert round(trio.current_time(), 3) == 12.2
