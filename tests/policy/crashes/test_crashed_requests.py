"""Tests of the requests that crash targets, without a network."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from peridotwell.policy.crashes import crashed_requests
from peridotwell.policy.crashes.crashed_requests import (
    RECORD_TTL_SECONDS,
    CrashedRequests,
)
from peridotwell.policy.crashes.loss_records import Loss, LossRecord

LIMIT = 3
FINGERPRINT = 2**63 + 9


@pytest.fixture
def requests():
    return CrashedRequests()


def lose(requests, incarnations, now=0.0):
    return [
        requests.record_loss(FINGERPRINT, incarnation, now)
        for incarnation in incarnations
    ]


def test_a_request_is_refused_from_the_limit_on(requests):
    lose(requests, range(LIMIT - 1))
    assert not requests.is_refused(FINGERPRINT, LIMIT, 0)
    lose(requests, [LIMIT])
    assert requests.is_refused(FINGERPRINT, LIMIT, 0)
    assert not requests.is_refused(FINGERPRINT + 1, LIMIT, 0)


def test_losses_of_one_incarnation_count_once(requests):
    lose(requests, [5, 5, 5, 5])
    assert requests.lost_incarnations(FINGERPRINT, 0) == {5}


def test_a_cleared_request_starts_again(requests):
    lose(requests, range(LIMIT))
    assert requests.clear(FINGERPRINT, 1)
    assert not requests.clear(FINGERPRINT, 1)
    lose(requests, range(LIMIT + 1), now=2)
    assert requests.lost_incarnations(FINGERPRINT, 2) == {LIMIT}


def test_records_expire_after_the_last_loss(requests):
    lose(requests, range(LIMIT - 1))
    lose(requests, [LIMIT], now=20)
    end = 20 + RECORD_TTL_SECONDS
    assert requests.is_refused(FINGERPRINT, LIMIT, end - 0.1)
    assert not requests.is_refused(FINGERPRINT, LIMIT, end)
    requests.expire(end)
    assert not list(requests.to_repeat(end))
    lose(requests, [9], now=end)
    assert requests.lost_incarnations(FINGERPRINT, end) == {9}


def test_an_expired_record_of_another_router_is_not_taken(requests):
    old = LossRecord(FINGERPRINT, (Loss(1, 1),), age_seconds=RECORD_TTL_SECONDS)
    requests.merge((old,), 100)
    assert not requests.lost_incarnations(FINGERPRINT, 100)


# Guards against requests that are refused for as long as the clock of another
# router is ahead: records carry their age, not a time of day.
def test_records_carry_their_age(requests):
    told = lose(requests, range(LIMIT), now=1000)[-1]
    assert told.age_seconds == 0
    (repeated,) = requests.to_repeat(1020)
    assert repeated.age_seconds == 20
    other = CrashedRequests()
    other.merge((repeated,), 5)
    assert other.is_refused(FINGERPRINT, LIMIT, 14.9)
    assert not other.is_refused(FINGERPRINT, LIMIT, 15)


def test_the_number_of_records_is_bounded(requests, monkeypatch):
    monkeypatch.setattr(crashed_requests, 'MAX_RECORDS', 10)
    for fingerprint in range(30):
        requests.record_loss(fingerprint, 1, 0)
        requests.record_loss(fingerprint, 2, 0)
    assert [record.cause for record in requests.to_repeat(0)] == [
        *range(20, 30)
    ]


RECORDS = st.builds(
    LossRecord,
    st.just(FINGERPRINT),
    st.lists(st.builds(Loss, st.integers(0, 9), st.just(9)), max_size=4).map(
        lambda losses: tuple(sorted(set(losses)))
    ),
    st.lists(st.integers(0, 9), max_size=4).map(
        lambda cleared: tuple(sorted(set(cleared)))
    ),
    st.just(0),
)


@given(st.lists(RECORDS, max_size=6), st.randoms())
def test_routers_agree_whatever_the_order_of_records(records, random):
    first, second = CrashedRequests(), CrashedRequests()
    first.merge(records, 0)
    shuffled = [*records, *records]
    random.shuffle(shuffled)
    second.merge(shuffled, 0)
    assert first.lost_incarnations(FINGERPRINT, 0) == (
        second.lost_incarnations(FINGERPRINT, 0)
    )
