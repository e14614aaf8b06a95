"""The check of streams reports events out of order and ends too strong.

The judge is given what callers got of their answers, and what targets sent.
"""

import msgspec
import pytest

from tests.soak.answer_rule import judge_answers
from tests.soak.events import joined
from tests.soak.order_rule import judge_order
from tests.soak.records import (
    Answered,
    Replied,
    RouterDisturbed,
    RouterStarted,
    Sent,
)

END = b': q1-%b\n\n'


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


def judge(*records):
    return list(judge_order(records))


def judge_all(*records):
    return judge(*records) + list(judge_answers(records))


WHOLE = (1, 2, 3, 4)


@pytest.mark.parametrize('ended', ['chunks', 'length', 'open'])
@pytest.mark.parametrize('kind', ['draft', 'ask'])
def test_whole_stream_is_allowed_however_it_ends(kind, ended):
    answer = got(('s1', WHOLE), kind=kind, ended=ended, end=END % kind.encode())
    assert not judge_all(sent(*WHOLE, kind=kind), answer)


# Guards against ends that are stronger than they were (issue 68): a run without
# a length or chunks was ended in the ordinary way, between two events.
@pytest.mark.parametrize('kind', ['draft', 'ask'])
def test_cut_stream_may_not_be_marked_as_complete(kind):
    run = sent(1, 2, kind=kind, cut='end')
    for ended in ('chunks', 'length'):
        answer = got(('s1', (1, 2)), kind=kind, ended=ended)
        assert 'marked as complete' in judge(run, answer)[0]
    assert not judge_all(run, got(('s1', (1, 2)), kind=kind, ended='open'))
    assert not judge_all(run, broken(got(('s1', (1, 2)), kind=kind)))


@pytest.mark.parametrize('kind', ['read', 'book'])
@pytest.mark.parametrize('status', [200, 500])
def test_cut_answer_may_not_be_marked_as_complete(kind, status):
    run = Replied(
        1, f'q1-{kind}', 's1', status, b'ha', False, framing='open', cut='end'
    )
    answer = Answered(2, f'q1-{kind}', status, 's1', b'ha', ended='length')
    assert 'marked as complete' in judge(run, answer)[0]
    assert not judge_all(run, msgspec.structs.replace(answer, ended='open'))


@pytest.mark.parametrize(
    ('framing', 'cut'),
    [('open', 'reset'), ('chunks', 'end'), ('length', 'end')],
)
def test_only_an_ordinary_end_without_a_mark_is_passed_on_as_such(framing, cut):
    run = sent(1, 2, kind='draft', framing=framing, cut=cut)
    assert judge_all(run, got(('s1', (1, 2)), kind='draft', ended='open'))


def test_part_without_a_mark_is_all_that_the_target_sent():
    run = sent(1, 2, kind='draft', cut='end')
    assert judge_all(run, got(('s1', (1,)), kind='draft', ended='open'))


def test_resumed_stream_ends_as_its_last_run():
    runs = sent(1, 2, cut='end'), sent(3, receipt='s2', cut='end')
    parts = ('s1', (1, 2)), ('s2', (3,))
    assert not judge_all(*runs, got(*parts, ended='open'))
    assert judge_all(*runs, got(*parts, ended='chunks'))
    assert judge_all(*runs, got(('s1', (1, 2)), ended='chunks'))
    whole = sent(3, 4, receipt='s2')
    end = END % b'ask'
    assert not judge_all(
        runs[0], whole, got(('s1', (1, 2)), ('s2', (3, 4)), end=end)
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
        ((1, 3, 4), 'lacks the events [2]'),
        ((2, 3), 'lacks the events [1]'),
    ],
)
def test_events_come_once_and_in_order(numbers, why, is_broken, kind):
    answer = got(('s1', numbers), kind=kind)
    if is_broken:
        answer = broken(answer)
    assert why in judge(sent(*WHOLE, kind=kind), answer)[0]


# An event that the target repeats can be told by its id; one of the first that
# it leaves out cannot, as ids need not be consecutive.
def test_what_the_target_sent_is_the_reference():
    twice = sent(1, 2, 2, 3, 4, kind='draft')
    end = END % b'draft'
    passed_on = got(('s1', (1, 2, 2, 3, 4)), kind='draft', end=end)
    assert 'twice' in judge(twice, passed_on)[0]
    once = got(('s1', WHOLE), kind='draft', end=end)
    assert not judge_all(twice, once)
    without = sent(1, 3, 4, kind='draft')
    assert not judge_all(without, got(('s1', (1, 3, 4)), kind='draft', end=end))
    assert judge_all(without, got(('s1', (1, 4)), kind='draft', end=end))


# Guards against a judge that excuses each event that a target leaves out (issue
# 71): ids go up by one, so a router can tell one in the midst of a stream.
@pytest.mark.parametrize('kind', ['draft', 'ask'])
def test_an_event_left_out_in_the_midst_may_not_be_passed_over(kind):
    run = sent(1, 2, 4, kind=kind)
    end = END % kind.encode()
    passed_on = got(('s1', (1, 2, 4)), kind=kind, end=end)
    assert 'lacks the events [3]' in judge(run, passed_on)[0]
    assert 'lacks the events [3]' in judge(run, broken(passed_on))[0]
    assert not judge(run, broken(got(('s1', (1, 2)), kind=kind)))


def test_events_behind_the_end_may_not_be_passed_on():
    run = sent(*WHOLE, kind='draft')
    behind = joined([(3, b's1'), (4, b's1')])
    run = msgspec.structs.replace(run, body=run.body + behind)
    end = END % b'draft'
    passed_on = got(('s1', WHOLE), kind='draft', end=end + behind)
    assert 'twice' in judge(run, passed_on)[0]
    assert not judge_all(run, got(('s1', WHOLE), kind='draft', end=end))


def test_the_second_run_may_leave_out_what_nobody_can_tell():
    runs = sent(1, 2, cut='end'), sent(4, receipt='s2')
    whole = sent(1, 2, 4, receipt='s3')
    end = END % b'ask'
    parts = ('s1', (1, 2)), ('s2', (4,))
    assert judge_all(*runs, got(*parts, end=end))
    assert not judge_all(*runs, whole, got(*parts, end=end))


# Guards against answers without a mark that a kill of their router ends in the
# ordinary way (seed 6801 of a day): the router has them reset then.
def test_a_kill_of_its_router_excuses_no_ordinary_end():
    run = sent(*WHOLE, kind='draft')
    part = got(('s1', (1, 2)), kind='draft', ended='open')
    asked = Sent(0, 'q1-draft', 'r0', 'draft', 'key-1')
    killed = RouterDisturbed(1.9, 3, 'r0'), RouterStarted(2.9, 'r0')
    assert judge_all(run, asked, part)
    assert judge_all(run, asked, part, *killed)
