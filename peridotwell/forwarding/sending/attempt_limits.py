"""How long an attempt waits for its target."""

import math
from collections.abc import Hashable

from peridotwell.domain.routing_table import RequestKind
from peridotwell.forwarding.adapters import RoutedRequest
from peridotwell.forwarding.sending.attempt import Attempt
from peridotwell.serving.event_stream import EventLimit
from peridotwell.serving.target_client import ResponseTimeouts

__all__ = (
    'max_router_silence_seconds',
    'max_silence_seconds',
    'response_timeouts',
    'source_before_response',
)

MIN_TIMEOUT_SECONDS = 0.01
# A repeatable request goes to another target if the first one sends no data for
# this multiple of the objective of its route. Before a stream has begun, data
# on any connection to the target counts.
TIMEOUT_OBJECTIVES = 2
STREAM_TIMEOUT_OBJECTIVES = 3
# It is longer than a connection may take: then nothing was sent.
MIN_SILENCE_TIMEOUT_SECONDS = 0.4
# A sound engine may send nothing for a second.
MIN_STREAM_TIMEOUT_SECONDS = 1.5
# Share of the remaining time after which another target is tried at the latest.
MAX_SILENT_SHARE = 0.5
# A router that takes over a request may itself wait for a silent target.
ROUTER_TIMEOUT_FACTOR = 2


def response_timeouts(attempt: Attempt, now: float) -> ResponseTimeouts:
    """Return the timeouts of an attempt that starts `now`.

    They do not limit silence, which may be allowed: see SilenceLimits. The
    deadline of the request limits the whole response.
    """
    request = attempt.request
    remaining = max(request.deadline_at - now, MIN_TIMEOUT_SECONDS)
    event_limit = EventLimit(
        max_silence_seconds(request, now), attempt.may_leave
    )
    return ResponseTimeouts(remaining, math.inf, event_limit)


def source_before_response(attempt: Attempt) -> Hashable:
    """Return whose data show that a target is alive before it responds.

    The target of a stream may have a queue: data on any connection to it count.
    """
    if attempt.request.route.kind is RequestKind.streaming:
        return attempt.target.name
    return attempt


def max_silence_seconds(request: RoutedRequest, now: float) -> float:
    """Return how long a target may be silent before another one is tried.

    There is no limit for requests that must not run twice.
    """
    route = request.route
    if not route.may_repeat:
        return math.inf
    objective = route.objective_seconds
    if route.kind is RequestKind.streaming:
        remaining = request.deadline_at - now
        return max(
            STREAM_TIMEOUT_OBJECTIVES * objective,
            min(MIN_STREAM_TIMEOUT_SECONDS, remaining * MAX_SILENT_SHARE),
        )
    return max(TIMEOUT_OBJECTIVES * objective, MIN_SILENCE_TIMEOUT_SECONDS)


def max_router_silence_seconds(request: RoutedRequest, now: float) -> float:
    """Return how long a router that took over a request may be silent."""
    return ROUTER_TIMEOUT_FACTOR * max_silence_seconds(request, now)
