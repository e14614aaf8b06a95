"""Tests of the limits on the attempts of a request."""

from dataclasses import replace

import pytest

from peridotwell.attempt_errors import (
    ConnectionFailed,
    RefusedByTarget,
    ResponseTimeout,
    RouterUnable,
)
from peridotwell.forwarding.sending.retries import (
    Attempts,
    RetryDecision,
    TriedTargets,
)
from peridotwell.policy.retries.retry_window import RetryWindow
from tests.forwarding.targets.test_crash_tracker import make_request

REQUEST = replace(
    make_request(), route=replace(make_request().route, max_attempts=2)
)


@pytest.fixture
def window():
    return RetryWindow(0, 10, 10)


@pytest.fixture
def attempts(window):
    made = Attempts(REQUEST, window, 1)
    made.begin('t1')
    return made


def test_a_target_is_left_and_returned_to_once(attempts):
    assert attempts.may_retry_after_run(1)
    attempts.leave('t1', 1)
    silent = ResponseTimeout('silent')
    assert attempts.after_failure(silent, 1) is RetryDecision.other_target
    attempts.begin('t2')
    refused = RefusedByTarget('full')
    decisions = [attempts.after_failure(refused, 1) for _ in range(2)]
    assert decisions == [RetryDecision.other_target] * 2
    assert 't2' in attempts.tried
    assert 't3' in attempts.tried
    assert 't1' not in attempts.tried
    assert not attempts.may_retry_after_run(1)
    assert attempts.after_failure(refused, 1) is RetryDecision.give_up


# Guards against many requests that leave a target and then cannot return.
def test_leaving_needs_two_retries(attempts, window):
    for _ in range(6):
        window.record_retry(1)
    assert window.allows_retry(1, 1)
    assert not attempts.may_retry_after_run(1)


@pytest.mark.parametrize('max_attempts', [0, 1])
def test_the_last_target_is_not_left(window, max_attempts):
    route = replace(REQUEST.route, max_attempts=max_attempts)
    attempts = Attempts(replace(REQUEST, route=route), window, 1)
    assert not attempts.may_retry_after_run(1)


def test_a_request_is_not_left_or_returned_after_its_deadline(attempts):
    late = REQUEST.deadline_at + 1
    assert not attempts.may_retry_after_run(late)
    attempts.leave('t1', 1)
    assert not attempts.may_return(late)


def test_a_router_that_is_unable_costs_no_attempt(attempts):
    for _ in range(5):
        unable = RouterUnable('reaches none')
        assert attempts.after_failure(unable, 1) is RetryDecision.other_target
    assert attempts.runs_left == 2
    assert not attempts.may_have_run
    failed = ConnectionFailed('refused')
    assert attempts.after_failure(failed, 1) is RetryDecision.other_target


def test_tried_targets_may_be_all_but_one():
    tried = TriedTargets()
    tried.add('a')
    assert 'a' in tried
    assert 'b' not in tried
    tried.allow_only('a')
    assert 'a' not in tried
    assert 'b' in tried
    assert (list(tried), len(tried)) == (['a'], 1)
