"""Tests of whether the ids of a service's events go up by one."""

from peridotwell.policy.event_steps import EventSteps

STREAMS = 30


def recorded(*steps):
    event_steps = EventSteps()
    for is_by_one in steps:
        event_steps.record('ledger', is_by_one=is_by_one)
    return event_steps


def test_nothing_is_concluded_from_a_few_streams():
    assert not EventSteps().are_by_one('ledger')
    assert not recorded(*[True] * 5).are_by_one('ledger')


def test_steps_by_one_are_learned_for_each_service():
    event_steps = recorded(*[True] * STREAMS)
    assert event_steps.are_by_one('ledger')
    assert not event_steps.are_by_one('search')


def test_a_stream_that_leaves_out_an_event_changes_nothing():
    assert recorded(*[True] * STREAMS, False, False).are_by_one('ledger')


def test_ids_that_jump_are_believed_soon():
    assert not recorded(*[False] * STREAMS).are_by_one('ledger')
    jumping = [False] * STREAMS
    assert not recorded(*[True] * STREAMS, *jumping).are_by_one('ledger')
