"""Tests of the choice of the routers that get a large change from a relay."""

from peridotwell.policy.updates.change_distribution import (
    ChangeReceiver,
    choose_receivers,
)

MEMBERS = [
    ChangeReceiver(1, 12_500_000),
    ChangeReceiver(2, 0),
    ChangeReceiver(3, 625_000),
    ChangeReceiver(4, 1_500_000),
]


# Guards against a change that arrives last where it takes longest.
def test_slow_links_come_first():
    assert choose_receivers(MEMBERS, 27_000, 12_500_000) == (3, 4, 1, 2)


# Guards against a relay whose link is filled by a large change.
def test_a_relay_sends_no_more_than_its_link_carries_in_time():
    assert choose_receivers(MEMBERS, 27_000, 625_000) == (3, 4, 1, 2)
    assert choose_receivers(MEMBERS, 50_000, 625_000) == (3, 4)
    assert not choose_receivers(MEMBERS, 330_000, 625_000)


def test_a_link_of_unknown_rate_sets_no_limit():
    assert len(choose_receivers(MEMBERS, 330_000, 0)) == 4
