"""Brittle targets under many routers with old counts, without a network."""

from dataclasses import replace

import pytest

from peridotwell.domain.target import Pool
from peridotwell.policy.brittle.brittle_targets import (
    FILL_SECONDS,
    QUEUE_HOLD_SECONDS,
    BrittleTargets,
    RequestCounts,
)
from peridotwell.policy.brittle.brittleness import Brittleness
from tests.policy.brittle.brittle_fleet import (
    CONTACT_SECONDS,
    DOWN_SECONDS,
    MEAN_WORK_SECONDS,
    BrittleFleet,
    burst_fleet,
)

BURST = 10
BURST_SECONDS = 10.0
# Part of the capacity that a burst gets.
MIN_GOODPUT_SHARE = 0.6
# With 410 routers and 48 slots, a slot is used by one router alone, whose
# callers leave it idle for almost half of the time (Erlang's formula).
MIN_GOODPUT_SHARE_OF_MANY = 0.4
MANY_ROUTERS = 410
# Part of the requests that are served while they are half of the capacity.
MIN_SERVED_SHARE = 0.8
NO_REQUESTS = RequestCounts(0, 0)


def min_goodput(routers):
    """Return the part of the capacity that is used in a burst."""
    if routers >= MANY_ROUTERS:
        return MIN_GOODPUT_SHARE_OF_MANY
    return MIN_GOODPUT_SHARE


@pytest.mark.parametrize('routers', [1, 7, 59, 410])
@pytest.mark.parametrize('max_rejections', [1, 2, 5, 20])
def test_burst_is_rejected_no_more_than_targets_bear(routers, max_rejections):
    fleet = burst_fleet(routers, max_rejections)
    begin, served = fleet.now, fleet.served
    fleet.run(BURST_SECONDS, BURST)
    assert fleet.most_rejections(begin) <= max_rejections
    assert not fleet.falls()
    goodput = (fleet.served - served) / BURST_SECONDS
    assert goodput >= min_goodput(routers) * fleet.capacity_per_second


@pytest.mark.parametrize(('routers', 'targets'), [(1, 6), (7, 6), (59, 45)])
def test_half_of_the_capacity_is_served(routers, targets):
    fleet = burst_fleet(routers, targets=targets)
    sent, refused = fleet.sent, fleet.refused
    fleet.run(CONTACT_SECONDS, 0.5)
    sent, refused = fleet.sent - sent, fleet.refused - refused
    assert sent >= MIN_SERVED_SHARE * (sent + refused)
    assert not fleet.falls()


@pytest.mark.parametrize('routers', [7, 59])
def test_routers_that_start_in_a_burst_add_few_rejections(routers):
    fleet = burst_fleet(routers)
    fleet.run(2, BURST)
    begin = fleet.now
    for _ in range(3):
        fleet.start_router()
    fleet.repeat(fleet.routers)
    fleet.run(1, BURST)
    fleet.meet()
    fleet.run(BURST_SECONDS, BURST)
    assert fleet.most_rejections(begin) <= fleet.max_rejections
    assert not fleet.falls()


