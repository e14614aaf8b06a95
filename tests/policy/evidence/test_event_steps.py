"""Tests of whether the ids of a service's events go up by one."""

import pytest

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.fleet.transport.frames import RouterUpdate, encode_frame
from peridotwell.policy.evidence.event_steps import EventSteps, Finding
from peridotwell.policy.evidence.step_records import (
    CERTAIN_TTL_SECONDS,
    STREAMS_TTL_SECONDS,
    Evidence,
    StepRecord,
    version_id,
)

STREAMS = 30
SERVICE = 'ledger'


def target(name='t0', software='1', incarnation='1'):
    return Target(
        name,
        'a:1',
        TargetKind.service,
        Pool('north', SERVICE),
        software=software,
        incarnation=incarnation,
    )


TARGETS = [target(f't{number}') for number in range(3)]


@pytest.fixture
def steps():
    return EventSteps()


def record(steps, by_one, *targets, streams=STREAMS, from_start=False):
    """Record streams of targets; return what other routers should have."""
    told = []
    for _ in range(streams):
        for each in targets:
            if by_one:
                steps.record_by_one(SERVICE, each)
            else:
                told += steps.record_step(
                    SERVICE, each, 0, from_start=from_start
                )
    return told


def learn(steps, evidence, now, pair=(0, 1)):
    """Let two targets show something; return what others should have."""
    first, second = (TARGETS[number] for number in pair)
    return steps.learn(SERVICE, (first, second), evidence, now)


def finding(steps, of=TARGETS[0], service=SERVICE, now=0):
    return steps.finding(service, of, now)


def test_nothing_is_concluded_from_a_few_streams(steps):
    assert finding(steps) is Finding.unknown
    record(steps, True, TARGETS[0], streams=5)
    assert finding(steps) is Finding.unknown


def test_steps_by_one_are_learned_for_each_service_and_version(steps):
    record(steps, True, *TARGETS, streams=4)
    assert finding(steps) is Finding.by_one
    assert finding(steps, target('new')) is Finding.by_one
    assert finding(steps, service='search') is Finding.unknown
    assert finding(steps, target(software='2')) is Finding.unknown


# Guards against a burst of the fault itself that is taken for usual.
@pytest.mark.parametrize('faulty', [1, 2, 3])
@pytest.mark.parametrize('from_start', [False, True])
def test_no_number_of_faulty_streams_changes_what_is_known(
    steps, faulty, from_start
):
    record(steps, True, *TARGETS)
    faulty_targets = TARGETS[:faulty]
    record(steps, False, *faulty_targets, streams=1000, from_start=from_start)
    assert finding(steps) is Finding.by_one


# Guards against the same at a router that has just started.
@pytest.mark.parametrize('from_start', [False, True])
def test_a_faulty_target_does_not_make_up_for_sound_ones(steps, from_start):
    for _ in range(STREAMS):
        record(steps, False, TARGETS[0], streams=5, from_start=from_start)
        record(steps, True, *TARGETS[1:], streams=1)
    assert finding(steps) is Finding.by_one


def test_a_target_alone_whose_streams_begin_by_one_shows_nothing(steps):
    record(steps, False, TARGETS[0], streams=1000)
    assert finding(steps) is Finding.unknown


def test_ids_jump_if_those_of_all_targets_do(steps):
    record(steps, False, *TARGETS)
    assert finding(steps) is Finding.jumping
    record(steps, True, target('sound'), streams=10)
    assert finding(steps) is Finding.by_one


def test_ids_that_jump_from_the_beginning_need_no_other_target(steps):
    record(steps, False, TARGETS[0], from_start=True)
    assert finding(steps) is Finding.jumping


def test_a_target_that_starts_anew_is_taken_for_another_one(steps):
    record(steps, True, TARGETS[0])
    started = target(incarnation='2')
    assert finding(steps, started) is Finding.unknown
    record(steps, False, started, from_start=True)
    assert finding(steps, started) is Finding.jumping


@pytest.mark.parametrize(
    ('evidence', 'expected'),
    [
        (Evidence.same_step, Finding.jumping),
        (Evidence.had_event, Finding.by_one),
    ],
)
def test_what_another_target_has_shown_counts_more(steps, evidence, expected):
    record(steps, expected is Finding.jumping, *TARGETS)
    learn(steps, evidence, 0)
    learn(steps, evidence, 0, pair=(1, 2))
    assert finding(steps) is expected
    assert finding(steps, now=CERTAIN_TTL_SECONDS) is not expected


# Guards against two faulty targets of several that leave out the same event.
def test_a_pair_of_targets_does_not_speak_for_all_others(steps):
    record(steps, True, *TARGETS)
    for _ in range(STREAMS):
        assert not learn(steps, Evidence.same_step, 0)
        assert finding(steps) is Finding.by_one
    learn(steps, Evidence.had_event, 0, pair=(0, 2))
    assert not learn(steps, Evidence.same_step, 0)
    assert finding(steps) is Finding.by_one


# Guards against messages at rest.
def test_nothing_is_told_while_no_stream_has_a_step(steps):
    assert not record(steps, True, *TARGETS)
    assert not list(steps.to_repeat(0))
    assert len(record(steps, False, TARGETS[0])) == 1
    assert len(list(steps.to_repeat(0))) == 1
    assert not list(steps.to_repeat(STREAMS_TTL_SECONDS))


def test_a_router_that_starts_is_told(steps):
    record(steps, True, *TARGETS)
    record(steps, False, TARGETS[0])
    started = EventSteps()
    assert not started.merge(steps.to_repeat(0), 0)
    assert finding(started) is Finding.by_one
    for pair in ((0, 1), (1, 2)):
        learn(steps, Evidence.same_step, 0, pair)
    started.merge(steps.to_repeat(9), 9)
    assert finding(started) is Finding.jumping
    assert list(started.to_repeat(9)) == list(steps.to_repeat(9))


def test_records_are_merged_in_any_order(steps):
    version = version_id(SERVICE, TARGETS[0])
    records = [
        StepRecord(version, Evidence.same_step, 20),
        StepRecord(version, Evidence.had_event, 30),
        StepRecord(version, Evidence.streams),
        StepRecord(version, 99),
    ]
    other = EventSteps()
    steps.merge(records, 10)
    other.merge(reversed(records), 10)
    assert finding(steps, now=10) is finding(other, now=10) is Finding.jumping


def test_what_has_expired_is_removed(steps):
    learn(steps, Evidence.same_step, 0)
    steps.expire(CERTAIN_TTL_SECONDS)
    assert not list(steps.to_repeat(0))


@pytest.mark.parametrize('now', [0, CERTAIN_TTL_SECONDS - 1])
def test_a_record_takes_few_bytes(steps, now):
    learn(steps, Evidence.same_step, 0)
    (told,) = steps.to_repeat(now)
    update = RouterUpdate(1, 2, 3)
    more = RouterUpdate(1, 2, 3, event_steps=(told,))
    assert len(encode_frame(more)) - len(encode_frame(update)) <= 10


# Guards against two faulty targets that a router which has just started takes
# for jumping ids, and which end the check at all other routers.
def test_sound_streams_outweigh_what_another_router_tells(steps):
    record(steps, True, *TARGETS)
    started = EventSteps()
    learn(started, Evidence.same_step, 0)
    assert finding(started) is Finding.jumping
    steps.merge(started.to_repeat(0), 0)
    assert finding(steps) is Finding.by_one
