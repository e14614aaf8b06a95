"""Tests of the age of what a router knows of the store."""

import math

import pytest
import trio

from peridotwell.fleet.replica.store_freshness import (
    MAX_AGE_SECONDS,
    SETTLE_SECONDS,
    StoreFreshness,
)

STALL_SECONDS = 2.0


def make_watched(now):
    """Return the knowledge of a router with a watch, up to a time."""
    freshness = StoreFreshness()
    freshness.record_answer(now - 1, now - 1)
    take_turns(freshness, now - 1, now)
    return freshness


def take_turns(freshness, start, end):
    for step in range(round((end - start) * 10) + 1):
        now = start + step / 10
        freshness.record_turn(now, now)


def test_a_silent_watch_shows_that_nothing_has_changed():
    freshness = make_watched(10)
    take_turns(freshness, 10, 20)
    assert freshness.age(20) == 0
    assert freshness.is_current(20)


def test_without_a_watch_the_knowledge_ages():
    freshness = make_watched(10)
    for step in range(20):
        freshness.record_turn(10 + step / 10, -math.inf)
    assert freshness.is_current(10 + MAX_AGE_SECONDS)
    assert not freshness.is_current(10.1 + MAX_AGE_SECONDS)


# Guards against a router that takes itself to be current right after it stood
# still, because nothing tells how old its knowledge is.
def test_after_a_late_turn_only_an_answer_to_a_later_call_counts():
    freshness = make_watched(10)
    now = 10 + STALL_SECONDS
    assert not freshness.is_current(now)
    assert freshness.late.is_set()
    freshness.record_turn(now, now)
    # The watch was sent before.
    freshness.record_answer(9.5, now)
    assert not freshness.is_current(now)
    assert not freshness.settled.is_set()
    freshness.record_answer(now, now + 0.01)
    assert freshness.is_current(now + 0.01)
    assert freshness.settled.is_set()
    assert not freshness.late.is_set()


def test_a_lost_watch_showed_nothing_while_it_waited():
    freshness = make_watched(10)
    freshness.record_failure(8, 10)
    take_turns(freshness, 10, 10.5)
    assert freshness.age(10.5) == 2.5
    freshness.record_answer(10.5, 10.6)
    freshness.record_turn(10.7, 10.7)
    assert freshness.age(10.7) == 0


async def test_requests_wait_for_the_answer_after_a_late_turn(autojump_clock):
    now = trio.current_time()
    freshness = make_watched(now - STALL_SECONDS)

    async def answer():
        await trio.sleep(0.1)
        freshness.record_answer(now, trio.current_time())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(answer)
        assert await freshness.settle(now)
    assert trio.current_time() - now == pytest.approx(0.1)


@pytest.mark.parametrize('fails', [False, True])
async def test_requests_do_not_wait_long_for_a_store_that_is_away(
    autojump_clock, fails
):
    now = trio.current_time()
    freshness = make_watched(now - STALL_SECONDS)
    if fails:
        # Known not to answer: the router serves with what it knows.
        freshness.record_failure(now, now)
    assert await freshness.settle(now) is fails
    waited = trio.current_time() - now
    assert waited == pytest.approx(0 if fails else SETTLE_SECONDS)
    assert not freshness.is_current(trio.current_time())


def fail_check(freshness, now):
    """Let a check fail that was sent at a time; return when it has failed."""
    freshness.record_turn(now, -math.inf)
    freshness.record_failure(now, now + 0.6)
    return now + 0.6


# Guards against a busy router that refuses requests while the store is away,
# because each late turn makes them wait for a check that fails later.
def test_late_turns_of_a_router_without_a_store_refuse_nothing():
    freshness = make_watched(10)
    now = fail_check(freshness, 10 + STALL_SECONDS)
    for _ in range(20):
        now += 0.35
        freshness.record_turn(now, -math.inf)
        assert freshness.settled.is_set()
    assert freshness.late.is_set()


# Guards against the same after a standstill in which the store may be back.
def test_after_a_long_standstill_a_store_that_was_away_is_asked_again():
    freshness = make_watched(10)
    now = fail_check(freshness, 10 + STALL_SECONDS) + STALL_SECONDS
    freshness.record_turn(now, -math.inf)
    assert not freshness.settled.is_set()


# Guards against a router that never counts as current again, although its relay
# tells every change, because one check of the store has failed.
def test_a_relay_counts_again_after_a_check_that_failed():
    freshness = make_watched(10)
    now = fail_check(freshness, 10 + STALL_SECONDS)
    for step in range(30):
        freshness.record_turn(now + step / 10, now, is_relayed=True)
    assert not freshness.is_current(now + 2.9)
    for step in range(30, 40):
        told_until = now + step / 10
        freshness.record_turn(told_until, told_until, is_relayed=True)
    assert freshness.is_current(now + 3.9)
    assert not freshness.late.is_set()


def test_after_a_late_turn_changes_may_lack_until_a_check_is_answered():
    freshness = make_watched(10)
    now = 10 + MAX_AGE_SECONDS + 0.1
    freshness.record_turn(now, -math.inf)
    assert freshness.may_lack_changes(now)
    freshness.record_answer(now, now)
    assert not freshness.may_lack_changes(now)


# Guards against a relay that is left by its whole group whenever a watch ends.
def test_a_watch_that_failed_is_no_late_turn():
    freshness = make_watched(10)
    freshness.record_failure(8, 10)
    for step in range(5):
        freshness.record_turn(10 + step / 10, -math.inf)
    assert not freshness.is_current(10.4)
    assert not freshness.may_lack_changes(10.4)


# Guards against a router that decides by old knowledge after a late turn: one
# call failed long ago, and its relay has told everything since.
def test_a_store_that_was_away_does_not_count_when_a_relay_tells_all():
    freshness = make_watched(10)
    now = fail_check(freshness, 10 + STALL_SECONDS)
    for _ in range(20):
        now += 0.1
        freshness.record_turn(now, now - 0.7, is_relayed=True)
    assert freshness.is_current(now)
    now += 1.4
    assert not freshness.is_current(now)
    assert not freshness.settled.is_set()
