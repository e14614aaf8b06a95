"""How streams end, and what the log tells of it."""

import pytest

from peridotwell.forwarding.answering import response_recorder
from peridotwell.forwarding.streams import stream_log
from peridotwell.serving import target_presence
from tests.peridotwell_platform.stream_ends import (
    caller_of,
    chunked,
    events,
    request_until_asked,
    unmarked,
    use_raw_targets,
)
from tests.peridotwell_platform.test_path import harness
from tests.raw_target import RawTarget

__all__ = ('harness',)


@pytest.fixture
def log_lines(monkeypatch):
    """Return the lines that tell of streams, as (event, fields)."""
    lines = []

    def record(event, **fields):
        lines.append((event, fields))

    monkeypatch.setattr(stream_log, 'log_failure', record)
    monkeypatch.setattr(response_recorder, 'log_event', record)
    return lines


# Guards against streams whose log does not tell how they ended, so that a cut
# one cannot be told from a whole one.
@pytest.mark.parametrize(
    ('response', 'expected'),
    [
        (chunked(events(1, 2, 3)), ('chunks', '1', '3', 3, 0, 0)),
        (unmarked(events(1, 2, 3)), ('connection', '1', '3', 3, 0, 0)),
        (chunked(events(1, 2), is_whole=False), ('cut', '1', '2', 2, 0, 0)),
        (chunked(events(1, 2, 4)), ('cut', '1', '2', 2, 1, 0)),
        (chunked(events(2, 3, 4, 4)), ('chunks', '2', '4', 3, 1, 1)),
        (chunked(events(1, 2, 2, 3)), ('chunks', '1', '3', 3, 0, 1)),
    ],
)
async def test_the_log_tells_how_a_stream_ended(
    harness, nursery, log_lines, response, expected
):
    target = RawTarget([response])
    await use_raw_targets(harness, nursery, target)
    got = await request_until_asked(caller_of(harness, '/ask/x'), target)
    names = ('end', 'first', 'last', 'events', 'missing', 'repeated')
    told = [fields for _, fields in log_lines if 'passed_end' in fields]
    assert told
    for fields in told:
        assert tuple(fields[name] for name in names) == expected
        assert fields['passed_end'] == got.end


# Guards against lines whose readers keep only the first 200 characters and miss
# how the stream ended.
async def test_how_a_stream_ended_stands_at_the_beginning_of_its_line(
    harness, nursery, log_lines
):
    target = RawTarget([unmarked(events(1, 2))])
    await use_raw_targets(harness, nursery, target)
    await request_until_asked(caller_of(harness, '/ask/x'), target)
    for _, fields in log_lines:
        assert list(fields)[:6] == [
            'request',
            'end',
            'passed_end',
            'first',
            'last',
            'events',
        ]


# Guards against ends without a mark of which the log does not tell what was
# asked about them.
@pytest.mark.parametrize(
    ('path', 'expected'),
    [('/draft/x', 'not_resumable'), ('/ask/x', 'no_answer')],
)
async def test_the_log_tells_what_was_asked_about_an_end_without_a_mark(
    harness, nursery, log_lines, monkeypatch, path, expected
):
    checks = []
    monkeypatch.setattr(
        target_presence,
        'log_failure',
        lambda event, **fields: checks.append((event, fields)),
    )
    target = RawTarget([unmarked(events(1, 2))])
    await use_raw_targets(harness, nursery, target)
    await request_until_asked(caller_of(harness, path), target)
    told = [fields for _, fields in log_lines if 'passed_end' in fields]
    assert {fields['rest'] for fields in told} == {expected}
    ((event, fields),) = checks
    assert event == 'end.checked'
    assert fields['target'] == 'raw-0'
    assert fields['answer'] == 'same_process'
