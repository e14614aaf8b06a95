"""JSON logs: one line for each decision, with a stable event name.

Nothing of a caller's content, no API key and no idempotency key is ever
logged. Lines are written by a thread behind a bounded queue, so a reader that
stalls never holds up requests; lines over the bounds are dropped and counted.
Lines about failures keep a reserve, so they are the last to go.
"""

import atexit
import logging
import queue
import sys
import time
from contextlib import suppress
from logging.handlers import QueueHandler, QueueListener
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

__all__ = ('configure_logging', 'log_event', 'log_failure', 'LogRateLimiter')

LOGGER_NAME = 'peridotwell'
FORMAT = '%(asctime)s %(levelname)s'
QUEUE_LINES = 4000
LINES_PER_SECOND = 400
BURST_LINES = 1000
# Part of the budget that only lines about failures may use.
FAILURE_RESERVE = 0.3
LAST_LINES_SECONDS = 0.5


class LogRateLimiter:
    """How many lines may be written, as a bucket that fills with time."""

    def __init__(self, per_second: float, burst: float) -> None:
        self.dropped = 0
        self._per_second = per_second
        self._burst = burst
        self._left = burst
        self._at = float(0)

    def take(self, now: float, *, is_failure: bool) -> bool:
        """Take one line; False, and counted, when there is none left."""
        passed = max(now - self._at, 0)
        self._at = now
        self._left = min(self._burst, self._left + passed * self._per_second)
        floor = 0 if is_failure else self._burst * FAILURE_RESERVE
        if self._left - 1 < floor:
            self.dropped += 1
            return False
        self._left -= 1
        return True


class _BoundedHandler(QueueHandler):
    """Queues lines within a budget and tells how many were dropped."""

    def __init__(self, lines: 'queue.Queue[logging.LogRecord]') -> None:
        super().__init__(lines)
        self._budget = LogRateLimiter(LINES_PER_SECOND, BURST_LINES)

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or drop and count it."""
        is_failure = record.levelno >= logging.WARNING
        if not self._budget.take(time.monotonic(), is_failure=is_failure):
            return
        if self._budget.dropped:
            record.msg['dropped_lines'] = self._budget.dropped
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self._budget.dropped += 1
        else:
            self._budget.dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Leave the formatting to the thread."""
        return record


class _Listener(QueueListener):
    """Writes the rest at the end of the process, unless nobody reads."""

    def stop(self) -> None:
        """Wait for the lines that are queued, for a moment."""
        with suppress(queue.Full):
            self.enqueue_sentinel()
        if self._thread is not None:
            self._thread.join(LAST_LINES_SECONDS)


def configure_logging(
    instance: str,
    data_centre: str,
    stream: TextIO = sys.stdout,
) -> None:
    """Write JSON lines to `stream`."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        JsonFormatter(
            FORMAT,
            rename_fields={
                'asctime': 'time',
                'levelname': 'level',
            },
            static_fields={'instance': instance, 'data_centre': data_centre},
        ),
    )
    lines: queue.Queue[logging.LogRecord] = queue.Queue(QUEUE_LINES)
    logger = logging.getLogger(LOGGER_NAME)
    logger.addHandler(_BoundedHandler(lines))
    logger.setLevel(logging.INFO)
    logger.propagate = False
    listener = _Listener(lines, handler)
    listener.start()
    atexit.register(listener.stop)


def log_event(event: str, **facts: object) -> None:
    """Log a decision or a change of state; `event` is its stable name."""
    logging.getLogger(LOGGER_NAME).info({'event': event, **facts})


def log_failure(event: str, **facts: object) -> None:
    """Log what went wrong for a request or a dependency."""
    logging.getLogger(LOGGER_NAME).warning({'event': event, **facts})
