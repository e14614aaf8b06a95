"""Tests of the detection of unreachable data centres."""

from peridotwell.policy.health.data_centres import (
    AVOIDANCE_SECONDS,
    RECENT_FAILURE_SECONDS,
    DataCentreMonitor,
)


def record_unreachable(monitor, target, now):
    return monitor.record_connection_failure(
        'a', target, now, is_unreachable=True
    )


def test_two_unreachable_targets_make_a_data_centre_avoided():
    monitor = DataCentreMonitor()
    assert not record_unreachable(monitor, 't1', 0)
    assert not monitor.is_avoided('a', 0)
    assert record_unreachable(monitor, 't2', 0.1)
    assert monitor.is_avoided('a', 0.2)
    assert not monitor.is_avoided('b', 0.2)


def test_one_unreachable_target_does_not_cause_avoidance():
    monitor = DataCentreMonitor()
    for now in range(5):
        record_unreachable(monitor, 't1', now)
    assert not monitor.is_avoided('a', 4)


def test_unreachable_targets_between_activity_do_not_cause_avoidance():
    """Many targets crash at once in a data centre that is reachable."""
    monitor = DataCentreMonitor()
    for number in range(5):
        record_unreachable(monitor, f't{number}', number)
        monitor.record_activity('a')
    assert not monitor.is_avoided('a', 4)


def test_a_data_centre_is_tried_again_and_avoided_after_one_more_failure():
    monitor = DataCentreMonitor()
    record_unreachable(monitor, 't1', 0)
    record_unreachable(monitor, 't2', 0)
    later = AVOIDANCE_SECONDS + 0.1
    assert not monitor.is_avoided('a', later)
    record_unreachable(monitor, 't3', later)
    assert monitor.is_avoided('a', later)


def test_activity_ends_the_avoidance():
    monitor = DataCentreMonitor()
    record_unreachable(monitor, 't1', 0)
    record_unreachable(monitor, 't2', 0)
    monitor.record_activity('a')
    assert not monitor.is_avoided('a', 0.1)


def test_a_failed_connection_counts_as_recent_failure_for_some_time():
    monitor = DataCentreMonitor()
    assert not monitor.record_connection_failure(
        'a', 't1', 0, is_unreachable=False
    )
    assert monitor.has_recent_failures('a', RECENT_FAILURE_SECONDS)
    assert not monitor.has_recent_failures('a', RECENT_FAILURE_SECONDS + 0.1)
    assert not monitor.is_avoided('a', 0)
