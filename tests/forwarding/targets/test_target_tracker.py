"""Tests of the reuse of connections after failures."""

from dataclasses import replace

import pytest

from peridotwell.domain.routing_table import RequestKind
from peridotwell.forwarding.targets.target_tracker import TargetTracker
from peridotwell.policy.health.outlier_ejection import OutlierEjection
from tests.fleet.relays.test_update_exchange import Router
from tests.forwarding.targets.test_crash_tracker import make_request, target

NEAR = target('near', '10.0.0.1:80')
BOOKING = replace(
    make_request(),
    route=replace(make_request().route, kind=RequestKind.non_idempotent),
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


def test_after_a_failure_only_repeatable_requests_reuse_connections(tracker):
    """After a network partition, idle connections are reset when used.

    In a large deployment this failed hundreds of bookings, one for each idle
    connection, because the target might have run them.
    """
    assert tracker.may_reuse_connection(BOOKING, NEAR, 0)
    tracker.data_centres.record_connection_failure(
        'a', 'another', 0, is_unreachable=False
    )
    assert not tracker.may_reuse_connection(BOOKING, NEAR, 1)
    assert tracker.may_reuse_connection(make_request(), NEAR, 1)
    assert tracker.may_reuse_connection(BOOKING, NEAR, 9)


def test_a_booking_to_a_silent_target_needs_a_new_connection(tracker):
    """If packets are dropped, an idle connection still looks usable."""
    tracker.silence.record_request(NEAR.name, 0)
    assert not tracker.may_reuse_connection(BOOKING, NEAR, 1)
    tracker.record_activity(NEAR, 1)
    assert tracker.may_reuse_connection(BOOKING, NEAR, 1)
