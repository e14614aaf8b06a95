"""Brittle targets under many routers with old counts, without a network."""

from dataclasses import replace

import pytest

from peridotwell.domain.target import Pool
from peridotwell.policy.borrowed_slots import KNOWN_AFTER_SECONDS, BorrowedSlots
from peridotwell.policy.brittle_notice import (
    DENIAL_SECONDS,
    TTL_SECONDS,
    Rejection,
)
from peridotwell.policy.brittle_notices import (
    DENIAL_REPEAT_SECONDS,
    END_DELAY_SECONDS,
)
from peridotwell.policy.brittle_targets import (
    FILL_SECONDS,
    QUEUE_HOLD_SECONDS,
    BrittleTargets,
    RequestCounts,
)
from peridotwell.policy.brittleness import Brittleness, parse_max_rejections
from peridotwell.policy.router_shares import RouterRanks, share
from tests.policy.brittle_fleet import (
    DOWN_SECONDS,
    MEAN_WORK_SECONDS,
    BrittleFleet,
)

CONTACT_SECONDS = 3.0
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


def burst_fleet(routers, max_rejections=5, **changes):
    """Return a fleet that has known for 3 s that its targets are brittle."""
    fleet = BrittleFleet(routers, max_rejections, **changes)
    fleet.run(CONTACT_SECONDS, 0.5)
    return fleet


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


def test_end_frees_targets_at_all_routers():
    fleet = burst_fleet(7)
    for target in fleet.targets:
        target.max_rejections = None
    fleet.run(CONTACT_SECONDS, 0.5)
    full = RequestCounts(100, 1000)
    for router in fleet.routers:
        for target in fleet.targets:
            assert router.policy.accepts(target.target, full, fleet.now)
    fleet.run(TTL_SECONDS + 3, 0.5)
    assert all(router.policy.notices.is_empty for router in fleet.routers)


def test_end_of_the_time_is_not_held_up_by_a_target_that_is_gone():
    fleet = burst_fleet(7)
    fleet.fall(fleet.targets[0])
    fleet.targets[0].down_until = 1000
    for target in fleet.targets:
        target.max_rejections = None
    fleet.run(2 * CONTACT_SECONDS, 0.5)
    full = RequestCounts(100, 1000)
    for router in fleet.routers:
        assert router.policy.accepts(fleet.targets[0].target, full, fleet.now)


def test_shares_of_all_routers_add_up_to_the_whole():
    routers = range(1, 60)
    ranks = []
    for router in routers:
        known = RouterRanks(router)
        known.set_routers(routers)
        ranks.append(known.rank(7))
    assert sorted(ranks) == list(range(59))
    for total in (0, 1, 8, 64):
        assert sum(share(total, 59, rank) for rank in ranks) == total


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


def test_rejection_of_another_router_is_known_whatever_was_said_since():
    told, hearing = BrittleTargets(1), BrittleTargets(2)
    target = BrittleFleet(1, 5).targets[0].target
    record = told.record_answer(target, Brittleness(5, True, 3, 0, 8), 0)
    hearing.record_answer(target, Brittleness(5, False, 3, 0, 8), 0.1)
    hearing.notices.merge([record], 0.1)
    assert hearing.notices.rejection(target) == Rejection(3, 0.1)
    assert hearing.accepts(target, RequestCounts(2, 2), 0.1)
    assert not hearing.accepts(target, RequestCounts(3, 3), 0.1)


def test_notices_are_bounded():
    policy = BrittleTargets(1)
    target = BrittleFleet(1, 5).targets[0].target
    for number in range(5000):
        each = replace(target, name=f't{number}')
        policy.record_answer(each, Brittleness(5, False, 0, 0, 8), 0)
    assert len(list(policy.notices.to_repeat(0))) <= 4096
    assert len(policy._states) <= 4096


@pytest.mark.parametrize(
    ('text', 'per_second'),
    [
        ('5', 5),
        ('0', 0),
        ('2.5', 2.5),
        ('', None),
        ('many', None),
        ('-1', None),
        ('nan', None),
        ('inf', None),
    ],
)
def test_numbers_are_read_from_their_text(text, per_second):
    assert parse_max_rejections(text) == per_second


def test_borrowed_slots_count_until_they_are_free_or_known():
    borrowed = BorrowedSlots()
    borrowed.record_send(0)
    borrowed.record_send(1)
    assert borrowed.count(2, 1) == 2
    assert borrowed.count(2, KNOWN_AFTER_SECONDS) == 1
    assert borrowed.count(0, KNOWN_AFTER_SECONDS) == 0


