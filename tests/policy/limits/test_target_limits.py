"""Limits that targets name, shared by many routers, without a network."""

import math
from dataclasses import dataclass, field

import pytest

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.policy.limits.target_limits import (
    END_DELAY_SECONDS,
    MIN_LIMIT_PER_SECOND,
    TTL_SECONDS,
    LimitRecord,
    TargetLimits,
    parse_limit,
)

WINDOW_SECONDS = 4
STEP_SECONDS = 0.02
TOLD_SECONDS = 2.0


def target(name='t', incarnation='1'):
    pool = Pool('a', 'svc')
    return Target(
        name, 'h:1', TargetKind.service, pool, incarnation=incarnation
    )


FIRST, SECOND = target(), target(incarnation='2')


@dataclass
class Fleet:
    """Routers that all want to send a target much more than its limit.

    A router in `frozen` or `cut` does not hear the others.
    """

    count: int
    per_second: float
    limits: list[TargetLimits] = field(default_factory=list)
    cut: set[int] = field(default_factory=set)
    frozen: set[int] = field(default_factory=set)
    sent: list[float] = field(default_factory=list)
    now: float = 0

    def __post_init__(self):
        for _ in range(self.count):
            self.start()

    def start(self):
        """Start one more router; it knows no limit yet."""
        self.limits.append(TargetLimits(len(self.limits)))
        self.meet()

    def meet(self):
        for number, limits in enumerate(self.limits):
            if number not in self.cut:
                limits.set_routers(range(len(self.limits)))

    def run(self, seconds):
        """Let all routers send whenever they may; answers name the limit."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            for number, limits in enumerate(self.limits):
                if number not in self.frozen:
                    self._send_all(limits)
            if self.now % TOLD_SECONDS < STEP_SECONDS:
                self.tell()

    def tell(self):
        """Exchange the records of all routers in touch."""
        in_touch = [
            limits
            for number, limits in enumerate(self.limits)
            if number not in self.cut | self.frozen
        ]
        records = [
            record
            for limits in in_touch
            for record in limits.to_repeat(self.now)
        ]
        for limits in in_touch:
            limits.merge(records, self.now)

    def busiest_window(self, begin=0):
        times = [at for at in self.sent if at >= begin]
        return max(
            (
                sum(first <= at < first + WINDOW_SECONDS for at in times)
                for first in times
            ),
            default=0,
        )

    @property
    def allowed(self):
        """Requests in a window that the users allow at most."""
        return 1.5 * self.per_second * WINDOW_SECONDS + 5

    def _send_all(self, limits):
        # An unlimited router sends one request a step.
        if limits.accepts(FIRST, self.now):
            limits.record_send(FIRST, self.now)
            self.sent.append(self.now)
            limits.record(FIRST, self.per_second, self.now)


def limited_fleet(count, per_second):
    fleet = Fleet(count, per_second)
    for limits in fleet.limits:
        limits.record(FIRST, per_second, 0)
    return fleet


@pytest.mark.parametrize('count', [1, 7, 59, 410])
@pytest.mark.parametrize('per_second', [0, 0.5, 1, 3.7, 7.1, 40])
def test_sum_of_all_routers_stays_within_the_limit(count, per_second):
    fleet = limited_fleet(count, per_second)
    fleet.run(12)
    assert fleet.busiest_window() <= fleet.allowed
    # The limit is used, too.
    assert len(fleet.sent) >= math.floor(0.8 * per_second * 12) - 1


@pytest.mark.parametrize('count', [7, 59])
def test_routers_that_start_learn_the_limit_of_the_others(count):
    fleet = limited_fleet(count, 6)
    fleet.run(4)
    for _ in range(3):
        fleet.start()
    fleet.tell()
    begin = fleet.now
    fleet.run(12)
    assert fleet.busiest_window(begin) <= fleet.allowed


@pytest.mark.parametrize('count', [7, 59])
def test_routers_that_are_cut_off_keep_to_their_share(count):
    """They do not see that a router joins, and the others count them still."""
    fleet = limited_fleet(count, 6)
    fleet.run(4)
    fleet.cut = {0, 1, 2}
    begin = fleet.now
    fleet.run(8)
    fleet.start()
    fleet.run(8)
    assert fleet.busiest_window(begin) <= fleet.allowed


def test_routers_that_freeze_save_up_little():
    fleet = limited_fleet(7, 6)
    fleet.run(4)
    fleet.frozen = set(range(4))
    fleet.run(10)
    fleet.frozen = set()
    begin = fleet.now
    fleet.run(8)
    assert fleet.busiest_window(begin) <= fleet.allowed


def test_restart_of_all_routers_begins_with_empty_buckets():
    fleet = limited_fleet(7, 6)
    fleet.run(4)
    fleet.limits.clear()
    for _ in range(7):
        fleet.start()
    for limits in fleet.limits:
        limits.record(FIRST, 6, fleet.now)
    begin = fleet.now
    fleet.run(8)
    assert fleet.busiest_window(begin) <= fleet.allowed


def test_limit_ends_with_an_answer_that_names_none():
    limits = TargetLimits(1)
    assert limits.record(FIRST, 3, 0).per_second == 3
    assert limits.record(FIRST, 3.1, 0.1) is None
    overtaken = 0.1 + END_DELAY_SECONDS / 2
    assert limits.record(FIRST, None, overtaken) is None
    assert limits.limit(FIRST, overtaken) == 3.1
    ended = limits.record(FIRST, None, 0.2 + END_DELAY_SECONDS)
    assert ended is not None
    assert ended.per_second is None
    assert limits.limit(FIRST, 2) is None
    assert limits.record(FIRST, None, 3) is None


def test_end_of_a_limit_reaches_routers_that_have_no_share():
    one, other = TargetLimits(1), TargetLimits(2)
    one.record(FIRST, 3, 0)
    other.merge(one.to_repeat(1), 1)
    one.record(FIRST, None, 2)
    other.merge(one.to_repeat(3), 3)
    assert other.limit(FIRST, 3) is None
    stale = LimitRecord(*FIRST.incarnation_id, 3, age_deciseconds=30)
    other.merge([stale], 3.5)
    assert other.limit(FIRST, 3.5) is None


def test_next_incarnation_has_no_limit_until_it_names_one():
    limits = TargetLimits(1)
    limits.record(FIRST, 3, 0)
    assert limits.limit(SECOND, 0) is None
    assert limits.accepts(SECOND, 0)
    limits.record(SECOND, 5, 1)
    assert limits.limit(SECOND, 1) == 5
    assert limits.limit(FIRST, 1) is None


def test_limit_that_nobody_confirms_is_forgotten():
    limits = TargetLimits(1)
    limits.record(FIRST, 3, 0)
    assert limits.limit(FIRST, TTL_SECONDS - 1) == 3
    assert limits.limit(FIRST, TTL_SECONDS) is None
    limits.expire(TTL_SECONDS)
    assert limits.is_empty


def test_limit_that_ended_is_forgotten_in_spite_of_further_answers():
    limits = TargetLimits(1)
    limits.record(FIRST, 3, 0)
    for second in range(2, 40):
        limits.record(FIRST, None, second)
        limits.expire(second)
    assert limits.is_empty


def test_target_that_takes_nothing_is_asked_now_and_then():
    limits = TargetLimits(1)
    limits.record(FIRST, 0, 0)
    assert not limits.accepts(FIRST, 1)
    assert limits.accepts(FIRST, 1 / MIN_LIMIT_PER_SECOND + 1)


@pytest.mark.parametrize(
    ('text', 'per_second'),
    [
        ('7.1', 7.1),
        ('0', 0),
        ('', None),
        ('many', None),
        ('-1', None),
        ('nan', None),
        ('inf', None),
        ('1e30', None),
    ],
)
def test_limits_are_read_from_their_text(text, per_second):
    assert parse_limit(text) == per_second


def test_limits_are_bounded():
    limits = TargetLimits(1)
    for number in range(5000):
        limits.record(target(f't{number}'), 3, 0)
        limits.record_send(target(f't{number}'), 0)
    assert len(list(limits.to_repeat(0))) <= 4096
    assert len(limits._buckets) <= 4096


# Guards against shares that are left unused although requests could use them.
def test_share_is_unused_while_its_bucket_is_full():
    limits = TargetLimits(1)
    assert not limits.is_unused(FIRST, 0)
    limits.record(FIRST, 2, 0)
    assert not limits.is_unused(FIRST, 0)
    assert limits.is_unused(FIRST, 1)
    limits.record_send(FIRST, 1)
    assert not limits.is_unused(FIRST, 1.25)
    assert limits.is_unused(FIRST, 2)


# Guards against limits that end too early, with an answer that was held up
# since before its target named them.
def test_an_answer_to_an_earlier_request_does_not_end_a_limit():
    limits = TargetLimits()
    limits.record(FIRST, 3, 5)
    late = 5 + 2 * END_DELAY_SECONDS
    assert limits.record(FIRST, None, late, sent_at=4.9) is None
    assert limits.limit(FIRST, late) == 3
    ended = limits.record(FIRST, None, late, sent_at=5.1)
    assert ended.per_second is None
