"""Who relays for whom, without network."""

from hypothesis import given
from hypothesis import strategies as st

from peridotwell.policy.relays import (
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
def test_groups_stay_small_and_within_a_data_centre(count):
    groups = make_relay_groups(members(count))
    assert sorted(each for group in groups for each in group) == [
        *range(count),
    ]
    for group in groups:
        assert len(group) <= GROUP_ROUTERS
        assert len({DATA_CENTRES[each % 3] for each in group}) == 1


@given(st.randoms())
def test_all_routers_make_the_same_groups(random):
    mixed = members(90)
    random.shuffle(mixed)
    assert make_relay_groups(mixed) == make_relay_groups(members(90))


def test_the_first_of_a_group_is_its_relay():
    watch = RelayMonitor()
    assert watch.choose_relays(GROUP, 4, 0) == ()
    watch.record_received(4, 0)
    assert watch.choose_relays(GROUP, 7, 0) == (4,)


def test_until_a_relay_has_answered_two_get_everything():
    watch = RelayMonitor()
    assert watch.choose_relays(GROUP, 7, 0) == (4, 2)
    watch.record_received(2, 0.1)
    assert watch.choose_relays(GROUP, 7, 0.1) == (4, 2)


def test_a_relay_that_stops_answering_is_passed_over_and_tried_again():
    """A frozen or killed relay costs its group half a second."""
    watch = RelayMonitor()
    watch.record_received(4, 0)
    watch.record_sent(4, 0.1)
    assert watch.choose_relays(GROUP, 7, 0.4) == (4,)
    assert watch.choose_relays(GROUP, 7, 0.7) == (2, 9)
    watch.record_received(2, 0.8)
    assert watch.choose_relays(GROUP, 7, 0.9) == (2,)
    assert watch.choose_relays(GROUP, 7, 0.7 + RETRY_RELAY_SECONDS) == (4, 2)


def test_the_last_one_relays_for_itself_when_none_answers():
    watch = RelayMonitor()
    for now in (0, 1, 2):
        for relay in watch.choose_relays(GROUP, 9, now):
            watch.record_sent(relay, now)
    assert watch.choose_relays(GROUP, 9, 2) == ()
