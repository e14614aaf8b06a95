"""Tests of time limits that count only running time."""

import pytest
import trio

from peridotwell.running_time import move_on_after_running

LIMIT_SECONDS = 0.6


async def test_a_body_that_waits_is_cancelled_in_time(autojump_clock):
    began = trio.current_time()
    async with move_on_after_running(LIMIT_SECONDS):
        await trio.sleep_forever()
    assert trio.current_time() - began == pytest.approx(LIMIT_SECONDS)


async def test_a_body_that_ends_is_not_waited_for(autojump_clock):
    began = trio.current_time()
    async with move_on_after_running(LIMIT_SECONDS):
        await trio.sleep(0.1)
    assert trio.current_time() - began == pytest.approx(0.1)


# Guards against an answer that counts as missing because this process stood
# still when it came.
async def test_a_standstill_does_not_count(autojump_clock):
    is_done = False
    async with move_on_after_running(LIMIT_SECONDS):
        for _ in range(5):
            await trio.sleep(0.01)
            autojump_clock.jump(LIMIT_SECONDS)
        is_done = True
    assert is_done
