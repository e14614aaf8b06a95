"""Tests of the limit on retries over all routers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from peridotwell.policy.retries.retry_window import RetryWindow

RATIO, SLACK, SECONDS = 0.2, 50.0, 10.0


@pytest.mark.parametrize('routers', [1, 3, 9])
def test_retries_of_a_fleet_keep_the_limit_if_all_requests_fail(routers):
    """Every request fails, and each router wants to retry each of them."""
    windows = [RetryWindow(RATIO, SLACK, SECONDS) for _ in range(routers)]
    retries = 0
    requests = 0
    for step in range(990):
        now = step / 100
        for window in windows:
            window.record_request(now)
            requests += 1
            if window.allows_retry(now, routers):
                window.record_retry(now)
                retries += 1
    assert 0 < retries <= RATIO * requests + SLACK


@given(st.lists(st.floats(0, 30), min_size=1, max_size=200))
def test_every_window_keeps_the_limit(times):
    window = RetryWindow(RATIO, SLACK, SECONDS)
    requests, retries = [], []
    for now in sorted(times):
        window.record_request(now)
        requests.append(now)
        while window.allows_retry(now, 1):
            window.record_retry(now)
            retries.append(now)
    for end in retries:
        recent_retries = sum(end - SECONDS <= at <= end for at in retries)
        recent_requests = sum(end - SECONDS <= at <= end for at in requests)
        assert recent_retries <= RATIO * recent_requests + SLACK


def test_retries_are_allowed_again_after_the_window():
    window = RetryWindow(RATIO, SLACK, SECONDS)
    window.record_request(0)
    while window.allows_retry(0, 1):
        window.record_retry(0)
    assert window.allows_retry(10.1, 1)
