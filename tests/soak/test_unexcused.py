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
    ('ended_at', 'is_found'), [(16.0, True), (17.5, False), (18.9, False)]
)
@pytest.mark.parametrize('of_store', [True, False])
def test_a_bound_runs_from_the_end_of_a_fault(ended_at, is_found, of_store):
    """The router is in touch from three seconds after it."""
    fault = (
        StoreDisturbed(ended_at - 1, ended_at, False)
        if of_store
        else RouterDisturbed(ended_at - 1, ended_at, 'r0')
    )
    left = EntryWritten(10, 't0', 1, 'gone')
    assert bool(find(left, fault, SENT, arrive(21.5))) == is_found


def test_a_run_with_a_dropped_key_is_found():
    left_out = find(*VERSIONS, OLD_KEY, arrive(19.1))
    assert 'CONFIG' in left_out[0]
    assert not find(*VERSIONS, SENT, arrive(19.1))


def test_a_fault_of_another_router_excuses_nothing():
    fault = RouterDisturbed(18, 18.9, 'r1')
    left = EntryWritten(10, 't0', 1, 'gone')
    assert find(left, fault, SENT, arrive(21.5))
