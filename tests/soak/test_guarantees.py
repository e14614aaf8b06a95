"""Each check of the soak test reports the violation that it guards against."""

from dataclasses import replace
from types import SimpleNamespace

import pytest

from tests.soak.cluster import SoakCluster
from tests.soak.guarantees import GuaranteeChecker, Outcome

SERVED = Outcome('q1', 'book', 'r0', 0, 0.1, 200, b'q1')


@pytest.fixture
def checker():
    new_checker = GuaranteeChecker(1.5)
    new_checker.record_sent('q1', may_repeat=False)
    return new_checker


def test_request_executed_once_and_answered_is_allowed(checker):
    checker.record_run('q1', 't0', has_left=False)
    checker.record_outcome(SERVED, is_disturbed=False)
    assert not checker.violations


def test_second_execution_of_a_booking_is_a_violation(checker):
    checker.record_run('q1', 't0', has_left=False)
    checker.record_run('q1', 't1', has_left=False)
    assert 'ran twice' in checker.violations[0]


def test_second_execution_of_a_lookup_is_allowed(checker):
    checker.record_sent('q2', may_repeat=True)
    checker.record_run('q2', 't0', has_left=False)
    checker.record_run('q2', 't1', has_left=False)
    assert not checker.violations


def test_refusal_of_an_executed_request_is_a_violation(checker):
    checker.record_run('q1', 't0', has_left=False)
    checker.record_outcome(replace(SERVED, status=503), is_disturbed=False)
    assert 'said not run' in checker.violations[0]


def test_execution_after_a_refusal_is_a_violation(checker):
    checker.record_outcome(replace(SERVED, status=503), is_disturbed=False)
    checker.record_run('q1', 't0', has_left=False)
    assert 'after a refusal' in checker.violations[0]


def test_response_to_another_request_is_a_violation(checker):
    checker.record_outcome(replace(SERVED, body=b'q7'), is_disturbed=False)
    assert 'not the response' in checker.violations[0]


def test_execution_on_a_target_that_has_left_is_a_violation(checker):
    checker.record_run('q1', 't0', has_left=True)
    assert 'had left' in checker.violations[0]


def test_late_response_is_a_violation_unless_its_router_was_disturbed(checker):
    late = replace(SERVED, duration_seconds=3)
    checker.record_outcome(late, is_disturbed=True)
    assert not checker.violations
    checker.record_outcome(late, is_disturbed=False)
    assert 'too late' in checker.violations[0]


CUT = replace(SERVED, status=0, error='cut')


def test_planned_stop_that_cuts_an_executed_request_is_a_violation(checker):
    checker.record_run('q1', 't0', has_left=False)
    checker.record_cut(CUT)
    assert 'planned stop' in checker.violations[0]


def test_planned_stop_that_cuts_late_is_a_violation(checker):
    checker.record_cut(replace(CUT, duration_seconds=0.3))
    assert 'planned stop' in checker.violations[0]


def test_request_sent_while_its_connection_closes_may_be_cut(checker):
    """No router read the request and no target ran it (soak seeds 15, 35)."""
    checker.record_cut(CUT)
    assert not checker.violations


# Guards against a soak that passes although a task of a router has ended.
def test_a_failed_task_in_a_log_is_a_violation(tmp_path):
    cluster = SoakCluster(tmp_path)
    cluster.routers.append(SimpleNamespace(name='r0'))
    log = tmp_path / 'r0.log'
    log.write_text('{"event":"router.started"}\n')
    cluster.record_failed_tasks()
    assert not cluster.violations
    log.write_text('{"event":"task.failed","task":"probe"}\n')
    cluster.record_failed_tasks()
    assert len(cluster.violations) == 1
