"""`peridotwellctl explain` prints a request's log lines with their context."""

import json
import subprocess
import sys

import pytest

from peridotwell.operators.explain import explain, read_lines


def line(event, **fields):
    return json.dumps({'instance': 'r-1', 'event': event, **fields})


LOG = [
    line('target.leaving', target='t-9', revision=3),
    line('target.set_aside', target='t-1', code='answer_lost'),
    line('table.taken', version=7),
    line('request.answered', request='other', target='t-1'),
    'not json',
    f'  12.5 edge {line("attempt.failed", request="x", target="t-1")}',
    line('request.refused', request='x', code='target_failed', status=502),
]


def test_lines_of_a_request_are_preceded_by_their_context():
    output = explain(read_lines(LOG), 'x')
    assert [row.split(' r-1 ')[1].split()[0] for row in output] == [
        'target.set_aside',
        'table.taken',
        'attempt.failed',
        'request.refused',
    ]


def test_lines_about_other_targets_and_requests_are_omitted():
    output = ' '.join(explain(read_lines(LOG), 'x'))
    assert 't-9' not in output
    assert 'other' not in output


@pytest.mark.parametrize('text', ['', '[]', '{', '{"a": 1}', 'x' * 100])
def test_lines_without_a_json_event_are_ignored(text):
    assert not list(read_lines([text]))


@pytest.mark.parametrize(('request_id', 'status'), [('x', 0), ('none', 1)])
def test_command_reads_standard_input(request_id, status):
    process = subprocess.run(
        [sys.executable, '-m', 'peridotwell.ctl', 'explain', request_id],
        input='\n'.join(LOG),
        capture_output=True,
        text=True,
        check=False,
    )
    assert process.returncode == status
    assert ('target_failed' in process.stdout) is (status == 0)
