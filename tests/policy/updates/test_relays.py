"""Tests of the choice of relays, without a network."""

from hypothesis import given
from hypothesis import strategies as st

from peridotwell.policy.updates.relays import (
    GROUP_ROUTERS,
    RETRY_RELAY_SECONDS,
    GroupMember,
    RelayMonitor,
    make_relay_groups,
)

DATA_CENTRES = ('a', 'b', 'c')
GROUP = (4, 2, 9, 7)


def members(count):
    return [GroupMember(each, DATA_CENTRES[each % 3]) for each in range(count)]


@given(st.integers(1, 500))
def test_groups_are_limited_in_size_and_within_a_data_centre(count):
    groups = make_relay_groups(members(count))
    assert sorted(each for group in groups for each in group) == [
        *range(count),
    ]
    for group in groups:
        assert len(group) <= GROUP_ROUTERS
        assert len({DATA_CENTRES[each % 3] for each in group}) == 1


@given(st.randoms())
def test_all_routers_make_the_same_groups(random):
    shuffled = members(90)
    random.shuffle(shuffled)
    assert make_relay_groups(shuffled) == make_relay_groups(members(90))


def test_the_first_router_of_a_group_is_its_relay():
    monitor = RelayMonitor()
    assert monitor.choose_relays(GROUP, 4, 0) == ()
    monitor.record_received(4, 0)
    assert monitor.choose_relays(GROUP, 7, 0) == (4,)


def test_two_relays_get_updates_until_the_first_has_responded():
    monitor = RelayMonitor()
    assert monitor.choose_relays(GROUP, 7, 0) == (4, 2)
    monitor.record_received(2, 0.1)
    assert monitor.choose_relays(GROUP, 7, 0.1) == (4, 2)


def test_an_unresponsive_relay_is_skipped_and_tried_again():
    """A frozen or killed relay is replaced after half a second."""
    monitor = RelayMonitor()
    monitor.record_received(4, 0)
    monitor.record_sent(4, 0.1)
    assert monitor.choose_relays(GROUP, 7, 0.4) == (4,)
    assert monitor.choose_relays(GROUP, 7, 0.7) == (2, 9)
    monitor.record_received(2, 0.8)
    assert monitor.choose_relays(GROUP, 7, 0.9) == (2,)
    assert monitor.choose_relays(GROUP, 7, 0.7 + RETRY_RELAY_SECONDS) == (4, 2)


def test_the_last_router_is_its_own_relay_if_none_responds():
    monitor = RelayMonitor()
    for now in (0, 1, 2):
        for relay in monitor.choose_relays(GROUP, 9, now):
            monitor.record_sent(relay, now)
    assert monitor.choose_relays(GROUP, 9, 2) == ()


def test_groups_are_as_large_as_the_links_of_their_relays_can_serve():
    """In a large deployment, most routers had links of 5 Mbit/s."""
    slow = [GroupMember(each, 'a', 625_000) for each in range(28)]
    assert {len(group) for group in make_relay_groups(slow)} == {5, 6}
    fast = [GroupMember(each, 'a', 12_500_000) for each in (100, 101)]
    (group,) = make_relay_groups(slow + fast)
    assert set(group[:2]) == {100, 101}


def test_every_group_has_a_fast_relay_while_there_are_enough():
    slow = [GroupMember(each, 'a', 625_000) for each in range(60)]
    fast = [GroupMember(each, 'a', 12_500_000) for each in range(100, 104)]
    groups = make_relay_groups(slow + fast)
    assert [len(group) for group in groups] == [32, 32]
    assert all(min(group[:2]) >= 100 for group in groups)


@given(st.lists(st.integers(0, 2_000_000), min_size=1, max_size=80))
def test_every_router_is_in_one_group_whatever_the_links(links):
    routers = [
        GroupMember(number, 'a', link) for number, link in enumerate(links)
    ]
    groups = make_relay_groups(routers)
    assert sorted(each for group in groups for each in group) == [
        *range(len(links))
    ]


def test_a_late_relay_is_avoided_although_it_responds():
    monitor = RelayMonitor()
    monitor.record_received(4, 0)
    assert monitor.avoid(4, 0)
    monitor.record_received(4, 0.1)
    monitor.record_received(2, 0.1)
    assert monitor.choose_relays(GROUP, 7, 0.2) == (2,)


def test_only_one_late_relay_is_avoided_at_a_time():
    """A slow router finds every relay late."""
    monitor = RelayMonitor()
    for relay in GROUP:
        monitor.record_received(relay, 0)
    assert monitor.avoid(4, 0)
    assert not monitor.avoid(2, 1)
    assert monitor.choose_relays(GROUP, 7, 0.4) == (2,)
