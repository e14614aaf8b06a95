"""Reads from the routers' logs for how long they had their requests."""

from datetime import UTC, datetime

import msgspec

from tests.soak.records import Handled

__all__ = ('read_handled',)

TIME_FORMAT = '%Y-%m-%d %H:%M:%S,%f'
# The field with the seconds since a request was read, by event.
SECONDS_FIELDS = {
    'request.answered': 'whole_seconds',
    'request.refused': 'after_seconds',
}


def read_handled(line: str, router: str, clock_offset: float) -> Handled | None:
    """Return what a line of a router's log says, None if nothing.

    `clock_offset` is added to the time of day, in seconds.
    """
    if '"event": "request.' not in line:
        return None
    try:
        fields = msgspec.json.decode(line)
    except msgspec.DecodeError:
        # A line of a process that was killed may end early.
        return None
    seconds = fields.get(SECONDS_FIELDS.get(fields['event'], ''))
    if seconds is None:
        return None
    logged_at = datetime.strptime(fields['time'], TIME_FORMAT)
    at = logged_at.replace(tzinfo=UTC).timestamp() + clock_offset
    return Handled(at, fields['request'], router, seconds)
