"""Tests of how long an attempt waits for a silent target."""

import math
from dataclasses import replace

import pytest

from peridotwell.domain.routing_table import RequestKind
from peridotwell.forwarding.sending.attempt_limits import max_silence_seconds
from peridotwell.serving.target_client import CONNECT_TIMEOUT_SECONDS
from tests.forwarding.targets.test_crash_tracker import make_request

# A sound engine may send nothing for a second or so.
SOUND_PAUSE_SECONDS = 1.2


def request(kind, objective_seconds, deadline_at=9.0, **changes):
    base = make_request()
    route = replace(
        base.route, kind=kind, objective_seconds=objective_seconds, **changes
    )
    return replace(base, route=route, deadline_at=deadline_at)


@pytest.mark.parametrize('objective', [0.1, 0.3, 0.8])
def test_a_stream_bears_a_sound_pause(objective):
    stream = request(RequestKind.streaming, objective, resumable=True)
    assert max_silence_seconds(stream, 0) > SOUND_PAUSE_SECONDS


def test_a_short_deadline_leaves_time_for_another_target():
    stream = request(RequestKind.streaming, 0.1, 1.0, resumable=True)
    assert max_silence_seconds(stream, 0) == 0.5


def test_a_connection_fails_before_its_target_counts_as_silent():
    lookup = request(RequestKind.idempotent, 0.01)
    assert max_silence_seconds(lookup, 0) > CONNECT_TIMEOUT_SECONDS


@pytest.mark.parametrize(
    'kind', [RequestKind.non_idempotent, RequestKind.streaming]
)
def test_what_must_not_run_twice_waits_for_its_target(kind):
    assert max_silence_seconds(request(kind, 0.1), 0) == math.inf
