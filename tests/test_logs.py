"""Logging is rate-limited and never blocks."""

import ast
import json
import logging
import queue
import time
from pathlib import Path

from peridotwell.logs import (
    LogRateLimiter,
    _LineFormatter,
    _RateLimitedHandler,
    log_event,
)


def test_lines_per_second_are_limited():
    rate_limiter = LogRateLimiter(lines_per_second=100, burst_lines=50)
    written = sum(
        rate_limiter.try_acquire(step / 1000, is_failure=True)
        for step in range(10_000)
    )
    assert written <= 10 * 100 + 50


def test_lines_about_failures_are_dropped_last():
    rate_limiter = LogRateLimiter(lines_per_second=1, burst_lines=100)
    while rate_limiter.try_acquire(0, is_failure=False):
        pass
    assert rate_limiter.try_acquire(0, is_failure=True)
    assert rate_limiter.dropped_lines == 1


def test_stalled_reader_does_not_block_logging():
    """Writes many more lines than the queue holds; no thread reads them."""
    records = queue.Queue(10)
    logger = logging.getLogger('peridotwell')
    handler = _RateLimitedHandler(records)
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    started_at = time.monotonic()
    try:
        for number in range(2000):
            log_event('test', number=number)
    finally:
        logger.removeHandler(handler)
    assert time.monotonic() - started_at < 1
    assert records.full()


def test_next_line_reports_number_of_dropped_lines():
    records = queue.Queue(1)
    handler = _RateLimitedHandler(records)

    def emit():
        record = logging.LogRecord(
            'x', logging.INFO, '', 0, {'event': 'e'}, None, None
        )
        handler.enqueue(record)

    emit()
    emit()
    emit()
    records.get_nowait()
    emit()
    assert records.get_nowait().msg['dropped_lines'] == 2


# Guards against lines whose beginning says what other fields imply.
def test_level_and_data_centre_are_the_last_fields_of_a_line():
    formatter = _LineFormatter('r-1', 'north')
    record = logging.LogRecord(
        'x', logging.WARNING, '', 0, {'event': 'e', 'code': 'c'}, None, None
    )
    line = formatter.format(record)
    assert ' ' not in line.partition(',"instance"')[2]
    assert list(json.loads(line).items())[1:] == [
        ('instance', 'r-1'),
        ('event', 'e'),
        ('code', 'c'),
        ('level', 'WARNING'),
        ('data_centre', 'north'),
    ]


def logged_fields():
    """Yield the keyword arguments of all log calls, with their place."""
    for folder in ('peridotwell', 'platform'):
        for path in Path(folder).rglob('*.py'):
            for node in ast.walk(ast.parse(path.read_text())):
                name = getattr(getattr(node, 'func', None), 'id', '')
                if name in {'log_event', 'log_failure'}:
                    yield from ((path.name, each.arg) for each in node.keywords)


# Guards against a field that replaces one that every line has.
def test_no_log_call_replaces_a_field_of_every_line():
    reserved = {'time', 'level', 'instance', 'data_centre', 'event'}
    fields = list(logged_fields())
    assert len(fields) > 50
    assert not [each for each in fields if each[1] in reserved]
