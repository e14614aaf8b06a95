"""Logs keep their bound and never block."""

import logging
import queue
import time

from peridotwell.logs import LogRateLimiter, _BoundedHandler, log_event


def test_lines_are_bounded_a_second():
    budget = LogRateLimiter(per_second=100, burst=50)
    taken = sum(
        budget.take(step / 1000, is_failure=True) for step in range(10_000)
    )
    assert taken <= 10 * 100 + 50


def test_lines_about_failures_are_the_last_to_go():
    budget = LogRateLimiter(per_second=1, burst=100)
    while budget.take(0, is_failure=False):
        pass
    assert budget.take(0, is_failure=True)
    assert budget.dropped == 1


def test_a_reader_that_stalls_holds_up_nobody():
    """Many more lines than the queue holds, and nobody reads them."""
    lines = queue.Queue(10)
    logger = logging.getLogger('peridotwell')
    handler = _BoundedHandler(lines)
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    began = time.monotonic()
    try:
        for number in range(2000):
            log_event('test', number=number)
    finally:
        logger.removeHandler(handler)
    assert time.monotonic() - began < 1
    assert lines.full()


def test_drops_are_told_with_the_next_line():
    lines = queue.Queue(1)
    handler = _BoundedHandler(lines)

    def emit():
        record = logging.LogRecord(
            'x', logging.INFO, '', 0, {'event': 'e'}, None, None
        )
        handler.enqueue(record)

    emit()
    emit()
    emit()
    lines.get_nowait()
    emit()
    assert lines.get_nowait().msg['dropped_lines'] == 2
