"""Tests of the part of requests that may use a data centre that returns."""

import pytest

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.policy.retries.gradual_return import (
    RAMP_SECONDS,
    admitted_targets,
)

REQUESTS = 2000


def make_targets(**numbers):
    return [
        Target(f'{name}{each}', 'x', TargetKind.service, Pool(name, 's'))
        for name, number in numbers.items()
        for each in range(number)
    ]


def admitted_part(targets, restored, now, data_centre):
    """Return the part of requests that may use a data centre."""
    admitted = (
        admitted_targets(f'q{number}', targets, restored, now)
        for number in range(REQUESTS)
    )
    return (
        sum(
            any(each.pool.data_centre == data_centre for each in targets)
            for targets in admitted
        )
        / REQUESTS
    )


# Guards against a burst at idle targets whose evacuation has ended.
@pytest.mark.parametrize(
    ('seconds', 'part'), [(0, 0.025), (1, 0.075), (2.6, 0.15), (4.9, 0.25)]
)
def test_part_rises_in_steps_to_the_share_of_the_targets(seconds, part):
    targets = make_targets(a=15, b=5)
    found = admitted_part(targets, {'b': 10}, 10 + seconds, 'b')
    assert found == pytest.approx(part, abs=0.03)
    assert admitted_part(targets, {'b': 10}, 10 + seconds, 'a') == 1


def test_all_targets_are_used_after_the_ramp():
    targets = make_targets(a=3, b=1)
    assert admitted_targets('q', targets, {'b': 1}, 1 + RAMP_SECONDS) is targets


# Guards against refusals while only data centres that return have targets.
def test_requests_use_targets_that_return_if_there_are_no_others():
    targets = make_targets(b=1, c=1)
    for number in range(20):
        assert admitted_targets(f'q{number}', targets, {'b': 0, 'c': 0}, 0)
