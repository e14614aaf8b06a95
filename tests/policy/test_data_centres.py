"""A data centre is cut off while requests keep coming."""

from peridotwell.policy.data_centres import (
    AVOIDANCE_SECONDS,
    RECENT_FAILURE_SECONDS,
    DataCentreMonitor,
)


def unreachable(watch, target, now):
    return watch.record_connection_failure(
        'a', target, now, is_unreachable=True
    )


def test_two_targets_that_cannot_be_reached_speak_for_the_rest():
    watch = DataCentreMonitor()
    assert not unreachable(watch, 't1', 0)
    assert not watch.is_avoided('a', 0)
    assert unreachable(watch, 't2', 0.1)
    assert watch.is_avoided('a', 0.2)
    assert not watch.is_avoided('b', 0.2)


def test_one_target_that_is_gone_does_not():
    watch = DataCentreMonitor()
    for now in range(5):
        unreachable(watch, 't1', now)
    assert not watch.is_avoided('a', 4)


def test_targets_that_fail_while_others_are_heard_do_not():
    """Many targets crash at once in a data centre that is reached."""
    watch = DataCentreMonitor()
    for number in range(5):
        unreachable(watch, f't{number}', number)
        watch.record_activity('a')
    assert not watch.is_avoided('a', 4)


def test_it_is_tried_again_and_one_failure_is_enough_then():
    watch = DataCentreMonitor()
    unreachable(watch, 't1', 0)
    unreachable(watch, 't2', 0)
    later = AVOIDANCE_SECONDS + 0.1
    assert not watch.is_avoided('a', later)
    unreachable(watch, 't3', later)
    assert watch.is_avoided('a', later)


def test_it_is_used_as_soon_as_it_is_heard():
    watch = DataCentreMonitor()
    unreachable(watch, 't1', 0)
    unreachable(watch, 't2', 0)
    watch.record_activity('a')
    assert not watch.is_avoided('a', 0.1)


def test_a_connection_that_breaks_makes_kept_ones_doubtful():
    watch = DataCentreMonitor()
    assert not watch.record_connection_failure(
        'a', 't1', 0, is_unreachable=False
    )
    assert watch.has_recent_failures('a', RECENT_FAILURE_SECONDS)
    assert not watch.has_recent_failures('a', RECENT_FAILURE_SECONDS + 0.1)
    assert not watch.is_avoided('a', 0)
