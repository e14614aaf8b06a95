"""What is concluded from the connections to targets."""

from dataclasses import replace

import pytest

from peridotwell.domain.routing_table import RequestKind
from peridotwell.forwarding.target_tracker import TargetTracker
from peridotwell.policy.outlier_ejection import OutlierEjection
from tests.fleet.test_update_exchange import Router
from tests.forwarding.test_crash_tracker import call, target

NEAR = target('near', '10.0.0.1:80')
BOOKING = replace(
    call(),
    route=replace(call().route, kind=RequestKind.non_idempotent),
)


@pytest.fixture
def tracker():
    router = Router('r', {})
    return TargetTracker(
        router.directory,
        OutlierEjection(),
        router.sharing,
        router.knowledge,
    )


def test_after_a_break_only_repeatable_requests_use_kept_connections(tracker):
    """A cut resets every kept connection as soon as it is used.

    On a large site that failed hundreds of bookings, as each kept connection
    cost one request that may have run.
    """
    assert tracker.may_reuse_connection(BOOKING, NEAR, 0)
    tracker.data_centres.record_connection_failure(
        'a', 'another', 0, is_unreachable=False
    )
    assert not tracker.may_reuse_connection(BOOKING, NEAR, 1)
    assert tracker.may_reuse_connection(call(), NEAR, 1)
    assert tracker.may_reuse_connection(BOOKING, NEAR, 9)


def test_a_silent_target_gets_a_booking_on_a_new_connection(tracker):
    """Behind a cut that drops packets, a kept connection tells nothing."""
    tracker.silence.record_request(NEAR.name, 0)
    assert not tracker.may_reuse_connection(BOOKING, NEAR, 1)
    tracker.record_activity(NEAR, 1)
    assert tracker.may_reuse_connection(BOOKING, NEAR, 1)
