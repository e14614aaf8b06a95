"""The rule of starts allows more time only on a busy machine."""

from tests.soak.records import (
    Busy,
    RouterDisturbed,
    RouterRuns,
    RouterStarted,
)
from tests.soak.start_rule import judge_starts

START = RouterStarted(1, 'r0')


def find(*records):
    in_order = sorted(records, key=lambda record: record.at)
    return tuple(judge_starts(in_order))


def test_a_start_takes_three_seconds_at_most():
    assert not find(START, RouterRuns(3.9, 'r0'))
    assert 'r0 started for 3.2 s' in find(START, RouterRuns(4.2, 'r0'))[0]
    assert not find(START, RouterStarted(4, 'r0'), RouterRuns(4.2, 'r0'))
    assert find(START, RouterStarted(4, 'r1'), RouterRuns(4.2, 'r0'))


def test_threads_that_wait_for_a_processor_prolong_a_start():
    late = (START, RouterRuns(6.5, 'r0'))
    assert not find(*late, Busy(2, 2))
    assert find(*late, Busy(2, 1.8))
    assert find(*late, Busy(0.5, 2), Busy(7, 2))
    assert find(START, RouterRuns(4.2, 'r0'), Busy(2, 0.1))


def test_a_router_that_is_paused_meanwhile_is_excused():
    late = (START, RouterRuns(5, 'r0'))
    assert not find(*late, RouterDisturbed(2, 4, 'r0'))
    assert find(*late, RouterDisturbed(2, 4, 'r1'))
    assert find(*late, RouterDisturbed(0, 1, 'r0', is_planned=True))
