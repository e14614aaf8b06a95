"""The check of streams reports events out of order and ends too strong.

The judge is given what callers got of their answers, and what targets sent.
"""

import msgspec
import pytest

from tests.soak.answer_rule import judge_answers
from tests.soak.events import EVENTS_PER_STREAM, joined
from tests.soak.order_rule import count_allowances, judge_order
from tests.soak.records import (
    Answered,
    Replied,
    RouterDisturbed,
    RouterStarted,
    Sent,
)

END = b': q1-%b\n\n'
WHOLE = tuple(range(1, EVENTS_PER_STREAM + 1))
REST = WHOLE[2:]


def sent(*numbers, receipt='s1', kind='ask', framing='open', cut=''):
    end = b'' if cut else END % kind.encode()
    body = joined((number, receipt.encode()) for number in numbers) + end
    return Replied(
        1,
        f'q1-{kind}',
        receipt,
        200,
        body,
        not cut,
        framing=framing,
        cut=cut,
    )


def got(*parts, kind='ask', ended='chunks', end=b''):
    """Return an answer of parts, each a receipt with numbers."""
    body = b''.join(
        joined((number, receipt.encode()) for number in numbers)
        for receipt, numbers in parts
    )
    return Answered(2, f'q1-{kind}', 200, 's1', body + end, ended=ended)


def broken(answer):
    return msgspec.structs.replace(
        answer, status=0, receipt='', error='cut', ended=''
    )


def judge(*records, allows=True):
    return list(judge_order(records, allows=allows))


def judge_all(*records):
    return judge(*records) + list(judge_answers(records))


@pytest.mark.parametrize('ended', ['chunks', 'length', 'open'])
@pytest.mark.parametrize('kind', ['draft', 'ask'])
def test_whole_stream_is_allowed_however_it_ends(kind, ended):
    answer = got(('s1', WHOLE), kind=kind, ended=ended, end=END % kind.encode())
    assert not judge_all(sent(*WHOLE, kind=kind), answer)


# Guards against ends that look whole (issues 68 and 71): a run without a length
# or chunks was ended in the ordinary way, between two events.
@pytest.mark.parametrize('kind', ['draft', 'ask'])
def test_cut_stream_may_not_be_marked_as_complete(kind):
    run = sent(1, 2, kind=kind, cut='end')
    for ended in ('chunks', 'length'):
        answer = got(('s1', (1, 2)), kind=kind, ended=ended)
        assert 'marked as complete' in judge(run, answer)[0]
    answer = got(('s1', (1, 2)), kind=kind, ended='open')
    assert 'lacks the events [3, 4, 5' in judge(run, answer)[0]
    assert not judge_all(run, broken(got(('s1', (1, 2)), kind=kind)))


@pytest.mark.parametrize('kind', ['read', 'book'])
@pytest.mark.parametrize('status', [200, 500])
def test_cut_answer_may_not_be_marked_as_complete(kind, status):
    run = Replied(
        1, f'q1-{kind}', 's1', status, b'ha', False, framing='open', cut='end'
    )
    answer = Answered(2, f'q1-{kind}', status, 's1', b'ha', ended='length')
    assert 'marked as complete' in judge(run, answer)[0]
    unmarked = msgspec.structs.replace(answer, ended='open')
    assert not judge_all(run, unmarked)
    assert sum(count_allowances((run, unmarked)).values()) == 1
    assert judge(run, unmarked, allows=False)


@pytest.mark.parametrize(
    ('framing', 'cut'),
    [('open', 'end'), ('open', 'reset'), ('chunks', 'end'), ('length', 'end')],
)
def test_no_cut_stream_may_end_in_the_ordinary_way(framing, cut):
    run = sent(1, 2, kind='draft', framing=framing, cut=cut)
    assert judge_all(run, got(('s1', (1, 2)), kind='draft', ended='open'))


def test_part_without_a_mark_is_all_that_the_target_sent():
    run = sent(1, 2, kind='draft', cut='end')
    assert judge_all(run, got(('s1', (1,)), kind='draft', ended='open'))


def test_resumed_stream_needs_all_its_events():
    runs = sent(1, 2, cut='end'), sent(3, receipt='s2', cut='end')
    parts = ('s1', (1, 2)), ('s2', (3,))
    assert judge(*runs, got(*parts, ended='open'))
    assert judge(*runs, got(*parts, ended='chunks'))
    assert judge_all(*runs, got(('s1', (1, 2)), ended='chunks'))
    whole = sent(*REST, receipt='s2')
    end = END % b'ask'
    assert not judge_all(
        runs[0], whole, got(('s1', (1, 2)), ('s2', REST), end=end)
    )
    assert judge_all(runs[0], whole, got(*parts, ended='open'))


@pytest.mark.parametrize('kind', ['draft', 'ask'])
@pytest.mark.parametrize('is_broken', [False, True])
@pytest.mark.parametrize(
    ('numbers', 'why'),
    [
        ((1, 2, 2, 3, 4), 'twice'),
        ((1, 2, 3, 4, 3), 'twice'),
        ((1, 3, 2, 4), 'out of order'),
        ((1, *WHOLE[2:]), 'lacks the events [2]'),
        (WHOLE[1:], 'lacks the events [1]'),
    ],
)
def test_events_come_once_and_in_order(numbers, why, is_broken, kind):
    answer = got(('s1', numbers), kind=kind)
    if is_broken:
        answer = broken(answer)
    assert why in judge(sent(*WHOLE, kind=kind), answer)[0]


