"""The soak's own checks: each fails on what it is there for."""

from dataclasses import replace

import pytest

from tests.soak.guarantees import GuaranteeChecker, Outcome

SERVED = Outcome('q1', 'book', 'r0', 0, 0.1, 200, b'q1')


@pytest.fixture
def checker():
    made = GuaranteeChecker(1.5)
    made.record_sent('q1', may_repeat=False)
    return made


def test_a_request_that_runs_once_and_is_answered_is_fine(checker):
    checker.record_run('q1', 't0', is_leaving=False)
    checker.record_outcome(SERVED, is_disturbed=False)
    assert not checker.violations


def test_a_booking_that_runs_twice(checker):
    checker.record_run('q1', 't0', is_leaving=False)
    checker.record_run('q1', 't1', is_leaving=False)
    assert 'ran twice' in checker.violations[0]


def test_a_lookup_may_run_twice(checker):
    checker.record_sent('q2', may_repeat=True)
    checker.record_run('q2', 't0', is_leaving=False)
    checker.record_run('q2', 't1', is_leaving=False)
    assert not checker.violations


def test_a_refusal_of_what_has_run(checker):
    checker.record_run('q1', 't0', is_leaving=False)
    checker.record_outcome(replace(SERVED, status=503), is_disturbed=False)
    assert 'said not run' in checker.violations[0]


def test_a_run_after_a_refusal(checker):
    checker.record_outcome(replace(SERVED, status=503), is_disturbed=False)
    checker.record_run('q1', 't0', is_leaving=False)
    assert 'after a refusal' in checker.violations[0]


def test_the_answer_to_another_request(checker):
    checker.record_outcome(replace(SERVED, body=b'q7'), is_disturbed=False)
    assert 'not the answer' in checker.violations[0]


def test_work_on_a_target_that_has_left(checker):
    checker.record_run('q1', 't0', is_leaving=True)
    assert 'had left' in checker.violations[0]


def test_an_answer_that_comes_too_late(checker):
    late = replace(SERVED, took_seconds=3)
    checker.record_outcome(late, is_disturbed=True)
    assert not checker.violations
    checker.record_outcome(late, is_disturbed=False)
    assert 'too late' in checker.violations[0]


CUT = replace(SERVED, status=0, error='cut')


def test_a_planned_stop_that_cuts_what_ran(checker):
    checker.record_run('q1', 't0', is_leaving=False)
    checker.record_cut(CUT)
    assert 'planned stop' in checker.violations[0]


def test_a_planned_stop_that_cuts_late(checker):
    checker.record_cut(replace(CUT, took_seconds=0.3))
    assert 'planned stop' in checker.violations[0]


def test_a_request_that_crosses_the_close(checker):
    """Seeds 15 and 35: no router has read it and no target runs it."""
    checker.record_cut(CUT)
    assert not checker.violations
