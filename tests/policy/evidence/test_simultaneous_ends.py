"""Tests of what responses show that end together."""

import pytest

from peridotwell.policy.evidence.process_evidence import ResponseTimes
from peridotwell.policy.evidence.simultaneous_ends import (
    TellingEnds,
    count_burst,
    count_telling_ends,
)

NOW = 100
MOMENT_SECONDS = 0.02


def count(*ages):
    starts = [NOW - age for age in ages]
    return count_telling_ends(starts, NOW, MOMENT_SECONDS)


def test_each_long_response_counts():
    assert count(0.3, 0.3, 0.3, 5) == TellingEnds(long=4)


# Guards against short responses of equal length whose requests were sent
# together, taken for those of a process that has ended.
def test_short_responses_that_began_together_count_once():
    assert count(*[0.1] * 9) == TellingEnds(young=1)
    assert count(0.1, 0.105, 0.11, 0.115) == TellingEnds(young=1)


# Guards against streams of a process that has ended which are younger since the
# router was late to send their requests, and tell nothing.
def test_short_responses_that_began_one_after_the_other_count():
    assert count(0.04, 0.07, 0.1, 0.13, 0.16) == TellingEnds(young=5)


def test_responses_that_began_within_the_moment_do_not_count():
    assert count(0.01, 0.015, 0, -0.01) == TellingEnds()


# Guards against a router that is late: the longer the moment is in which ends
# are collected, the more of them come together by chance.
@pytest.mark.parametrize(('moment', 'expected'), [(0.02, 4), (0.05, 2)])
def test_a_longer_moment_needs_starts_that_are_further_apart(moment, expected):
    starts = [NOW - age for age in (0.06, 0.09, 0.12, 0.15)]
    ends = count_telling_ends(starts, NOW, moment)
    assert ends == TellingEnds(young=expected)


def test_four_ends_are_needed_and_as_many_as_before():
    assert not TellingEnds(long=3).show_end(0)
    assert TellingEnds(long=4).show_end(4)
    assert not TellingEnds(long=4).show_end(5)


# Guards against the last responses of a batch on a late router, taken for those
# of a process that has ended: three long and two young ones after three ends.
def test_young_ends_need_twice_as_many_as_before():
    assert not TellingEnds(long=3, young=2).show_end(3)
    assert TellingEnds(long=3, young=3).show_end(3)
    assert TellingEnds(young=4).show_end(2)
    assert not TellingEnds(young=3).show_end(0)


# Guards against sound responses that count as cut since their target, which was
# silent, began all of them at once.
def test_responses_that_began_in_step_count_once():
    ended_at = 10.0
    waiting = [ResponseTimes(8 + number / 10, 9.5) for number in range(9)]
    own = [ResponseTimes(8 + each / 10, 8 + each / 10) for each in range(4)]
    assert not count_burst(waiting, ended_at, 0.02).show_end(0)
    assert count_burst(own, ended_at, 0.02).show_end(0)
