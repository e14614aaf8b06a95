"""Tests of what a router believes of the store, and how long it may."""

import pytest
import trio

from peridotwell.fleet.replica.store_belief import (
    DUE_AGE_SECONDS,
    MAX_AGE_SECONDS,
    SETTLE_SECONDS,
    Evidence,
    EvidenceSource,
    StoreBelief,
)

STALL_SECONDS = 2.0
# A change must be in force this long after the store's answer.
IN_FORCE_SECONDS = 2.0
EVEN_LATER = 0.01


def evidence(known_until, source=EvidenceSource.watch):
    return Evidence(known_until, 7, source)


def make_belief(now):
    """Return the belief of a router whose last call was sent at a time."""
    belief = StoreBelief()
    belief.record(evidence(now), now)
    take_turns(belief, now - 1, now)
    return belief


def take_turns(belief, start, end):
    for step in range(round((end - start) * 10) + 1):
        belief.record_turn(start + step / 10)


# Guards against requests that are refused by an older configuration, because a
# watch without an answer was taken for a store that has nothing to tell.
def test_a_waiting_watch_shows_nothing():
    belief = make_belief(10)
    take_turns(belief, 10, 20)
    assert belief.age(20) == 10
    assert not belief.is_current(20)


def test_what_decides_requests_is_younger_than_the_bound():
    belief = make_belief(10)
    assert belief.is_current(10 + MAX_AGE_SECONDS)
    assert not belief.is_current(10 + MAX_AGE_SECONDS + EVEN_LATER)
    assert DUE_AGE_SECONDS < MAX_AGE_SECONDS
    assert MAX_AGE_SECONDS + SETTLE_SECONDS < IN_FORCE_SECONDS


def test_without_any_answer_nothing_is_known():
    belief = StoreBelief()
    assert not belief.is_current(10)
    assert not belief.is_away()
    assert belief.logged_age(10) is None
    assert belief.logged_source() is None


def test_an_older_answer_does_not_replace_the_evidence():
    belief = make_belief(10)
    belief.record(evidence(9, EvidenceSource.snapshot), 11)
    assert belief.age(11) == 1
    assert belief.logged_source() == 'watch'


def test_the_store_is_asked_before_the_belief_is_too_old():
    belief = make_belief(10)
    belief.record_turn(10 + DUE_AGE_SECONDS)
    assert not belief.due.is_set()
    belief.record_turn(10 + DUE_AGE_SECONDS + EVEN_LATER)
    assert belief.due.is_set()
    # The watch was sent long before.
    belief.record(evidence(10 + EVEN_LATER), 12)
    assert belief.due.is_set()
    belief.record(evidence(11.9, EvidenceSource.check), 12)
    assert not belief.due.is_set()


# Guards against a router that takes itself to be current right after it stood
# still, because nothing tells how old its knowledge is.
def test_after_a_standstill_only_an_answer_to_a_later_call_counts():
    belief = make_belief(10)
    now = 10 + STALL_SECONDS
    assert not belief.is_current(now)
    belief.record_turn(now)
    assert belief.due.is_set()
    # The watch was sent before.
    belief.record(evidence(10.1), now)
    assert not belief.is_current(now)
    belief.record(evidence(now), now + EVEN_LATER)
    assert belief.is_current(now + EVEN_LATER)
    assert not belief.due.is_set()


async def test_requests_wait_for_the_answer_after_a_standstill(autojump_clock):
    now = trio.current_time()
    belief = make_belief(now - STALL_SECONDS)

    async def answer():
        await trio.sleep(0.1)
        belief.record(evidence(now), trio.current_time())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(answer)
        assert await belief.settle(now)
    assert trio.current_time() - now == pytest.approx(0.1)


async def test_requests_share_one_call(autojump_clock):
    now = trio.current_time()
    belief = make_belief(now - STALL_SECONDS)
    due = belief.due

    async def answer():
        await trio.sleep(0.1)
        assert belief.due is due
        assert due.is_set()
        belief.record(evidence(now), trio.current_time())

    async with trio.open_nursery() as nursery:
        for _ in range(10):
            nursery.start_soon(belief.settle, now)
        nursery.start_soon(answer)
    assert trio.current_time() - now == pytest.approx(0.1)


@pytest.mark.parametrize('fails', [False, True])
async def test_requests_do_not_wait_long_for_a_store_that_is_away(
    autojump_clock, fails
):
    now = trio.current_time()
    belief = make_belief(now - STALL_SECONDS)
    if fails:
        # Known not to answer: the router serves with what it knows.
        belief.record_failure(now)
    assert await belief.settle(now) is fails
    waited = trio.current_time() - now
    assert waited == pytest.approx(0 if fails else SETTLE_SECONDS)
    assert not belief.is_current(trio.current_time())


async def test_requests_wait_no_longer_once_the_store_is_known_to_be_away(
    autojump_clock,
):
    now = trio.current_time()
    belief = make_belief(now - STALL_SECONDS)

    async def fail():
        await trio.sleep(0.1)
        belief.record_failure(now)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(fail)
        assert await belief.settle(now)
    assert trio.current_time() - now == pytest.approx(0.1)
    assert not belief.is_current(trio.current_time())


# Guards against a busy router that refuses requests while the store is away,
# because each late turn makes them wait for a check that fails later.
async def test_late_turns_of_a_router_without_a_store_refuse_nothing(
    autojump_clock,
):
    now = trio.current_time()
    belief = make_belief(now - STALL_SECONDS)
    belief.record_turn(now)
    belief.record_failure(now)
    for step in range(20):
        belief.record_turn(now + step * 0.35)
        assert belief.is_away()
        assert await belief.settle(now + step * 0.35)
    assert trio.current_time() == now


# Guards against the same after a standstill in which the store may be back.
def test_after_a_long_standstill_a_store_that_was_away_is_asked_again():
    belief = make_belief(10)
    belief.record_turn(12)
    belief.record_failure(12)
    assert belief.is_away()
    belief.record_turn(12 + STALL_SECONDS)
    assert not belief.is_away()
    assert belief.due.is_set()


# Guards against a store that is taken to be away, because a watch from before
# got no answer.
def test_a_watch_that_fails_late_does_not_show_that_the_store_is_away():
    belief = make_belief(10)
    belief.record(evidence(11, EvidenceSource.check), 11.1)
    belief.record_failure(10.5)
    assert not belief.is_away()
    belief.record_failure(11.2)
    assert belief.is_away()


# Guards against a router that never counts as current again, although its relay
# tells every change, because one check of the store has failed.
def test_a_relay_counts_again_after_a_check_that_failed():
    belief = make_belief(10)
    belief.record_failure(12)
    belief.record(evidence(12.1, EvidenceSource.relay), 12.7)
    assert belief.is_current(12.7)
    assert not belief.is_away()
    assert belief.logged_source() == 'relay'
