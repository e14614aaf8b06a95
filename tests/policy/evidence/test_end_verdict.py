"""Tests of whether an end that nobody has checked is a whole one."""

import pytest

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.policy.evidence.early_ends import KEEP_SECONDS, EarlyEnds
from peridotwell.policy.evidence.end_verdict import EndEvidence, EndVerdict
from peridotwell.policy.evidence.process_evidence import (
    NO_EVIDENCE,
    ProcessEvidence,
    TargetSign,
)

SAME = ProcessEvidence(TargetSign.same_process)
BURST = ProcessEvidence(TargetSign.same_process, is_burst=True)
ANSWERED = ProcessEvidence(TargetSign.answered)
TARGET = Target('t', '127.0.0.1:1', TargetKind.service, Pool('a', 's'))
NEXT = Target(
    't', '127.0.0.1:1', TargetKind.service, Pool('a', 's'), incarnation='2'
)


@pytest.mark.parametrize(
    ('process', 'is_habit', 'has_early_ends', 'verdict'),
    [
        (SAME, False, False, EndVerdict.same_process),
        (SAME, False, True, EndVerdict.early_ends),
        (BURST, False, False, EndVerdict.burst),
        (ANSWERED, False, False, EndVerdict.unknown_process),
        (NO_EVIDENCE, False, False, EndVerdict.unknown_process),
        (ANSWERED, True, False, EndVerdict.habit),
        (BURST, True, True, EndVerdict.habit),
    ],
)
def test_the_process_and_its_habits_decide(
    process, is_habit, has_early_ends, verdict
):
    evidence = EndEvidence(process, is_habit, has_early_ends)
    assert evidence.verdict() is verdict
    is_whole = verdict in {EndVerdict.habit, EndVerdict.same_process}
    assert verdict.is_whole is is_whole


# Guards against early ends of one process that count for the next one.
def test_early_ends_count_for_a_time_and_for_their_process():
    ends = EarlyEnds()
    assert ends.record(TARGET, 10)
    assert not ends.record(TARGET, 11)
    assert ends.are_recent(TARGET, 11)
    assert not ends.are_recent(NEXT, 11)
    assert not ends.are_recent(TARGET, 11 + KEEP_SECONDS)
