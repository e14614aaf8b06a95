"""A version that arrives and is not taken leaves a trace while it lasts."""

import logging

import pytest

from peridotwell.domain.routing_table import RoutingTable
from peridotwell.fleet.replica.versions_not_taken import (
    MAX_VERSIONS,
    SeenVersion,
    VersionsNotTaken,
)
from peridotwell.store.change_feed import Snapshot
from tests.fleet.replica.test_service_directory import (
    apply_changes,
    entry,
    loaded_directory,
)

IN_FORCE = RoutingTable(59, 3)


def not_taken(*versions):
    record = VersionsNotTaken()
    for seen in versions:
        record.record(seen, IN_FORCE)
    return record


def warnings(caplog):
    return [each.msg for each in caplog.records if each.levelname == 'WARNING']


# Guards against a version that no router takes, without a warning: all refuse
# what it adds, by an older one.
def test_version_that_cannot_be_read_is_warned_of_once(caplog):
    caplog.set_level(logging.INFO, 'peridotwell')
    directory = loaded_directory()
    for revision in (9, 10):
        apply_changes(directory, entry('table', b'?', 5), revision=revision)
    assert warnings(caplog) == [
        {
            'event': 'table.invalid',
            'seen': '?@5',
            'table': 1,
            'version': None,
            'revision': 5,
            'table_revision': 1,
            'error': 'table is not a number',
        }
    ]
    assert directory.table_in_force.seen_label() == '?@5'
    assert directory.table_in_force.behind() == 1
    assert directory.table_in_force.invalid_entries == 1
    assert directory.table_in_force.not_taken.count == 1


def test_version_with_a_lower_number_is_warned_of_and_is_not_newer(caplog):
    caplog.set_level(logging.INFO, 'peridotwell')
    directory = loaded_directory()
    apply_changes(directory, entry('table', b'3', 5))
    apply_changes(directory, entry('table', b'2', 6), revision=10)
    assert [each['event'] for each in warnings(caplog)] == ['table.older']
    assert warnings(caplog)[0]['seen'] == '2@6'
    assert directory.table_in_force.seen_label() == '3@5'
    assert directory.table_in_force.behind() == 0


def test_next_version_in_force_ends_the_trace():
    directory = loaded_directory()
    apply_changes(directory, entry('table', b'?', 5))
    apply_changes(directory, entry('table', b'3', 6), revision=10)
    assert directory.table_in_force.seen_label() == '3@6'
    assert directory.table_in_force.behind() == 0


# Guards against a version that is never taken, since its entry was damaged on
# its way when it was told first.
def test_version_that_can_be_read_later_is_taken():
    directory = loaded_directory()
    apply_changes(directory, entry('table', b'', 5))
    assert directory.table.version == 1
    directory.apply_snapshot(Snapshot((entry('table', b'3', 5),), 9), 2)
    assert directory.table_in_force.seen_label() == '3@5'
    assert directory.replica.entry('table').value == b'3'
    assert directory.table_in_force.behind() == 0
    apply_changes(directory, entry('table', b'', 5), revision=10)
    assert directory.replica.entry('table').value == b'3'


@pytest.mark.parametrize(
    ('version', 'revision', 'behind'),
    [
        (60, 2, 1),
        (64, 4, 5),
        (59, 4, 1),
        (None, 4, 1),
        (59, 2, 0),
        (58, 4, 0),
        (None, 2, 0),
    ],
)
def test_newer_is_a_higher_number_or_else_a_later_revision(
    version, revision, behind
):
    seen = SeenVersion(version, revision)
    record = not_taken(seen)
    assert record.behind(IN_FORCE) == behind
    assert record.newest(IN_FORCE) == (seen if behind else None)


def test_number_of_versions_is_bounded_and_the_newest_is_kept():
    newest = SeenVersion(60, 2)
    older = [
        SeenVersion(58, revision) for revision in range(4, 4 * MAX_VERSIONS)
    ]
    record = not_taken(newest, *older)
    assert record.newest(IN_FORCE) == newest
    assert not record.is_known(older[0].revision)
    assert record.is_known(older[-1].revision)
    assert record.count == len(older) + 1
