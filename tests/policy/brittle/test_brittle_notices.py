"""What routers know of brittle targets, from answers and from each other."""

from dataclasses import replace

from peridotwell.policy.brittle.brittle_notice import (
    SOUND_SECONDS,
    TTL_SECONDS,
    Rejection,
)
from peridotwell.policy.brittle.brittle_notices import (
    END_DELAY_SECONDS,
    SOUND_REPEAT_SECONDS,
)
from peridotwell.policy.brittle.brittle_targets import (
    BrittleTargets,
    RequestCounts,
)
from peridotwell.policy.brittle.brittleness import Brittleness
from tests.policy.brittle.brittle_fleet import (
    CONTACT_SECONDS,
    BrittleFleet,
    burst_fleet,
)


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
        assert policy.accepts(sound, full, 0.4 + SOUND_SECONDS)
        assert not policy.accepts(sound, full, 0.5 + SOUND_SECONDS)
        assert not policy.accepts(brittle, full, 1)


def test_answers_without_a_number_are_told_from_time_to_time():
    policy = BrittleTargets(1)
    brittle, sound = _targets(2)
    assert policy.record_answer(sound, None, 0) is None
    policy.record_answer(brittle, Brittleness(5, False, 0, 0, 8), 0)
    assert policy.record_answer(sound, None, 1) is not None
    soon = 0.9 + SOUND_REPEAT_SECONDS
    assert policy.record_answer(sound, None, soon) is None
    assert policy.record_answer(sound, None, 0.1 + soon) is not None
    policy.expire(TTL_SECONDS)
    assert policy.record_answer(sound, None, TTL_SECONDS) is None


def test_answer_to_an_old_request_does_not_free_its_target():
    policy = BrittleTargets(1)
    brittle, sound = _targets(2)
    policy.record_answer(brittle, Brittleness(5, False, 0, 0, 8), 0)
    policy.record_answer(sound, None, 5, sent_at=5 - SOUND_SECONDS)
    assert policy.is_brittle(sound, 5)


def _targets(count):
    return [each.target for each in BrittleFleet(1, 5).targets[:count]]
