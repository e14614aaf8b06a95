"""The check of leaving targets reports requests that reach them late."""

import pytest

from tests.soak.leaving_rule import judge_leaving
from tests.soak.records import (
    Arrived,
    EntryWritten,
    Late,
    PathDisturbed,
    RouterDisturbed,
    Sent,
    StoreDisturbed,
)

READY = EntryWritten(0, 't0', 1, 'ready')
LEFT_AT = 10


def judge(after_seconds, *records, state='gone', start=1, sent_before=0.5):
    at = LEFT_AT + after_seconds
    return list(
        judge_leaving(
            sorted(
                (
                    READY,
                    EntryWritten(LEFT_AT, 't0', 1, state),
                    Sent(at - sent_before, 'q1', 'r0', 'read', 'key-1'),
                    Arrived(at, 'q1', 't0', start, True),
                    *records,
                ),
                key=lambda record: record.at,
            )
        )
    )


# Guards against faults of routers that are waits of the soak (seed 2 of 40).
def test_waits_of_the_soak_itself_do_not_count():
    assert not judge(2.1, Late(LEFT_AT + 2, 'targets 1', 0.2))
    for late in (
        Late(LEFT_AT + 2, 'targets 1', 0.05),
        Late(LEFT_AT + 2, 'callers 1', 0.2),
        Late(LEFT_AT + 1, 'targets 1', 0.2),
    ):
        assert judge(2.1, late)


@pytest.mark.parametrize('state', ['draining', 'gone'])
def test_target_that_left_gets_requests_for_two_seconds_only(state):
    assert not judge(1.9, state=state)
    assert 'DRAIN' in judge(2.1, state=state)[0]


def test_removal_after_draining_does_not_begin_the_time_anew():
    assert judge(
        2.1, EntryWritten(LEFT_AT + 1.5, 't0', 1, 'gone'), state='draining'
    )


def test_target_that_started_anew_gets_requests():
    assert not judge(5, EntryWritten(LEFT_AT + 4, 't0', 2, 'ready'), start=2)


@pytest.mark.parametrize(
    'fault',
    [
        RouterDisturbed(LEFT_AT, LEFT_AT + 0.6, 'r0'),
        StoreDisturbed(LEFT_AT - 4, LEFT_AT - 2.9, False),
        PathDisturbed(LEFT_AT, LEFT_AT + 0.6, 't0'),
        PathDisturbed(LEFT_AT, LEFT_AT + 0.6, 't0', 'r0'),
    ],
)
def test_faults_excuse_until_contact(fault):
    assert not judge(3, fault)
    # The answer of a store that was not stable begins no time.
    assert judge(4.2, fault) or isinstance(fault, StoreDisturbed)
    # A target that drains gets nothing after a grace, whatever the fault.
    assert judge(3, fault, state='draining')


@pytest.mark.parametrize(
    'fault',
    [
        RouterDisturbed(LEFT_AT, LEFT_AT + 0.6, 'r1'),
        StoreDisturbed(LEFT_AT - 5, LEFT_AT - 3.1, False),
        PathDisturbed(LEFT_AT, LEFT_AT + 0.6, 't1'),
        PathDisturbed(LEFT_AT, LEFT_AT + 0.6, 't0', 'r1'),
    ],
)
def test_faults_elsewhere_do_not_excuse(fault):
    assert judge(3, fault)


# Guards against an excuse that is wider than the rule: a fault of the store
# after the target has left, which is over when the request is sent.
@pytest.mark.parametrize(
    'fault',
    [
        StoreDisturbed(LEFT_AT + 1, LEFT_AT + 1.1, False),
        Late(LEFT_AT + 2.5, 'store 0', 0.26),
    ],
)
def test_fault_of_the_store_in_between_excuses_nothing(fault):
    assert judge(6.5, fault)


def test_waits_of_the_store_count_until_the_bound_only():
    waits = [Late(LEFT_AT + step / 2, 'store 0', 0.24) for step in range(1, 9)]
    assert judge(3.5, *waits)


# Guards against requests that the network holds (seed 6202 of the field).
@pytest.mark.parametrize('router', ['', 'r0'])
def test_request_that_its_path_holds_is_excused(router):
    hold = PathDisturbed(LEFT_AT + 0.8, LEFT_AT + 2.83, 't0', router)
    assert not judge(2.82, hold, state='draining', sent_before=2)


@pytest.mark.parametrize(
    ('hold', 'sent_before'),
    [
        # It was over when the request arrived.
        (PathDisturbed(LEFT_AT + 0.8, LEFT_AT + 2.81, 't0'), 2),
        # It began when no request was to be sent on any more.
        (PathDisturbed(LEFT_AT + 2.1, LEFT_AT + 2.83, 't0'), 2),
        (PathDisturbed(LEFT_AT + 2.9, LEFT_AT + 3.5, 't0'), 2),
        # The caller sent the request later than that.
        (PathDisturbed(LEFT_AT + 0.8, LEFT_AT + 2.83, 't0'), 0.5),
        # Another path was disturbed.
        (PathDisturbed(LEFT_AT + 0.8, LEFT_AT + 2.83, 't0', 'r1'), 2),
        (PathDisturbed(LEFT_AT + 0.8, LEFT_AT + 2.83, 't1'), 2),
        # What is no path of the request holds nothing.
        (RouterDisturbed(LEFT_AT + 0.8, LEFT_AT + 2.83, 'r0'), 2),
        (StoreDisturbed(LEFT_AT + 0.8, LEFT_AT + 2.83, False), 2),
    ],
)
def test_request_that_its_path_may_not_have_held_is_not_excused(
    hold, sent_before
):
    assert judge(2.82, hold, state='draining', sent_before=sent_before)


# Guards against faults of routers that could not know (seed 6360 of a day): the
# store told nobody what was written in a long outage.
def test_target_that_drains_in_an_outage_may_get_requests_until_its_end():
    outage = StoreDisturbed(LEFT_AT - 1, LEFT_AT + 4, False)
    assert not judge(4.9, outage, state='draining')
    assert judge(5.1, outage, state='draining')
    # What the store answered all the while, it told.
    for told in (
        StoreDisturbed(LEFT_AT - 1, LEFT_AT + 4, True),
        StoreDisturbed(LEFT_AT + 0.1, LEFT_AT + 4, False),
        StoreDisturbed(LEFT_AT - 4, LEFT_AT - 0.1, False),
    ):
        assert judge(4.9, told, state='draining')
