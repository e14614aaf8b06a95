"""From a request's id to its cause."""

import json
import subprocess
import sys

import pytest

from peridotwell.operators.explain import explain, read_lines


def line(event, **facts):
    return json.dumps({'instance': 'r-1', 'event': event, **facts})


LOG = [
    line('target.leaving', target='t-9', revision=3),
    line('target.set_aside', target='t-1', code='answer_lost'),
    line('table.taken', version=7),
    line('request.answered', request='other', target='t-1'),
    'not json',
    f'  12.5 edge {line("attempt.failed", request="x", target="t-1")}',
    line('request.refused', request='x', code='target_failed', status=502),
]


def test_the_lines_of_a_request_follow_what_led_to_them():
    told = explain(read_lines(LOG), 'x')
    assert [row.split(' r-1 ')[1].split()[0] for row in told] == [
        'target.set_aside',
        'table.taken',
        'attempt.failed',
        'request.refused',
    ]


def test_other_targets_and_requests_are_left_out():
    told = ' '.join(explain(read_lines(LOG), 'x'))
    assert 't-9' not in told
    assert 'other' not in told


@pytest.mark.parametrize('text', ['', '[]', '{', '{"a": 1}', 'x' * 100])
def test_lines_of_other_kinds_are_passed_over(text):
    assert not list(read_lines([text]))


@pytest.mark.parametrize(('request_id', 'status'), [('x', 0), ('none', 1)])
def test_the_tool_reads_standard_input(request_id, status):
    done = subprocess.run(
        [sys.executable, '-m', 'peridotwell.ctl', 'explain', request_id],
        input='\n'.join(LOG),
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == status
    assert ('target_failed' in done.stdout) is (status == 0)
