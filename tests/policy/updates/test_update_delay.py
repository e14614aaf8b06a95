"""Tests of the measured delay of updates."""

from peridotwell.policy.updates.update_delay import UpdateDelay


def test_the_delay_is_the_time_until_an_update_returns():
    delay = UpdateDelay()
    delay.record_sent(1, 10.0)
    delay.record_returned(1, 10.2)
    assert round(delay.seconds(11), 3) == 0.2


def test_the_delay_grows_while_no_update_returns():
    """A relay whose link is full still sends, but what it sends is old."""
    delay = UpdateDelay()
    delay.record_sent(1, 10.0)
    delay.record_returned(1, 10.2)
    for step in range(20):
        delay.record_sent(step + 2, 11.0 + step)
    assert delay.seconds(30) == 19


def test_a_lost_update_does_not_count_once_a_later_one_returns():
    delay = UpdateDelay()
    delay.record_sent(1, 10.0)
    delay.record_sent(2, 11.0)
    delay.record_returned(2, 11.3)
    assert round(delay.seconds(12), 3) == 0.3


def test_an_update_that_returns_twice_counts_once():
    delay = UpdateDelay()
    delay.record_sent(1, 10.0)
    delay.record_sent(2, 10.5)
    delay.record_returned(1, 10.1)
    delay.record_returned(1, 13.0)
    delay.record_returned(2, 10.7)
    assert round(delay.seconds(13), 3) == 0.2


def test_a_router_without_a_relay_has_no_delay():
    delay = UpdateDelay()
    delay.record_sent(1, 10.0)
    delay.clear()
    assert delay.seconds(20) == 0
