"""The soak's own checks: each fails on what it is there for."""

from dataclasses import replace

import pytest

from tests.soak.promises import Outcome, Promises

SERVED = Outcome('q1', 'book', 'r0', 0, 0.1, 200, b'q1')


@pytest.fixture
def promises():
    made = Promises(1.5)
    made.sent('q1', may_repeat=False)
    return made


def test_a_request_that_runs_once_and_is_answered_is_fine(promises):
    promises.ran('q1', 't0', is_leaving=False)
    promises.ended(SERVED, is_disturbed=False)
    assert not promises.broken


def test_a_booking_that_runs_twice(promises):
    promises.ran('q1', 't0', is_leaving=False)
    promises.ran('q1', 't1', is_leaving=False)
    assert 'ran twice' in promises.broken[0]


def test_a_lookup_may_run_twice(promises):
    promises.sent('q2', may_repeat=True)
    promises.ran('q2', 't0', is_leaving=False)
    promises.ran('q2', 't1', is_leaving=False)
    assert not promises.broken


def test_a_refusal_of_what_has_run(promises):
    promises.ran('q1', 't0', is_leaving=False)
    promises.ended(replace(SERVED, status=503), is_disturbed=False)
    assert 'said not run' in promises.broken[0]


def test_a_run_after_a_refusal(promises):
    promises.ended(replace(SERVED, status=503), is_disturbed=False)
    promises.ran('q1', 't0', is_leaving=False)
    assert 'after a refusal' in promises.broken[0]


def test_the_answer_to_another_request(promises):
    promises.ended(replace(SERVED, body=b'q7'), is_disturbed=False)
    assert 'not the answer' in promises.broken[0]


def test_work_on_a_target_that_has_left(promises):
    promises.ran('q1', 't0', is_leaving=True)
    assert 'had left' in promises.broken[0]


def test_an_answer_that_comes_too_late(promises):
    late = replace(SERVED, took_seconds=3)
    promises.ended(late, is_disturbed=True)
    assert not promises.broken
    promises.ended(late, is_disturbed=False)
    assert 'too late' in promises.broken[0]


CUT = replace(SERVED, status=0, error='cut')


def test_a_planned_stop_that_cuts_what_ran(promises):
    promises.ran('q1', 't0', is_leaving=False)
    promises.cut(CUT)
    assert 'planned stop' in promises.broken[0]


def test_a_planned_stop_that_cuts_late(promises):
    promises.cut(replace(CUT, took_seconds=0.3))
    assert 'planned stop' in promises.broken[0]


def test_a_request_that_crosses_the_close(promises):
    """Seeds 15 and 35: no router has read it and no target runs it."""
    promises.cut(CUT)
    assert not promises.broken
