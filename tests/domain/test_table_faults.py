"""Faults of routing tables whose documents can be decoded."""

from dataclasses import replace

import pytest

from peridotwell.domain.routing_table import (
    CallerLimits,
    RequestKind,
    Route,
    RoutingTable,
    WeightedService,
)
from peridotwell.domain.table_faults import table_faults

ROUTE = Route(
    name='read',
    host='a.example',
    prefix='/read/',
    kind=RequestKind.idempotent,
    services=(WeightedService('svc'),),
    timeout_seconds=1.5,
    objective_seconds=0.1,
)


def table(*routes, **changes):
    return RoutingTable(version=1, revision=1, routes=routes, **changes)


def test_sound_table_has_no_fault():
    other = replace(ROUTE, host='b.example')
    split = replace(
        ROUTE,
        prefix='/',
        services=(WeightedService('old', 0), WeightedService('new', 0.5)),
    )
    assert not list(table_faults(table(ROUTE, other, split)))


# An operator's mistake put every request of a route out of service.
@pytest.mark.parametrize(
    'changes',
    [
        {'prefix': 'read/'},
        {'prefix': '/read'},
        {'prefix': ''},
        {'host': ''},
        {'timeout_seconds': 0},
        {'timeout_seconds': -1},
        {'timeout_seconds': float('inf')},
        {'max_attempts': 0},
        {'services': (WeightedService(''),)},
        {'services': (WeightedService('svc', 0),)},
        {'services': (WeightedService('svc', -1), WeightedService('b', 3))},
    ],
)
def test_route_that_cannot_be_served_is_a_fault(changes):
    faults = list(table_faults(table(replace(ROUTE, **changes))))
    assert faults
    assert all('route read' in fault for fault in faults)


def test_two_routes_of_one_path_are_a_fault():
    other = replace(ROUTE, name='other', host='A.example')
    assert 'a.example/read/' in next(table_faults(table(ROUTE, other)))


@pytest.mark.parametrize(
    'limits',
    [
        CallerLimits(header_bytes=0),
        CallerLimits(body_bytes=-1),
        CallerLimits(idle_seconds=0),
    ],
)
def test_limit_that_no_request_keeps_is_a_fault(limits):
    assert list(table_faults(table(ROUTE, limits=limits)))
