"""Paces of targets: their average, what is told of them, and their end."""

import random

import pytest

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.policy.load.target_paces import (
    NO_PACES,
    PaceRecord,
    TargetPaces,
    relative_speeds,
)
from tests.fleet.relays.test_update_exchange import Router, run_ticks

TARGET, OTHER = (
    Target(name, '10.0.0.1:80', TargetKind.service, Pool('a', 's'))
    for name in ('t', 'o')
)


@pytest.fixture
def paces():
    return TargetPaces()


def report(paces, pace, begin, end, interval):
    """Report a pace, or a function of the report's number; return the told."""
    told = []
    for number in range(int((end - begin) / interval)):
        value = pace(number) if callable(pace) else pace
        record = paces.record(TARGET, value, begin + number * interval)
        if record is not None:
            told.append(record)
    return told


# Guards against a choice that changes many times a second, and against routers
# that tell each other each change.
@pytest.mark.parametrize('interval', [0.01, 0.1])
def test_flicker_is_ignored(paces, interval):
    rng = random.Random(1)
    told = report(
        paces, lambda _: rng.choice((0.6, 1.6)), 0, 1000 * interval, interval
    )
    assert not told
    assert paces.pace(TARGET, 1000 * interval) == 1


@pytest.mark.parametrize('pace', [4, 2, 0.5])
def test_lasting_change_is_followed_and_told(paces, pace):
    told = report(paces, pace, 0, 5, 0.03)
    assert paces.pace(TARGET, 5) == pytest.approx(pace, rel=0.05)
    assert told[-1].percent == pytest.approx(pace * 100, rel=0.12)
    assert len(told) <= 8
    report(paces, 1, 5, 12, 0.03)
    assert paces.pace(TARGET, 12) == 1


# Guards against a silent target that is taken for slow for ever.
def test_pace_that_is_not_renewed_decays(paces):
    report(paces, 4, 0, 5, 0.03)
    assert paces.pace(TARGET, 20) == pytest.approx(4, rel=0.05)
    assert 1 < paces.pace(TARGET, 35) < 2
    assert paces.pace(TARGET, 60) < 1.05
    paces.expire(66)
    assert paces.is_empty


def test_pace_of_another_incarnation_does_not_count(paces):
    paces.merge((PaceRecord(TARGET.wire_id, 1, 400),), 0)
    assert paces.pace(TARGET, 0) == 1


def test_unusable_record_is_ignored(paces):
    paces.merge((PaceRecord(*TARGET.incarnation_id, 0),), 0)
    assert paces.is_empty


# Guards against another choice than without paces.
def test_equal_paces_are_none(paces):
    for target in (TARGET, OTHER):
        paces.merge((PaceRecord(*target.incarnation_id, 200),), 0)
    assert paces.paces((TARGET, OTHER), 0) is NO_PACES


def test_mean_of_relative_speeds_is_one():
    assert relative_speeds(('a', 'b'), {'a': 3, 'b': 1}) == [0.5, 1.5]


# Guards against a slow target that most routers hear too little from.
def test_pace_reaches_routers_that_have_not_heard_from_the_target():
    routers = {}
    fleet = [Router(f'r{number}', routers) for number in range(3)]
    for router in fleet:
        router.sharing.discovery.add_peers(each.hello for each in fleet)
    run_ticks(fleet, 0, 1)
    first = fleet[0]
    told = report(first.knowledge.target_paces, 4, 1, 5, 0.03)
    first.sharing.pace_sync.share(told)
    run_ticks(fleet, 5, 5.2)
    for router in fleet:
        known = router.knowledge.target_paces
        assert known.pace(TARGET, 5.2) == pytest.approx(4, rel=0.15)
        # Others do not repeat it, so that its age remains the true one.
        assert bool(list(known.to_repeat(5.2))) is (router is first)
