"""Reads routers' logs: when they run, how long they had their requests."""

from datetime import UTC, datetime

import msgspec

from tests.soak.records import Handled, RouterRuns

__all__ = ('read_log_line',)

TIME_FORMAT = '%Y-%m-%d %H:%M:%S,%f'
# The field with the seconds since a request was read, by event.
SECONDS_FIELDS = {
    'request.answered': 'whole_seconds',
    'request.refused': 'after_seconds',
}
START_EVENT = 'router.started'
EVENTS = (START_EVENT, *SECONDS_FIELDS)


def read_log_line(
    line: str, router: str, clock_offset: float
) -> Handled | RouterRuns | None:
    """Return what a line of a router's log says, None if nothing.

    `clock_offset` is added to the time of day, in seconds.
    """
    if not any(f'"{event}"' in line for event in EVENTS):
        return None
    try:
        fields = msgspec.json.decode(line)
    except msgspec.DecodeError:
        # A line of a process that was killed may end early.
        return None
    if fields['event'] not in EVENTS:
        return None
    logged_at = datetime.strptime(fields['time'], TIME_FORMAT)
    at = logged_at.replace(tzinfo=UTC).timestamp() + clock_offset
    if fields['event'] == START_EVENT:
        return RouterRuns(at, router)
    seconds = fields[SECONDS_FIELDS[fields['event']]]
    return Handled(at, fields['request'], router, seconds)
