"""Targets that are full by their reports, with fewer requests than slots."""

from peridotwell.policy.load.target_load import LoadReport
from peridotwell.policy.room.full_reports import FullReports


def record(reports, now, running, counted=1, slots=6):
    reports.record('t', LoadReport(running, 0, now), slots, counted)


# Guards against a target that is tried again and again while it is full.
def test_target_is_held_longer_each_time():
    reports = FullReports()
    record(reports, 0, 6)
    assert reports.is_held('t', 0.4)
    assert not reports.is_held('t', 0.6)
    record(reports, 0.6, 6)
    assert reports.is_held('t', 1.5)
    record(reports, 2, 5)
    assert not reports.is_held('t', 2)


# Guards against targets left idle after the burst that filled them.
def test_target_full_of_counted_requests_is_not_held():
    reports = FullReports()
    record(reports, 0, 7, counted=7)
    assert not reports.is_held('t', 0)
    assert reports.slots('t') == 6


def test_target_without_slots_is_unknown():
    reports = FullReports()
    record(reports, 0, 7, slots=0)
    assert reports.is_empty
