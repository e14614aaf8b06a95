"""The check of leaving targets reports requests that reach them late."""

import pytest

from tests.soak.leaving_rule import judge_leaving
from tests.soak.records import (
    Arrived,
    EntryWritten,
    Late,
    PathDisturbed,
    Replied,
    RouterDisturbed,
    RouterStarted,
    Sent,
    StoreDisturbed,
)

READY = EntryWritten(0, 't0', 1, 'ready')
LEFT_AT = 10


def judge(
    after_seconds,
    *records,
    state='gone',
    start=1,
    sent_before=0.5,
    lay_seconds=None,
):
    """Judge a request that is read so long after its target has left.

    It was sent on `lay_seconds` before; None: that was not recorded.
    """
    at = LEFT_AT + after_seconds
    return list(
        judge_leaving(
            sorted(
                (
                    READY,
                    EntryWritten(LEFT_AT, 't0', 1, state),
                    Sent(at - sent_before, 'q1', 'r0', 'read', 'key-1'),
                    Arrived(
                        at,
                        'q1',
                        't0',
                        start,
                        True,
                        sent_on_at=at - lay_seconds if lay_seconds else 0,
                    ),
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


# Guards against an excuse of paths that were disturbed, and hold nothing.
@pytest.mark.parametrize('router', ['', 'r0'])
def test_disturbed_paths_excuse_no_request_that_was_sent_late(router):
    fault = PathDisturbed(LEFT_AT, LEFT_AT + 0.6, 't0', router)
    assert judge(3, fault)
    assert judge(3, fault, state='draining')


# Guards against requests that are left at a target which stands still: they run
# when it goes on, after it has left (issue 68).
@pytest.mark.parametrize('state', ['draining', 'gone'])
@pytest.mark.parametrize('lay_seconds', [1.0, 2.9, 6])
def test_request_that_lay_at_a_target_is_late_when_it_is_read(
    state, lay_seconds
):
    assert judge(
        2.9, state=state, sent_before=lay_seconds + 0.1, lay_seconds=lay_seconds
    )


# Guards against waits of the soak that excuse what a router could take back.
def test_waits_of_a_target_do_not_count_for_what_lay_there():
    wait = Late(LEFT_AT + 2.9, 'targets 1', 3)
    assert judge(2.9, wait, sent_before=3, lay_seconds=2.9)
    assert judge(3.1, wait, sent_before=3, lay_seconds=0.5)
    assert not judge(2.9, wait, sent_before=3, lay_seconds=0.5)
    # The wait of another process is none of this target.
    assert judge(2.9, Late(LEFT_AT + 2.9, 'callers 1', 3), lay_seconds=0.4)


# What a killed or stopped router has sent, it cannot take back.
@pytest.mark.parametrize('state', ['draining', 'gone'])
@pytest.mark.parametrize(
    'fault',
    [
        RouterDisturbed(LEFT_AT - 1, LEFT_AT + 1, 'r0'),
        RouterDisturbed(LEFT_AT - 3, LEFT_AT + 3, 'r0'),
        RouterStarted(LEFT_AT + 1, 'r0'),
    ],
)
def test_what_lay_while_its_router_was_stopped_is_excused(fault, state):
    assert not judge(2.9, fault, state=state, sent_before=5, lay_seconds=4.9)


@pytest.mark.parametrize(
    'fault',
    [
        # The router has run for long enough since.
        RouterDisturbed(LEFT_AT - 1, LEFT_AT + 0.8, 'r0'),
        # It was over before the request was sent on.
        RouterDisturbed(LEFT_AT - 3, LEFT_AT - 2.1, 'r0'),
        RouterDisturbed(LEFT_AT - 1, LEFT_AT - 0.5, 'r1'),
        # It began when the request should have been taken back.
        RouterDisturbed(LEFT_AT + 2.1, LEFT_AT + 3.5, 'r0'),
        RouterStarted(LEFT_AT + 2.1, 'r0'),
        Late(LEFT_AT + 2.9, 'targets 1', 3),
    ],
)
def test_what_a_running_router_left_at_a_target_is_not_excused(fault):
    assert judge(2.9, fault, state='draining', sent_before=5, lay_seconds=4.9)


# Guards against an excuse of routers that ran while they could take it back.
def test_a_stop_after_the_bound_excuses_nothing():
    fault = RouterDisturbed(LEFT_AT + 2.1, LEFT_AT + 3, 'r0')
    assert judge(2.9, fault, sent_before=5, lay_seconds=4.9)
    assert not judge(2.9, fault, sent_before=0.5, lay_seconds=0.4)


# Guards against an excuse of any length for a router that stood still for a
# moment, and started again for another reason long after.
def test_a_start_after_the_standstill_does_not_lengthen_it():
    stop = RouterDisturbed(LEFT_AT + 0.5, LEFT_AT + 0.6, 'r0')
    start = RouterStarted(LEFT_AT + 30, 'r0')
    lay = {'state': 'draining', 'sent_before': 9.1, 'lay_seconds': 9}
    assert judge(9, stop, **lay)
    assert judge(9, stop, start, **lay)


# Guards against an excuse of routers that had heard of the leaving: a fault of
# the store while the request lay there (seed 6801 of a day).
@pytest.mark.parametrize(
    ('began', 'is_late'), [(1.2, True), (0.8, False), (-1, False)]
)
def test_a_later_fault_of_the_store_excuses_nothing_that_lay(began, is_late):
    fault = StoreDisturbed(LEFT_AT + began, LEFT_AT + began + 2, False)
    assert bool(judge(4.6, fault, sent_before=6.1, lay_seconds=6)) is is_late


# A router that was stopped may not send to a target that drains later on.
def test_stopped_router_sends_nothing_after_the_bound():
    fault = RouterDisturbed(LEFT_AT - 3, LEFT_AT + 2.6, 'r0')
    assert judge(2.9, fault, state='draining', sent_before=0.5, lay_seconds=0.4)


def hold(router='', *, passes_answers=True):
    return PathDisturbed(
        LEFT_AT + 0.8, LEFT_AT + 2.83, 't0', router, passes_answers
    )


def sign_of_life(after_seconds, router='r0', target='t0'):
    sent = Sent(LEFT_AT - 1, f'q9{router}', router, 'read', 'key-1')
    at = LEFT_AT + after_seconds
    reply = Replied(at, sent.request_id, 's9', 200, b'', True, target=target)
    return sent, reply


# Guards against requests that the network holds (seed 6202 of the field), at a
# router that hears the target all the while.
@pytest.mark.parametrize('router', ['', 'r0'])
def test_request_that_its_path_holds_is_excused_if_its_target_is_heard(router):
    assert not judge(
        2.82,
        hold(router),
        *sign_of_life(0.9),
        state='draining',
        sent_before=2,
    )


# Guards against requests that are left on a held path: what is heard of the
# target tells that nobody has read them (issue 68).
@pytest.mark.parametrize('state', ['draining', 'gone'])
def test_request_that_its_path_holds_is_not_excused_in_silence(state):
    for records in (
        (hold(),),
        (hold(passes_answers=False), *sign_of_life(0.9)),
        (hold(), hold(passes_answers=False), *sign_of_life(0.9)),
        # Heard before it was sent on, by another router, or of another target.
        (hold(), *sign_of_life(0.8)),
        (hold(), *sign_of_life(0.9, router='r1')),
        (hold(), *sign_of_life(0.9, target='t1')),
    ):
        assert judge(2.82, *records, state=state, sent_before=2)


@pytest.mark.parametrize(
    ('fault', 'sent_before'),
    [
        # It was over when the request arrived.
        (PathDisturbed(LEFT_AT + 0.8, LEFT_AT + 2.81, 't0', '', True), 2),
        # It began when no request was to be sent on any more.
        (PathDisturbed(LEFT_AT + 2.1, LEFT_AT + 2.83, 't0', '', True), 2),
        (PathDisturbed(LEFT_AT + 2.9, LEFT_AT + 3.5, 't0', '', True), 2),
        # The caller sent the request later than that.
        (PathDisturbed(LEFT_AT + 0.8, LEFT_AT + 2.83, 't0', '', True), 0.5),
        # Another path was disturbed.
        (PathDisturbed(LEFT_AT + 0.8, LEFT_AT + 2.83, 't0', 'r1', True), 2),
        (PathDisturbed(LEFT_AT + 0.8, LEFT_AT + 2.83, 't1', '', True), 2),
        # What is no path of the request holds nothing.
        (RouterDisturbed(LEFT_AT + 0.8, LEFT_AT + 2.83, 'r0'), 2),
        (StoreDisturbed(LEFT_AT + 0.8, LEFT_AT + 2.83, False), 2),
    ],
)
def test_request_that_its_path_may_not_have_held_is_not_excused(
    fault, sent_before
):
    assert judge(
        2.82,
        fault,
        *sign_of_life(0.9),
        state='draining',
        sent_before=sent_before,
    )


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
