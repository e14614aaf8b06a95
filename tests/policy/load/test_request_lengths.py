"""Durations of requests by route, and ranks of priorities."""

import pytest

from peridotwell.policy.load.request_lengths import RequestLengths
from peridotwell.policy.room.urgency_ranks import MEMORY_SECONDS, UrgencyRanks


def test_short_routes_are_those_below_the_mean_of_the_service():
    lengths = RequestLengths()
    assert not lengths.is_short('s', 'tags')
    for _ in range(100):
        lengths.record('s', 'tags', 0.1)
        lengths.record('s', 'reviews', 2)
        lengths.record('other', 'reviews', 9)
    assert lengths.is_short('s', 'tags')
    assert not lengths.is_short('s', 'reviews')
    assert not lengths.is_short('s', 'unknown')


def test_a_service_with_one_route_has_no_short_requests():
    lengths = RequestLengths()
    lengths.record('s', 'only', 2)
    lengths.record('s', 'only', 1)
    assert not lengths.is_short('s', 'only')


def test_served_requests_follow_from_the_mean_duration():
    lengths = RequestLengths()
    assert lengths.served('s', 10, 1) == 0
    lengths.record('s', 'only', 2)
    assert lengths.served('s', 10, 1) == 5


# Guards against room that is kept for requests that do not come.
def test_rank_counts_the_more_urgent_priorities_seen_lately():
    ranks = UrgencyRanks()
    assert ranks.rank('s', 5, 0) == 0
    assert ranks.rank('s', 0, 0) == 0
    assert ranks.rank('s', 5, 1) == 1
    assert ranks.rank('s', 7, 1) == 2
    assert ranks.rank('other', 7, 1) == 0
    assert ranks.rank('s', 7, MEMORY_SECONDS) == 1


# Guards against estimates that go by the first request alone, which a faulty
# target may have held for long.
def test_first_request_weighs_like_those_after_it():
    lengths = RequestLengths()
    lengths.record('s', 'r', 10)
    for _ in range(9):
        lengths.record('s', 'r', 1)
    assert lengths.served('s', 19, 1) == pytest.approx(10)
