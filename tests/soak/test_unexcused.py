"""The judgement without the soak's allowances: what it finds and excuses."""

import pytest

from tests.soak.records import (
    Arrived,
    EntryWritten,
    Late,
    RouterDisturbed,
    Sent,
    StoreDisturbed,
    VersionWritten,
)
from tests.soak.unexcused import judge_unexcused

SENT = Sent(19, 'q1-read', 'r0', 'read', 'key-1')
OLD_KEY = Sent(19, 'q1-read', 'r0', 'read', 'extra1')
VERSIONS = tuple(
    VersionWritten(number, number + 0.1, number) for number in range(1, 8)
)


def arrive(at):
    return Arrived(at, 'q1-read', 't0', 1, runs=True)


def find(*records):
    return list(judge_unexcused(records))


@pytest.mark.parametrize('state', ['gone', 'draining'])
def test_a_request_at_a_target_that_left_is_found(state):
    left = EntryWritten(17.5, 't0', 1, state)
    assert not find(left, SENT, arrive(19.4))
    assert 'DRAIN' in find(left, SENT, arrive(19.6))[0]


# Guards against requests that are late only in the soak's own view.
def test_waits_of_the_soak_excuse_nothing():
    left = EntryWritten(17.5, 't0', 1, 'gone')
    late = Late(19.5, 'store 0', 2.0)
    assert find(left, late, SENT, arrive(19.6))


@pytest.mark.parametrize(
    ('left_at', 'is_found'),
    [(9.9, True), (10.5, True), (13.9, True), (14.1, True), (17.5, False)],
)
def test_what_the_store_takes_in_an_outage_counts_from_after_it(
    left_at, is_found
):
    outage = StoreDisturbed(10, 11, False)
    left = EntryWritten(left_at, 't0', 1, 'gone')
    assert bool(find(left, outage, SENT, arrive(19.4))) == is_found


def test_what_the_store_takes_in_an_outage_does_not_count_before():
    outage = StoreDisturbed(15, 16, False)
    left = EntryWritten(15.5, 't0', 1, 'gone')
    assert not find(left, outage, SENT, arrive(20.9))
    assert find(left, outage, SENT, arrive(21.1))


# Guards against what is late in the three seconds after a router was disturbed,
# and goes on after them.
@pytest.mark.parametrize(
    ('ended_at', 'is_found'), [(15.9, True), (16.1, False), (18.9, False)]
)
def test_a_router_is_bound_by_all_that_was_before(ended_at, is_found):
    fault = RouterDisturbed(ended_at - 1, ended_at, 'r0')
    left = EntryWritten(ended_at + 0.1, 't0', 1, 'gone')
    assert bool(find(left, fault, SENT, arrive(21.5))) == is_found


def test_a_run_with_a_dropped_key_is_found():
    left_out = find(*VERSIONS, OLD_KEY, arrive(19.1))
    assert 'CONFIG' in left_out[0]
    assert not find(*VERSIONS, SENT, arrive(19.1))


def test_a_fault_of_another_router_excuses_nothing():
    fault = RouterDisturbed(18, 18.9, 'r1')
    left = EntryWritten(10, 't0', 1, 'gone')
    assert find(left, fault, SENT, arrive(21.5))
