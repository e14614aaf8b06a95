"""JSON logs: one line for each change of state, with a stable event name.

Nothing of a caller's content, and no idempotency key, is ever logged.
"""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ('set_up_logs', 'log_event')

LOGGER_NAME = 'peridotwell'
FORMAT = '%(asctime)s %(levelname)s %(message)s'


def set_up_logs(instance: str, data_centre: str) -> None:
    """Write JSON lines to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            FORMAT,
            rename_fields={
                'asctime': 'time',
                'levelname': 'level',
                'message': 'event',
            },
            static_fields={'instance': instance, 'data_centre': data_centre},
        ),
    )
    logger = logging.getLogger(LOGGER_NAME)
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    logger.propagate = False


def log_event(event: str, **facts: object) -> None:
    """Log a change of state; `event` is its stable name."""
    logging.getLogger(LOGGER_NAME).info(event, extra=facts)