# Guards against events that come twice or are missing, since their target sent
# them so (issue 71): its fault excuses neither.
@pytest.mark.parametrize('kind', ['draft', 'ask'])
def test_a_fault_of_the_target_is_no_excuse(kind):
    repeated = (1, 2, *WHOLE[1:])
    twice = sent(*repeated, kind=kind)
    end = END % kind.encode()
    passed_on = got(('s1', repeated), kind=kind, end=end)
    assert 'twice' in judge(twice, passed_on)[0]
    once = got(('s1', WHOLE), kind=kind, end=end)
    assert not judge_all(twice, once)
    left = WHOLE[:4] + WHOLE[5:]
    without = sent(*left, kind=kind)
    passed_on = got(('s1', left), kind=kind, end=end)
    assert 'lacks the events [5]' in judge(without, *sound(10), passed_on)[0]
    part = broken(got(('s1', left[:5]), kind=kind))
    assert 'lacks the events [5]' in judge(without, *sound(10), part)[0]
    part = broken(got(('s1', left[:4]), kind=kind))
    assert not judge(without, *sound(10), part)


def sound(count, at=0):
    """Return the answers of streams that show how ids go up."""
    answer = got(('s1', WHOLE), kind='draft')
    return [
        msgspec.structs.replace(answer, at=at, request_id=f's{number}-draft')
        for number in range(count)
    ]


# Nothing tells an event that is left out of the first streams of a fleet.
@pytest.mark.parametrize(
    ('count', 'at', 'is_allowed'),
    [(0, 0, True), (9, 0, True), (10, 0, False), (10, 1.5, True)],
)
def test_the_first_streams_may_lack_what_was_left_out(count, at, is_allowed):
    left = WHOLE[:1] + WHOLE[2:]
    records = (
        sent(*left),
        *sound(count, at),
        got(('s1', left), end=END % b'ask'),
    )
    assert bool(judge(*records)) is not is_allowed
    assert sum(count_allowances(records).values()) == is_allowed
    assert judge(*records, allows=False)
    shorter = got(('s1', WHOLE[:1] + WHOLE[3:]), end=END % b'ask')
    assert judge(records[0], *sound(count, at), shorter)


# Guards against excuses by routers that start while others run.
def test_the_first_streams_are_those_of_the_whole_fleet():
    left = WHOLE[:1] + WHOLE[2:]
    records = sent(*left), *sound(10), got(('s1', left))
    begun = RouterStarted(-1, 'r0'), RouterStarted(-1, 'r1')
    assert judge(*records, *begun)
    assert judge(*records, *begun, RouterStarted(1, 'r0'))
    both = RouterStarted(1, 'r0'), RouterStarted(0.5, 'r1')
    assert not judge(*records, *begun, *both)
    assert judge(*records, *begun, RouterStarted(3, 'r0'), both[1])


# Guards against an excuse for what the stream itself tells (issue 71).
@pytest.mark.parametrize('kind', ['draft', 'ask'])
def test_an_event_left_out_in_the_midst_is_never_allowed(kind):
    left = WHOLE[:2] + WHOLE[3:]
    passed_on = got(('s1', left), kind=kind, end=END % kind.encode())
    assert 'lacks the events [3]' in judge(sent(*left, kind=kind), passed_on)[0]


# Guards against callers who resume a stream and miss an event (issue 71).
def test_a_caller_who_resumes_gets_what_comes_next():
    run = sent(*WHOLE[2:])
    resumed = msgspec.structs.replace(
        got(('s1', WHOLE[2:]), end=END % b'ask'), after=2
    )
    assert not judge_all(run, resumed)
    resumed = msgspec.structs.replace(resumed, after=1)
    assert 'lacks the events [2]' in judge(run, resumed)[0]


def test_events_behind_the_end_may_not_be_passed_on():
    run = sent(*WHOLE, kind='draft')
    behind = joined([(3, b's1'), (4, b's1')])
    run = msgspec.structs.replace(run, body=run.body + behind)
    end = END % b'draft'
    passed_on = got(('s1', WHOLE), kind='draft', end=end + behind)
    assert 'twice' in judge(run, passed_on)[0]
    assert not judge_all(run, got(('s1', WHOLE), kind='draft', end=end))


# Guards against streams that go on behind the event that is due.
def test_the_second_run_may_leave_out_nothing():
    runs = sent(1, 2, cut='end'), sent(*REST[1:], receipt='s2')
    whole = sent(1, 2, *REST[1:], receipt='s3')
    end = END % b'ask'
    parts = ('s1', (1, 2)), ('s2', REST[1:])
    assert judge_all(*runs, got(*parts, end=end))
    assert judge_all(*runs, whole, *sound(10), got(*parts, end=end))


# Guards against answers without a mark that a kill of their router ends in the
# ordinary way (seed 6801 of a day): the router has them reset then.
def test_a_kill_of_its_router_excuses_no_ordinary_end():
    run = sent(*WHOLE, kind='draft')
    part = got(('s1', (1, 2)), kind='draft', ended='open')
    asked = Sent(0, 'q1-draft', 'r0', 'draft', 'key-1')
    killed = RouterDisturbed(1.9, 3, 'r0'), RouterStarted(2.9, 'r0')
    assert judge_all(run, asked, part)
    assert judge_all(run, asked, part, *killed)
