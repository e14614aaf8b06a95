"""A router remembers which version dropped a route or a key."""

import itertools
from dataclasses import replace

from peridotwell.domain.routing_table import Customer, RoutingTable
from peridotwell.fleet.replica.dropped_names import (
    MAX_NAMES,
    Drop,
    DroppedNames,
)
from tests.fleet.replica.test_recent_refusals import ROUTE

WITH_ROUTE = RoutingTable(
    58, 1, routes=(ROUTE,), customers={'k': Customer('c')}
)
WITHOUT = RoutingTable(59, 2)
DROP = Drop(last_version=58, dropped_by=59, dropped_at=5)


def dropped(*tables):
    names = DroppedNames()
    for previous, table in itertools.pairwise(tables):
        names.record(previous, table, 5)
    return names


# Guards against a refusal that does not tell whether the path or the key was
# in force before.
def test_version_that_dropped_a_route_and_a_key_is_told():
    names = dropped(WITH_ROUTE, WITHOUT)
    assert names.find_path('SHOP.test:80', '/new/x/y') == DROP
    assert names.find_key('k') == DROP
    assert DROP.log_fields(7.25) == {
        'dropped_by': 59,
        'last_in': 58,
        'dropped_age': 2.25,
    }


def test_later_versions_leave_what_is_known_of_a_drop():
    names = dropped(WITH_ROUTE, WITHOUT, replace(WITHOUT, version=60))
    assert names.find_path('shop.test', '/new/x') == DROP
    assert names.find_key('k') == DROP


def test_nothing_is_told_of_what_was_never_known():
    names = dropped(WITH_ROUTE, WITHOUT)
    assert names.find_path('shop.test', '/never/x') is None
    assert names.find_path('other.test', '/new/x') is None
    assert names.find_key('other') is None


def test_name_that_is_added_again_was_not_dropped():
    names = dropped(WITH_ROUTE, WITHOUT, replace(WITH_ROUTE, version=60))
    assert names.find_path('shop.test', '/new/x') is None
    assert names.find_key('k') is None


def test_number_of_names_is_bounded():
    names = DroppedNames()
    for number in range(2 * MAX_NAMES):
        route = replace(ROUTE, prefix=f'/{number}/')
        keys = {f'k{number}': Customer('c')}
        table = RoutingTable(number, number, routes=(route,), customers=keys)
        names.record(table, WITHOUT, number)
    first, last = MAX_NAMES, 2 * MAX_NAMES - 1
    assert names.find_path('shop.test', f'/{first - 1}/') is None
    assert names.find_key(f'k{first - 1}') is None
    for number in (first, last):
        drop = names.find_path('shop.test', f'/{number}/')
        assert drop == names.find_key(f'k{number}')
        assert drop.last_version == number
