"""Refusals of what is in force are found, with the router's line on each."""

import pytest

from tests.soak.records import (
    Answered,
    RouterDisturbed,
    RouterStarted,
    Sent,
    VersionWritten,
)
from tests.soak.refusals import LogLine, late_refusals, late_tables
from tests.soak.versions import BASE_KEY, MAX_ALTERATIONS

VERSIONS = tuple(
    VersionWritten(10.0 * number, 10.0 * number, number)
    for number in range(1, 5)
)
# When extra4 is added.
ACK = VERSIONS[-1].at


def refused(
    after_seconds, request_id='q1', router='r0', status=404, receipt=''
):
    at = ACK + after_seconds
    return (
        Sent(at, request_id, router, 'extra4', BASE_KEY),
        Answered(at + 0.1, request_id, status, receipt, b''),
    )


def line(at, event, **fields):
    return LogLine(at, 'r0', {'event': event, **fields})


def test_late_refusal_is_told_with_the_line_on_it():
    shown = line(
        ACK + 2.2, 'request.refused', request='q1', table=300, knowledge_age=0.1
    )
    records = (*VERSIONS, *refused(2.1), *refused(2.5, 'q2', 'r1'))
    first, second = late_refusals(records, [shown])
    assert '2.10 s after version 4' in first
    assert 'table 300' in first
    assert 'knowledge_age 0.1' in first
    assert "also behind: ['r1']" in first
    assert 'no line' in second


@pytest.mark.parametrize(
    'records',
    [
        refused(1.9),
        refused(2.1, status=503),
        refused(2.1, receipt='seal'),
        # A version that is being written may be in force, and lacks the route.
        (*refused(2.1), VersionWritten(ACK + 2.15, ACK + 2.3, 9)),
    ],
)
def test_other_refusals_are_not_told(records):
    assert not list(late_refusals((*VERSIONS, *records), []))


def taken(at, version):
    return line(
        at,
        'table.taken',
        version=version * MAX_ALTERATIONS,
        source='store changes',
    )


def test_late_tables_are_told():
    lines = [taken(30.1, 3), taken(ACK + 1.5, 4)]
    (found,) = late_tables(VERSIONS, lines)
    assert 'r0 took 4 after 3 1.50 s late from store changes' in found
    assert 'router calm True' in found
    disturbed = RouterDisturbed(ACK, ACK + 1, 'r0')
    (found,) = late_tables((*VERSIONS, disturbed), lines)
    assert 'router calm False' in found


def test_first_table_of_a_process_is_not_late():
    lines = [taken(20.1, 2), taken(ACK + 1.5, 4)]
    assert not list(
        late_tables((*VERSIONS, RouterStarted(ACK + 1, 'r0')), lines)
    )
