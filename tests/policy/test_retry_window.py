"""Second sends keep their share over all routers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from peridotwell.policy.retry_window import RetryWindow

RATIO, SLACK, SECONDS = 0.2, 50.0, 10.0


@pytest.mark.parametrize('routers', [1, 3, 9])
def test_a_storm_of_failures_keeps_the_bound_of_the_fleet(routers):
    """Every request fails: each router wants to send each once more."""
    windows = [RetryWindow(RATIO, SLACK, SECONDS) for _ in range(routers)]
    repeats = 0
    requests = 0
    for step in range(990):
        now = step / 100
        for window in windows:
            window.record_request(now)
            requests += 1
            if window.allows_retry(now, routers):
                window.record_retry(now)
                repeats += 1
    assert 0 < repeats <= RATIO * requests + SLACK


@given(st.lists(st.floats(0, 30), min_size=1, max_size=200))
def test_every_window_keeps_the_bound(times):
    window = RetryWindow(RATIO, SLACK, SECONDS)
    requests, repeats = [], []
    for now in sorted(times):
        window.record_request(now)
        requests.append(now)
        while window.allows_retry(now, 1):
            window.record_retry(now)
            repeats.append(now)
    for end in repeats:
        recent = sum(end - SECONDS <= at <= end for at in repeats)
        asked = sum(end - SECONDS <= at <= end for at in requests)
        assert recent <= RATIO * asked + SLACK


def test_the_budget_comes_back_with_time():
    window = RetryWindow(RATIO, SLACK, SECONDS)
    window.record_request(0)
    while window.allows_retry(0, 1):
        window.record_retry(0)
    assert window.allows_retry(10.1, 1)
