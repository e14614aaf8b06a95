"""Tests of crashes whose restarts are not heard of."""

import pytest

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.policy.crashes.untold_restarts import UntoldRestarts

TARGET = Target('t', 'h:1', TargetKind.service, Pool('p', 'a'), incarnation='1')


@pytest.fixture
def restarts():
    return UntoldRestarts()


def test_requests_of_one_crash_have_one_id(restarts):
    first = restarts.record_crash(TARGET, 1.0, 2.0, is_told=False)
    assert restarts.record_crash(TARGET, 1.9, 2.5, is_told=False) == first


def test_a_request_after_the_crash_shows_a_restart(restarts):
    ids = [
        restarts.record_crash(TARGET, at, at + 0.5, is_told=False)
        for at in range(1, 5)
    ]
    assert len(set(ids)) == 4


# Guards against a sound target that is taken to have crashed often, since its
# connections break again while its entry is up to date.
def test_entries_that_are_up_to_date_show_that_it_has_not_restarted(restarts):
    ids = {
        restarts.record_crash(TARGET, at, at + 0.5, is_told=True)
        for at in range(1, 5)
    }
    assert len(ids) == 1


def test_routers_agree_on_the_first_crash():
    ids = {
        UntoldRestarts().record_crash(TARGET, at, 5.0, is_told=at == 1)
        for at in (1, 2)
    }
    assert len(ids) == 1
