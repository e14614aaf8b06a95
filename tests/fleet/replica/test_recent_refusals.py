"""A router that takes a newer table tells what it refused by an older one."""

import logging
from dataclasses import replace

import pytest

from peridotwell.domain.routing_table import (
    Customer,
    RequestKind,
    Route,
    RoutingTable,
    WeightedService,
)
from peridotwell.fleet.replica.recent_refusals import (
    MAX_AGE_SECONDS,
    MAX_REFUSALS,
    RecentRefusals,
    Refusal,
)
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.store.base import Entry
from peridotwell.store.change_feed import Changes, Snapshot
from tests.fleet.replica.test_service_directory import Decoder

ROUTE = Route(
    'new',
    'shop.test',
    '/new/',
    RequestKind.idempotent,
    (WeightedService('s'),),
    timeout_seconds=1,
    objective_seconds=1,
)
OLDER = RoutingTable(12, 30, customers={'k': Customer('c')}, has_customers=True)
NEWER = replace(OLDER, version=13, revision=46, routes=(ROUTE,))
REFUSAL = Refusal(
    refused_at=5,
    request_id='r-1',
    host='shop.test',
    path='/new/x',
    api_key='k',
    version=12,
    known_revision=45,
    knowledge_age=0.4,
)


def refused(*refusals):
    recent = RecentRefusals()
    for refusal in refusals:
        recent.record(refusal)
    return recent


def test_refusals_that_the_newer_table_allows_are_told_once():
    later = replace(REFUSAL, refused_at=5.5, request_id='r-2')
    recent = refused(REFUSAL, later)
    told = recent.pop_allowed_by(NEWER, 6)
    assert (told.count, told.first, told.last) == (2, REFUSAL, later)
    assert recent.pop_allowed_by(replace(NEWER, version=14), 6) is None


@pytest.mark.parametrize(
    'other',
    [
        replace(REFUSAL, path='/never/x'),
        replace(REFUSAL, host='other.test'),
        replace(REFUSAL, api_key='unknown'),
        replace(REFUSAL, version=13),
        replace(REFUSAL, refused_at=5 - MAX_AGE_SECONDS),
    ],
)
def test_other_refusals_are_not_told(other):
    assert refused(other).pop_allowed_by(NEWER, 6) is None


def test_key_that_the_newer_table_adds_is_told():
    other = replace(REFUSAL, api_key='added')
    recent = refused(other)
    assert recent.pop_allowed_by(NEWER, 6) is None
    added = replace(NEWER, version=14, customers={'added': Customer('d')})
    assert recent.pop_allowed_by(added, 6).last is other


@pytest.mark.parametrize(
    'table',
    [
        replace(NEWER, routes=(replace(ROUTE, anonymous=True),)),
        replace(NEWER, has_customers=False),
    ],
)
def test_no_key_is_needed_where_none_is_checked(table):
    other = replace(REFUSAL, api_key='')
    assert refused(other).pop_allowed_by(table, 6).count == 1


def test_number_of_refusals_is_bounded():
    recent = refused(*[REFUSAL] * 10 * MAX_REFUSALS)
    assert recent.pop_allowed_by(NEWER, 6).count == MAX_REFUSALS


class RouteDecoder(Decoder):
    """Decodes a table as its version number; all but the first have a route."""

    def decode_table(self, content, revision):
        table = OLDER if content == b'12' else NEWER
        return replace(table, version=int(content), revision=revision)


def take(directory, version, revision, now):
    entry = Entry('table', b'%d' % version, revision)
    directory.apply_changes(Changes((entry,), (), revision), now)


# Guards against an incident without a trace: a router that learns that it
# refused what was in force says nothing.
def test_taking_a_table_tells_what_was_refused_by_an_older_one(caplog):
    caplog.set_level(logging.INFO, 'peridotwell')
    directory = ServiceDirectory(RouteDecoder())
    directory.apply_snapshot(Snapshot((Entry('table', b'12', 30),), 45), 0)
    take(directory, 13, 46, 1)
    assert not [each for each in caplog.records if each.levelname == 'WARNING']
    directory.refusals.record(REFUSAL)
    directory.refusals.record(replace(REFUSAL, version=13, refused_at=5.25))
    take(directory, 14, 50, 6)
    take(directory, 15, 51, 7)
    lines = [
        record.msg for record in caplog.records if record.levelname == 'WARNING'
    ]
    assert lines == [
        {
            'event': 'table.refused_by_older',
            'refused': 2,
            'table': 13,
            'version': 14,
            'last_age': 0.75,
            'knowledge_age': 0.4,
            'source': 'store changes',
            'known_revision': 45,
            'revision': 50,
            'first_age': 1,
            'request': 'r-1',
        },
    ]


def test_key_of_a_request_is_not_shown():
    shown = repr(replace(REFUSAL, api_key='very-secret'))
    assert 'very-secret' not in shown