@pytest.mark.parametrize('routers', [7, 59])
def test_routers_that_freeze_in_a_burst_add_few_rejections(routers):
    fleet = burst_fleet(routers)
    fleet.run(2, BURST)
    begin = fleet.now
    fleet.frozen = set(range(routers // 2))
    fleet.run(5, BURST)
    fleet.frozen = set()
    fleet.run(BURST_SECONDS, BURST)
    assert fleet.most_rejections(begin) <= fleet.max_rejections
    assert not fleet.falls()


@pytest.mark.parametrize('routers', [7, 59])
def test_routers_that_are_cut_off_keep_to_their_share(routers):
    fleet = burst_fleet(routers)
    fleet.cut = set(range(routers // 2))
    begin = fleet.now
    fleet.run(BURST_SECONDS, BURST)
    fleet.cut = set()
    fleet.run(BURST_SECONDS, BURST)
    assert fleet.most_rejections(begin) <= fleet.max_rejections
    assert not fleet.falls()


@pytest.mark.parametrize('routers', [1, 7, 59, 410])
def test_target_that_is_back_is_filled_step_by_step(routers):
    fleet = burst_fleet(routers)
    fleet.run(2, BURST)
    begin = fleet.now
    fallen = fleet.targets[0]
    fleet.fall(fallen)
    fleet.run(DOWN_SECONDS + BURST_SECONDS, BURST)
    back_at = fallen.starts[-1]
    early = [at for at in fallen.arrived if back_at <= at < back_at + 0.2]
    assert len(early) <= fallen.slots / 4
    assert fleet.most_rejections(begin) <= fleet.max_rejections
    assert fleet.falls() == 1
    late = [at for at in fallen.arrived if at >= fleet.now - 3]
    capacity = fallen.slots * 3 / MEAN_WORK_SECONDS
    assert len(late) >= min_goodput(routers) * capacity


# All routers may be rejected once before they know of the first rejection: for
# each lost slot, and for each one that they may borrow.
@pytest.mark.parametrize('routers', [1, 7, 59, 410])
@pytest.mark.parametrize(('usable', 'max_rejections'), [(7, 2), (6, 5), (4, 8)])
def test_target_with_less_room_than_slots_is_found_out(
    routers, usable, max_rejections
):
    """An engine whose memory is full has free slots and rejects requests."""
    fleet = burst_fleet(routers, max_rejections)
    begin = fleet.now
    for target in fleet.targets:
        target.usable = usable
    fleet.run(BURST_SECONDS, BURST)
    assert fleet.most_rejections(begin) <= fleet.max_rejections
    assert not fleet.falls()


@pytest.mark.parametrize('routers', [1, 7, 59])
def test_targets_that_do_not_tell_their_slots_get_few_requests(routers):
    fleet = burst_fleet(routers, max_rejections=4, slots=3, tells_load=False)
    begin, served = fleet.now, fleet.served
    fleet.run(BURST_SECONDS, BURST)
    assert fleet.most_rejections(begin) <= fleet.max_rejections
    assert not fleet.falls()
    assert fleet.served > served


def test_queue_at_a_target_holds_requests_back_until_it_is_gone():
    policy = BrittleTargets(1)
    target = BrittleFleet(1, 5).targets[0].target
    policy.record_answer(target, Brittleness(5, False, 3, 1, 8), 0)
    assert not policy.accepts(target, NO_REQUESTS, 0.1)
    assert policy.accepts(target, NO_REQUESTS, QUEUE_HOLD_SECONDS)
    policy.record_answer(target, Brittleness(5, False, 3, 1, 8), 1)
    policy.record_answer(target, Brittleness(5, False, 3, 0, 8), 1)
    assert policy.accepts(target, NO_REQUESTS, 1)


def test_router_that_was_rejected_holds_back():
    policy = BrittleTargets(1)
    target = BrittleFleet(1, 5).targets[0].target
    told = policy.record_answer(target, Brittleness(5, True, 6, 0, 8), 0)
    assert told.full_requests == 6
    assert not policy.accepts(target, NO_REQUESTS, 0.9)
    assert policy.wait_seconds(target, NO_REQUESTS, 0.1) == 0.9
    assert policy.accepts(target, NO_REQUESTS, 1)


def test_target_that_could_not_be_reached_is_filled_step_by_step():
    policy = BrittleTargets(1)
    target = BrittleFleet(1, 5).targets[0].target
    policy.record_answer(target, Brittleness(5, False, 0, 0, 8), 0)
    assert policy.accepts(target, RequestCounts(7, 7), 1)
    policy.record_unreachable(target, 1)
    assert policy.accepts(target, NO_REQUESTS, 1)
    assert not policy.accepts(target, RequestCounts(1, 1), 1)
    assert policy.accepts(target, RequestCounts(1, 1), 1.5)
    assert not policy.accepts(target, RequestCounts(7, 7), 2)
    assert policy.accepts(target, RequestCounts(7, 7), 4)


def test_large_target_is_filled_within_some_seconds():
    policy = BrittleTargets(1)
    target = BrittleFleet(1, 5).targets[0].target
    policy.record_answer(target, Brittleness(5, False, 0, 0, 64), 0)
    policy.record_unreachable(target, 1)
    assert not policy.accepts(target, RequestCounts(14, 14), 2)
    assert not policy.accepts(target, RequestCounts(63, 63), 4)
    assert policy.accepts(target, RequestCounts(63, 63), 1 + FILL_SECONDS)


def test_target_of_another_service_is_free():
    policy = BrittleTargets(1)
    target = BrittleFleet(1, 5).targets[0].target
    policy.record_answer(target, Brittleness(5, False, 8, 0, 8), 0)
    other = replace(target, name='other', pool=Pool('a', 'another'))
    unheard = replace(target, name='unheard')
    full = RequestCounts(8, 8)
    assert policy.accepts(other, full, 0)
    assert not policy.accepts(unheard, full, 0)
    assert policy.is_brittle(unheard, 0)


def test_router_that_knows_no_brittle_target_accepts_all():
    fleet = BrittleFleet(1, None)
    policy = BrittleTargets(1)
    assert policy.accepts(fleet.targets[0].target, RequestCounts(99, 99), 0)
    assert policy.wait_seconds(fleet.targets[0].target, NO_REQUESTS, 0) == 0
