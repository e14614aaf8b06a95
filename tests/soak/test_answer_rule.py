"""The check of answers reports those that are not their request's own."""

from dataclasses import dataclass

import msgspec
import pytest

from tests.soak.answer_rule import judge_answers
from tests.soak.events import EVENTS_PER_STREAM
from tests.soak.records import Answered, Replied

REPLY = Replied(1, 'q1', 's1', 200, b'whole', True)
ANSWER = Answered(2, 'q1', 200, 's1', b'whole', 'q1')
EVENT = b'id: %d\ndata: %b\n\n'
END = b': q2-ask\n\n'
REST = range(5, EVENTS_PER_STREAM + 1)


def judge(*records):
    return list(judge_answers(records))


def change(record, **changes):
    return msgspec.structs.replace(record, **changes)


def test_answer_of_its_run_is_allowed():
    assert not judge(REPLY, ANSWER)


@dataclass(frozen=True)
class Case:
    reply: dict
    answer: dict
    why: str


CASES = (
    Case({'request_id': 'q7'}, {}, 'no run'),
    Case({}, {'receipt': ''}, 'no run'),
    Case({}, {'receipt': 's7'}, 'no run'),
    Case({'status': 500}, {}, 'another status'),
    Case({}, {'status': 500}, 'another status'),
    Case({}, {'status': 502}, 'another status'),
    Case({}, {'body': b'who'}, 'whole body'),
    Case({'is_whole': False}, {}, 'whole body'),
    Case({}, {'named_id': 'q7'}, 'another request'),
)


@pytest.mark.parametrize('case', CASES)
def test_other_answers_are_violations(case):
    reply = change(REPLY, **case.reply)
    assert case.why in judge(reply, change(ANSWER, **case.answer))[0]


@pytest.mark.parametrize('status', [404, 500, 502, 503])
def test_failure_without_a_receipt_needs_no_run(status):
    assert not judge(change(ANSWER, status=status, receipt='', body=b''))


def test_failure_with_the_status_of_its_run_is_allowed():
    assert not judge(change(REPLY, status=500), change(ANSWER, status=500))


def sent_events(*numbers):
    return b''.join(EVENT % (number, b's') for number in numbers)


def judge_stream(*numbers, second_status=200, ends=1):
    """Judge a stream of two runs with these events, and the rest behind them.

    The targets have sent all events.
    """
    numbers = (*numbers, *REST)
    events = [
        EVENT % (number, b's1' if index < 2 else b's2')
        for index, number in enumerate(numbers)
    ]
    return judge(
        Replied(1, 'q2-ask', 's1', 200, sent_events(1, 2), False),
        Replied(
            2, 'q2-ask', 's2', second_status, sent_events(3, 4, *REST), True
        ),
        Answered(3, 'q2-ask', 200, 's1', b''.join(events) + END * ends),
    )


def test_resumed_stream_must_have_each_event_once_in_order():
    assert not judge_stream(1, 2, 3, 4)
    for numbers in ((1, 2, 4), (1, 2, 2, 3, 4), (1, 2, 4, 3), (1, 2, 3)):
        assert judge_stream(*numbers)
    assert judge_stream(1, 2, 3, 4, second_status=500)


# A run may be cut after all its bytes, before the mark of its end (seed 121).
def test_stream_resumed_after_its_last_event_has_its_comment_twice():
    assert not judge_stream(1, 2, 3, 4, ends=2)
    for ends in (0, 3):
        assert judge_stream(1, 2, 3, 4, ends=ends)
