"""The time over which refused callers return."""

import pytest

from peridotwell.policy.retries.return_spread import (
    MAX_SPREAD_SECONDS,
    MEMORY_SECONDS,
    MIN_SPREAD_SECONDS,
    ReturnSpread,
    return_seconds,
)


def spread_after(sent, refused, now=0):
    spread = ReturnSpread()
    for _ in range(sent):
        spread.record_sent('svc', now)
    for _ in range(refused):
        seconds = spread.record_refused('svc', now)
    return seconds


def test_callers_return_as_fast_as_requests_are_sent():
    assert spread_after(sent=20, refused=15) == 1.5
    assert spread_after(sent=20, refused=1) == MIN_SPREAD_SECONDS
    assert spread_after(sent=2, refused=90) == MAX_SPREAD_SECONDS
    assert spread_after(sent=0, refused=1) == 2


def test_earlier_requests_count_less():
    spread = ReturnSpread()
    for _ in range(90):
        spread.record_refused('svc', 0)
    for _ in range(10):
        spread.record_sent('svc', 20)
    assert spread.record_refused('svc', 20) == MIN_SPREAD_SECONDS
    assert spread.record_refused('other', 20) == 2


def test_rate_of_service_is_that_of_the_last_seconds():
    spread = ReturnSpread()
    assert spread.sent_per_second('svc', 0) == 1 / MEMORY_SECONDS
    for step in range(1000):
        spread.record_sent('svc', step / 50)
    assert spread.sent_per_second('svc', 20) == pytest.approx(50, rel=0.02)
    assert spread.is_measured('svc', 20)
    assert spread.sent_per_second('svc', 60) == 1 / MEMORY_SECONDS
    assert not spread.is_measured('svc', 60)


# Guards against times that are longer than callers wait.
def test_the_latest_return_is_bounded():
    times = [return_seconds(0.5, 5, str(number)) for number in range(100)]
    assert 0.5 <= min(times) < 1
    assert max(times) == MAX_SPREAD_SECONDS
    assert return_seconds(7, 5, 'a') == 7
