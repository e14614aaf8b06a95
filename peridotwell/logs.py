"""JSON logs: one line for each decision, with a stable event name.

The content of requests, API keys and idempotency keys are never logged. A
thread writes the lines from a bounded queue, so that a stalled reader of the
output never delays requests. Lines beyond the rate limit or the capacity of
the queue are dropped and counted. Part of the rate limit is reserved for
failures, so that lines about failures are dropped last.

A line about a failure is written at once, by its caller, if the output is a
pipe that has room and all earlier lines are written. Then it is out before the
answer to its request, also if the process is killed next. For other outputs (a
file, a full pipe) no write is sure not to wait: a killed process loses the
lines that its thread has not written yet.

Readers may keep only the beginning of a line. So the time, the instance and the
event come first, then the fields in the order of the call, and last what other
fields imply: the level and the data centre.
"""

import atexit
import json
import logging
import queue
import sys
import time
from contextlib import suppress
from functools import partial
from logging.handlers import QueueHandler, QueueListener
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter

from peridotwell.pipe_output import PipeOutput

__all__ = ('configure_logging', 'log_event', 'log_failure', 'LogRateLimiter')

LOGGER_NAME = 'peridotwell'
LINE_FORMAT = '%(asctime)s'
# Of items, and of names from values: lines have no spaces between them.
SEPARATORS = (',', ':')
LINE_END = '\n'
QUEUE_CAPACITY_LINES = 4000
LINES_PER_SECOND = 400
BURST_LINES = 1000
# Share of the burst that is reserved for lines about failures.
FAILURE_RESERVE_RATIO = 0.3
# How long the end of the process waits for queued lines to be written.
FLUSH_TIMEOUT_SECONDS = 0.5


class LogRateLimiter:
    """A token bucket that limits the number of log lines."""

    def __init__(self, lines_per_second: float, burst_lines: float) -> None:
        self.dropped_lines = 0
        self._lines_per_second = lines_per_second
        self._burst_lines = burst_lines
        self._available_lines = burst_lines
        self._updated_at = float(0)

    def try_acquire(self, now: float, *, is_failure: bool) -> bool:
        """Return whether a line may be written; count it as dropped if not."""
        elapsed_seconds = max(now - self._updated_at, 0)
        self._updated_at = now
        self._available_lines = min(
            self._burst_lines,
            self._available_lines + elapsed_seconds * self._lines_per_second,
        )
        reserved_lines = (
            0 if is_failure else self._burst_lines * FAILURE_RESERVE_RATIO
        )
        if self._available_lines - 1 < reserved_lines:
            self.dropped_lines += 1
            return False
        self._available_lines -= 1
        return True


class _RateLimitedHandler(QueueHandler):
    """Queues records within a rate limit and reports how many it dropped."""

    def __init__(
        self,
        records: 'queue.Queue[logging.LogRecord]',
        output: PipeOutput | None = None,
    ) -> None:
        super().__init__(records)
        self._records = records
        self._output = output
        self._rate_limiter = LogRateLimiter(LINES_PER_SECOND, BURST_LINES)

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or drop it and count it as dropped."""
        is_failure = record.levelno >= logging.WARNING
        if not self._rate_limiter.try_acquire(
            time.monotonic(), is_failure=is_failure
        ):
            return
        if self._rate_limiter.dropped_lines and isinstance(record.msg, dict):
            record.msg['dropped_lines'] = self._rate_limiter.dropped_lines
        if is_failure and self._try_write(record):
            self._rate_limiter.dropped_lines = 0
            return
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self._rate_limiter.dropped_lines += 1
        else:
            self._rate_limiter.dropped_lines = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record as it is, because the listener formats it."""
        return record

    def _try_write(self, record: logging.LogRecord) -> bool:
        """Write a record at once if all earlier ones are written."""
        if self._output is None or self._records.unfinished_tasks:
            return False
        return self._output.try_write(self.format(record) + LINE_END)


class _TimeLimitedListener(QueueListener):
    """Writes queued records when the process ends, for a limited time."""

    def stop(self) -> None:
        """Wait a limited time until the queued records are written."""
        with suppress(queue.Full):
            self.enqueue_sentinel()
        if self._thread is not None:
            self._thread.join(FLUSH_TIMEOUT_SECONDS)


class _LineFormatter(JsonFormatter):
    """Formats a record as one JSON object; what tells least comes last."""

    def __init__(self, instance: str, data_centre: str) -> None:
        super().__init__(
            LINE_FORMAT,
            rename_fields={'asctime': 'time'},
            static_fields={'instance': instance},
            json_serializer=partial(json.dumps, separators=SEPARATORS),
        )
        self._data_centre = data_centre

    def add_fields(
        self,
        log_data: dict[str, Any],
        record: logging.LogRecord,
        message_dict: dict[str, Any],
    ) -> None:
        """Add the fields of a record in the order of the line."""
        super().add_fields(log_data, record, message_dict)
        log_data['level'] = record.levelname
        log_data['data_centre'] = self._data_centre


def configure_logging(
    instance: str,
    data_centre: str,
    stream: TextIO = sys.stdout,
) -> None:
    """Write the log to `stream`, one JSON object a line."""
    formatter = _LineFormatter(instance, data_centre)
    handler = logging.StreamHandler(stream)
    handler.setFormatter(formatter)
    records: queue.Queue[logging.LogRecord] = queue.Queue(QUEUE_CAPACITY_LINES)
    logger = logging.getLogger(LOGGER_NAME)
    queue_handler = _RateLimitedHandler(records, PipeOutput(stream))
    queue_handler.setFormatter(formatter)
    logger.addHandler(queue_handler)
    logger.setLevel(logging.INFO)
    logger.propagate = False
    listener = _TimeLimitedListener(records, handler)
    listener.start()
    atexit.register(listener.stop)


def log_event(event: str, **fields: object) -> None:
    """Log a decision or a change of state; `event` is its stable name."""
    logging.getLogger(LOGGER_NAME).info({'event': event, **fields})


def log_failure(event: str, **fields: object) -> None:
    """Log a failure of a request or of a dependency."""
    logging.getLogger(LOGGER_NAME).warning({'event': event, **fields})