def test_router_that_knows_no_brittle_target_accepts_all():
    fleet = BrittleFleet(1, None)
    policy = BrittleTargets(1)
    assert policy.accepts(fleet.targets[0].target, RequestCounts(99, 99), 0)
    assert policy.wait_seconds(fleet.targets[0].target, NO_REQUESTS, 0) == 0


# Guards against brittle targets that fall over (soak seed 3667): an answer that
# was held up since before the notice ended it.
def test_an_answer_to_an_earlier_request_does_not_end_brittleness():
    policy = BrittleTargets()
    (target,) = _targets(1)
    policy.record_answer(target, Brittleness(5, False, 0, 0, 8), 5)
    late = 5 + 2 * END_DELAY_SECONDS
    assert policy.record_answer(target, None, late, sent_at=4.9) is None
    assert policy.is_brittle(target, late)
    assert policy.record_answer(target, None, late, sent_at=5.1) is not None
    assert not policy.is_brittle(target, late)


# Guards against a silent brittle target that counts as sound because of an old
# answer of another one.
def test_an_answer_to_an_earlier_request_does_not_speak_for_a_service():
    policy = BrittleTargets()
    target, other, new = _targets(3)
    policy.record_answer(target, Brittleness(5, False, 0, 0, 8), 5)
    policy.record_answer(other, None, 10, sent_at=4.9)
    assert policy.is_brittle(new, 10)
    policy.record_answer(other, None, 10, sent_at=9.9)
    assert not policy.is_brittle(new, 10.1)


# Guards against a router without slots that serves nothing for 20 s (soak seed
# 41): a brittle target starts again and is sound, which only others can learn.
def test_end_at_a_target_that_has_restarted_is_told_to_all_routers():
    hearing, told = BrittleTargets(1), BrittleTargets(2)
    target, other = _targets(2)
    record = hearing.record_answer(target, Brittleness(5, False, 0, 0, 8), 0)
    told.notices.merge([record], 0)
    restarted = replace(target, incarnation='again')
    full = RequestCounts(8, 8)
    assert not told.accepts(restarted, full, 1)
    record = hearing.record_answer(restarted, None, 1)
    told.notices.merge([record], 1)
    assert told.accepts(restarted, full, 1)
    assert told.accepts(other, full, 30)


# Guards against sound targets whose slots are divided among the routers because
# another target of their service is brittle (soak seeds 41 and 42).
def test_answer_without_a_number_frees_its_target_for_a_time():
    hearing, told = BrittleTargets(1), BrittleTargets(2)
    brittle, sound = _targets(2)
    full = RequestCounts(8, 8)
    record = hearing.record_answer(brittle, Brittleness(5, False, 0, 0, 8), 0)
    told.notices.merge([record], 0)
    record = hearing.record_answer(sound, None, 1, sent_at=0.5)
    told.notices.merge([record], 1)
    for policy in (hearing, told):
        assert policy.accepts(sound, full, 0.4 + DENIAL_SECONDS)
        assert not policy.accepts(sound, full, 0.5 + DENIAL_SECONDS)
        assert not policy.accepts(brittle, full, 1)


def test_answers_without_a_number_are_told_from_time_to_time():
    policy = BrittleTargets(1)
    brittle, sound = _targets(2)
    assert policy.record_answer(sound, None, 0) is None
    policy.record_answer(brittle, Brittleness(5, False, 0, 0, 8), 0)
    assert policy.record_answer(sound, None, 1) is not None
    soon = 0.9 + DENIAL_REPEAT_SECONDS
    assert policy.record_answer(sound, None, soon) is None
    assert policy.record_answer(sound, None, 0.1 + soon) is not None
    policy.expire(TTL_SECONDS)
    assert policy.record_answer(sound, None, TTL_SECONDS) is None


def test_answer_to_an_old_request_does_not_free_its_target():
    policy = BrittleTargets(1)
    brittle, sound = _targets(2)
    policy.record_answer(brittle, Brittleness(5, False, 0, 0, 8), 0)
    policy.record_answer(sound, None, 5, sent_at=5 - DENIAL_SECONDS)
    assert policy.is_brittle(sound, 5)


def _targets(count):
    return [each.target for each in BrittleFleet(1, 5).targets[:count]]
