"""Leaving targets and pauses that targets ask for."""

import pytest

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.policy.health import target_notices
from peridotwell.policy.health.target_notices import (
    MAX_PAUSE_SECONDS,
    MAX_RETURN_OFFSET_SECONDS,
    REPEAT_SECONDS,
    RETURN_SECONDS,
    RETURN_STEP_SECONDS,
    RETURN_STEPS,
    TargetNotices,
    parse_pause,
)


def target(name='t', incarnation='1'):
    pool = Pool('a', 'svc')
    return Target(
        name, 'h:1', TargetKind.service, pool, incarnation=incarnation
    )


FIRST, SECOND = target(), target(incarnation='2')
ID = FIRST.incarnation_id


def test_leaving_target_gets_nothing_until_its_next_incarnation():
    notices = TargetNotices()
    assert notices.record_leaving(ID, 0)
    assert not notices.record_leaving(ID, 0)
    assert not notices.accepts(FIRST, 0, 1e9)
    assert notices.accepts(SECOND, 0, 0)


def test_paused_target_gets_nothing_and_then_one_more_at_each_step():
    notices = TargetNotices()
    assert notices.record_pause(ID, 2, now=10)
    assert not notices.accepts(FIRST, 0, 11.99)
    end = 12 + MAX_RETURN_OFFSET_SECONDS
    assert notices.accepts(FIRST, 0, end)
    assert not notices.accepts(FIRST, 5, end)
    assert notices.accepts(FIRST, 5, end + 5 * RETURN_STEP_SECONDS + 0.01)
    after = end + RETURN_STEPS * RETURN_STEP_SECONDS
    assert notices.accepts(FIRST, 999, after)


def test_later_answer_may_lengthen_a_pause_but_not_shorten_it():
    notices = TargetNotices()
    notices.record_pause(ID, 5, now=0)
    assert not notices.record_pause(ID, 1, now=1)
    assert notices.is_paused(FIRST, 4.9)
    notices.record_pause(ID, 5, now=4)
    assert notices.is_paused(FIRST, 8.9)


def test_huge_pause_is_bounded():
    notices = TargetNotices()
    notices.record_pause(ID, 1e30, now=0)
    limit = MAX_PAUSE_SECONDS + MAX_RETURN_OFFSET_SECONDS
    assert not notices.is_paused(FIRST, limit)


# Guards against requests at a target within a pause of more than 30 s.
def test_a_long_pause_is_heeded_to_its_end():
    notices = TargetNotices()
    notices.record_pause(ID, 300, now=0)
    notices.expire(299)
    assert notices.is_paused(FIRST, 299)
    assert not notices.accepts(FIRST, 0, 299)
    assert notices.accepts(FIRST, 0, 300 + MAX_RETURN_OFFSET_SECONDS)


def test_next_return_is_that_of_the_first_target():
    notices = TargetNotices()
    other = target('other')
    notices.record_pause(ID, 9, now=0)
    notices.record_pause(other.incarnation_id, 3, now=0)
    wait = notices.next_return_seconds([FIRST, other], 1)
    assert 2 <= wait <= 2 + MAX_RETURN_OFFSET_SECONDS
    notices.record_leaving(ID, 0)
    notices.record_leaving(other.incarnation_id, 0)
    assert notices.next_return_seconds([FIRST, other], 1) is None


def test_routers_return_at_different_times():
    ends = set()
    for number in range(5):
        notices = TargetNotices(f'r{number}')
        notices.record_pause(ID, 1, now=0)
        ends.add(notices.next_return_seconds([FIRST], 0))
    assert len(ends) == 5


def test_number_of_leaving_targets_is_bounded(monkeypatch):
    monkeypatch.setattr(target_notices, 'MAX_DEPARTED', 3)
    notices = TargetNotices()
    for number in range(9):
        notices.record_leaving((number, 1), 0)
    assert [number for number, _ in notices.departed()] == [6, 7, 8]


@pytest.mark.parametrize(
    ('text', 'seconds'),
    [
        ('2', 2),
        ('0.25', 0.25),
        (' 1 ', 1),
        ('-1', None),
        ('0', None),
        ('inf', None),
        ('nan', None),
        ('1e999', None),
        ('soon', None),
        ('', None),
        ('Fri, 31 Dec 1999 23:59:59 GMT', None),
    ],
)
def test_pause_is_a_finite_positive_number_or_ignored(text, seconds):
    assert parse_pause(text) == seconds


def test_pauses_of_targets_that_are_gone_leave_memory():
    notices = TargetNotices()
    for number in range(100):
        notices.record_pause((number, 1), 2, now=0)
    notices.expire(2)
    assert len(notices._paused_until) == 100
    notices.expire(2 + MAX_RETURN_OFFSET_SECONDS + RETURN_SECONDS)
    assert not notices._paused_until
    assert notices.is_empty


def test_departures_are_told_for_a_time_and_known_for_good():
    one, other = TargetNotices(), TargetNotices()
    one.record_leaving(ID, 0)
    other.merge(one.to_repeat(1), 1)
    assert other.is_leaving(FIRST)
    assert not list(one.to_repeat(REPEAT_SECONDS))
    other.expire(1e9)
    assert other.is_leaving(FIRST)
