"""The count of sound streams that were cut leaves out what faults excuse."""

import msgspec
import pytest

from tests.soak.events import EVENTS_PER_STREAM, joined
from tests.soak.records import (
    Answered,
    PathDisturbed,
    Replied,
    RouterDisturbed,
    Sent,
    TargetDisturbed,
)
from tests.soak.sound_streams import count_sound_cut, judge_sound_streams

DEADLINE_SECONDS = 0.8
WHOLE = [(number, b's1') for number in range(1, EVENTS_PER_STREAM + 1)]
SENT = Sent(10, 'q1-draft', 'r0', 'draft', 'key-1')
RUN = Replied(
    10.1,
    'q1-draft',
    's1',
    200,
    joined(WHOLE),
    True,
    target='t0',
    framing='open',
)
CUT = Answered(10.4, 'q1-draft', 0, '', joined(WHOLE[:5]), error='cut')


def count(*records):
    return count_sound_cut(records, DEADLINE_SECONDS)


def test_a_sound_stream_that_was_cut_counts_by_its_framing():
    assert count(SENT, RUN, CUT) == {'open': 1}
    chunks = msgspec.structs.replace(RUN, framing='chunks')
    assert count(SENT, chunks, CUT) == {'chunks': 1}


@pytest.mark.parametrize(
    'fault',
    [
        TargetDisturbed(10.2, 't0'),
        RouterDisturbed(8, 9, 'r0'),
        PathDisturbed(10, 11, 't0'),
    ],
)
def test_faults_excuse_a_cut(fault):
    assert not count(SENT, RUN, CUT, fault)


@pytest.mark.parametrize(
    'fault',
    [
        TargetDisturbed(10.2, 't1'),
        TargetDisturbed(10.5, 't0'),
        RouterDisturbed(8, 9, 'r1'),
        PathDisturbed(10, 11, 't1'),
    ],
)
def test_faults_elsewhere_excuse_nothing(fault):
    assert count(SENT, RUN, CUT, fault)


@pytest.mark.parametrize(
    'changes',
    [
        {'is_whole': False, 'cut': 'end'},
        {'body': joined(WHOLE[:4] + WHOLE[5:])},
        {'body': joined([*WHOLE[:2], *WHOLE[1:]])},
    ],
)
def test_a_faulty_stream_does_not_count(changes):
    run = msgspec.structs.replace(RUN, **changes)
    assert not count(SENT, run, CUT)


# Guards against sound streams that a router cuts, though their end is marked.
def test_only_a_cut_of_a_marked_stream_is_a_violation():
    chunks = msgspec.structs.replace(RUN, framing='chunks')
    assert list(judge_sound_streams((SENT, chunks, CUT), DEADLINE_SECONDS))
    assert not list(judge_sound_streams((SENT, RUN, CUT), DEADLINE_SECONDS))


@pytest.mark.parametrize(('at', 'is_counted'), [(10.65, True), (10.75, False)])
def test_a_stream_at_its_deadline_does_not_count(at, is_counted):
    cut = msgspec.structs.replace(CUT, at=at)
    assert bool(count(SENT, RUN, cut)) is is_counted
