"""Which targets are cold, and until when."""

from dataclasses import replace

import pytest

from peridotwell.domain.routing_table import ServiceProperties
from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.policy.limits.cold_targets import ColdTargets

SERVICES = {
    's': ServiceProperties('s', cold_seconds=30, cold_per_second=4),
    'plain': ServiceProperties('plain'),
}
DAY_MS = 1_000_000_000
OLD_MS = DAY_MS - 60_000


def target(name='t', service='s', **fields):
    fields = {'started_milliseconds': OLD_MS, 'incarnation': '1', **fields}
    return Target(name, 'h:1', TargetKind.service, Pool('a', service), **fields)


KEPT = target('kept')


@pytest.fixture
def cold():
    """A router that already runs."""
    cold = ColdTargets()
    update(cold, 0, KEPT)
    cold.set_routers((), 0)
    return cold


def update(cold, now, *targets):
    cold.update(targets, SERVICES, now, DAY_MS + now * 1000)


def test_entry_tells_how_long_a_target_is_cold(cold):
    warm, fresh = target('w', cold_left_seconds=0), target(cold_left_seconds=5)
    update(cold, 10, KEPT, warm, fresh)
    assert not cold.is_cold(warm, 10)
    assert cold.is_cold(fresh, 14.9)
    assert not cold.is_cold(fresh, 15)


# Guards against time that starts over with each change of another target.
def test_entry_counts_from_its_arrival_only(cold):
    fresh = target(cold_left_seconds=5)
    update(cold, 10, KEPT, fresh)
    update(cold, 14, KEPT, fresh, target('other'))
    assert not cold.is_cold(fresh, 15)


# Guards against a target that crashes because it became cold while it ran.
def test_warm_target_that_becomes_cold_has_an_empty_bucket(cold):
    again = replace(KEPT, cold_left_seconds=8)
    update(cold, 10, again)
    assert cold.is_cold(again, 10)
    assert not cold.accepts(again, 10)
    assert cold.wait_seconds(again, 10) == pytest.approx(1 / (10 / 3), abs=0.1)
    assert cold.accepts(again, 11)
    cold.record_send(again, 11)
    assert not cold.accepts(again, 11.1)


def test_new_target_without_usable_time_is_cold_as_its_service_states(cold):
    fresh = target()
    update(cold, 10, KEPT, fresh)
    assert cold.is_cold(fresh, 39)
    assert not cold.is_cold(fresh, 40)
    assert not cold.is_cold(KEPT, 10)


def test_known_incarnation_stays_as_it_is_without_usable_time(cold):
    fresh = target(cold_left_seconds=5)
    update(cold, 10, KEPT, fresh)
    update(cold, 11, KEPT)
    unusable = replace(fresh, cold_left_seconds=None)
    update(cold, 12, KEPT, unusable)
    assert cold.is_cold(unusable, 14)
    assert not cold.is_cold(unusable, 15)
    update(cold, 20, KEPT, replace(unusable, incarnation='2'))
    assert cold.is_cold(replace(unusable, incarnation='2'), 49)


def test_starting_router_takes_targets_as_cold_that_started_lately():
    cold = ColdTargets()
    old, young = target('old'), target('y', started_milliseconds=DAY_MS - 9)
    update(cold, 0, old, young)
    assert not cold.is_cold(old, 0)
    assert cold.is_cold(young, 29)


# Guards against any effect on services that state nothing.
def test_targets_of_other_services_are_never_cold(cold):
    update(cold, 1, KEPT, target('p', 'plain', cold_left_seconds=50))
    assert cold.is_empty


def test_targets_of_a_data_centre_that_returns_are_cold(cold):
    cold.record_returned('a', 10)
    assert cold.is_cold(KEPT, 39)
    reported = replace(KEPT, cold_left_seconds=0)
    update(cold, 12, reported)
    assert cold.is_cold(reported, 39)
    assert not cold.is_cold(reported, 40)


def test_changes_are_told_once(cold):
    update(cold, 10, KEPT, target(cold_left_seconds=5))
    [change] = cold.take_changes(10)
    assert (change.target, change.seconds) == ('t', 5)
    assert not list(cold.take_changes(11))
    cold.expire(15)
    assert [each.seconds for each in cold.take_changes(15)] == [0]


def test_requests_that_go_elsewhere_are_counted(cold):
    update(cold, 10, KEPT, target(cold_left_seconds=5))
    cold.record_send(KEPT, 10)
    assert cold.diverted == 1
    cold.record_send(target('p', 'plain'), 10)
    assert cold.diverted == 1
