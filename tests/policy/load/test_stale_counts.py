"""Tests of the choice among targets whose counts are late."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.policy.load.stale_counts import RequestDuration, fill_level
from peridotwell.policy.placement.choice import Candidate, choose_least_loaded

LOADS = st.lists(st.floats(0, 100), min_size=1, max_size=20)


@given(LOADS, st.floats(0.5, 500))
def test_room_below_the_level_is_the_number_of_requests(loads, requests):
    level = fill_level(loads, requests)
    room = sum(max(level - load, 0) for load in loads)
    assert room == pytest.approx(requests, abs=1e-6)


@given(LOADS)
def test_without_unseen_requests_only_the_lowest_loads_have_room(loads):
    assert min(loads) < fill_level(loads, 0) <= min(loads) + 0.5


def test_arrivals_follow_from_outstanding_requests_and_their_duration():
    duration = RequestDuration()
    assert duration.arrivals(20, 0.2) == 0
    for _ in range(10):
        duration.record(0.5)
    assert duration.arrivals(20, 0.2) == pytest.approx(8)


def make_candidates(loads, data_centres):
    return [
        Candidate(
            Target(
                f't{number}',
                '10.0.0.1:80',
                TargetKind.service,
                Pool(data_centre, 's'),
            ),
            load,
        )
        for number, (load, data_centre) in enumerate(
            zip(loads, data_centres, strict=True)
        )
    ]


def chosen_names(candidates, unseen):
    return [
        choose_least_loaded(candidates, 'a', f'r{key}', unseen).target.name
        for key in range(400)
    ]


def test_the_least_loaded_target_is_chosen_if_counts_are_complete():
    candidates = make_candidates((3, 0, 2), 'aaa')
    assert set(chosen_names(candidates, 0)) == {'t1'}


def test_the_own_data_centre_comes_first_among_equal_targets():
    candidates = make_candidates((1, 1, 1), 'bab')
    assert set(chosen_names(candidates, 0)) == {'t1'}


def test_targets_that_others_may_have_filled_are_chosen_by_their_room():
    """With 12 requests on their way, the level is 6: room for 6, 4 and 2."""
    candidates = make_candidates((0, 2, 4), 'aaa')
    chosen = chosen_names(candidates, 12)
    assert 160 < chosen.count('t0') < 240
    assert 40 < chosen.count('t2') < 100
