"""Tests of the lists of caches that relays pass on."""

from peridotwell.fleet.caches.listed_caches import ListedCaches
from peridotwell.fleet.transport.frames import CachedPrompt

PARTS = tuple((number, 500) for number in range(100))


def make_lists(count):
    return [CachedPrompt(number, PARTS) for number in range(1, count + 1)]


def test_lists_of_the_group_go_to_relays_and_members_others_to_members():
    listed = ListedCaches(0)
    first, second = make_lists(2)
    listed.add([first], 0, from_group=True)
    listed.add([second], 0, from_group=False)
    assert listed.take(0, relays=1, members=3) == ((first,), (second,))
    assert not listed


def test_an_engine_that_two_routers_have_listed_is_passed_on_once():
    listed = ListedCaches(0)
    (first,) = make_lists(1)
    listed.add([first], 0, from_group=True)
    listed.add([first], 1, from_group=False)
    assert listed.take(1, 1, 1) == ((first,), ())
    listed.add([first], 2, from_group=True)
    assert listed.take(2, 1, 1) == ((), ())
    listed.add([first], 12, from_group=True)
    assert listed.take(12, 1, 1) == ((first,), ())


def test_lists_wait_while_the_link_is_used():
    """Copies for many members of one list fill a slow link for a second."""
    listed = ListedCaches(100_000)
    lists = make_lists(3)
    listed.add(lists, 0, from_group=True)
    assert listed.take(0, 1, 20) == ((lists[0],), ())
    assert listed.take(0.1, 1, 20) == ((), ())
    assert listed.take(1, 1, 20) == ((lists[1],), ())
