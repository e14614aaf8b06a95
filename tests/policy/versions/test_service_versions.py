"""The versions of each service during a rolling upgrade."""

import pytest

from peridotwell.policy.versions.service_versions import ServiceVersions
from peridotwell.policy.versions.stream_versions import (
    MEMORY_SECONDS,
    Provenance,
)

OLD, NEW = 1, 2
MODEL = 'model'


def serve(versions, *serving, now):
    return versions.set_serving({MODEL: frozenset(serving)}, now)


def test_service_is_mixed_during_an_upgrade_and_for_some_time_after():
    versions = ServiceVersions()
    assert not serve(versions, OLD, now=0)
    assert not versions.is_mixed(MODEL, 0)
    assert serve(versions, OLD, NEW, now=1)
    assert versions.is_mixed(MODEL, 100)
    assert not serve(versions, NEW, now=100)
    assert versions.is_mixed(MODEL, 99 + MEMORY_SECONDS)
    assert not versions.is_mixed(MODEL, 100 + MEMORY_SECONDS)


def test_versions_that_replace_each_other_at_once_count_as_mixed():
    versions = ServiceVersions()
    serve(versions, OLD, now=0)
    versions.set_serving({}, 1)
    assert serve(versions, NEW, now=2)


# Guards against a router that takes a version as the only one since it has
# seen no other: it may have started after the other one left.
def test_versions_before_the_start_are_unknown_until_they_are_told():
    versions = ServiceVersions()
    serve(versions, NEW, now=0)
    assert not versions.is_confirmed(MODEL, 1)
    versions.record_confirmation(MODEL, Provenance('r1', 1))
    assert versions.is_confirmed(MODEL, 1)


def test_versions_are_known_after_the_longest_stream():
    versions = ServiceVersions()
    serve(versions, NEW, now=0)
    assert not versions.is_confirmed(MODEL, MEMORY_SECONDS - 1)
    assert versions.is_confirmed(MODEL, MEMORY_SECONDS)


def test_a_recorded_version_that_serves_no_more_makes_a_service_mixed():
    versions = ServiceVersions()
    versions.record_earlier(
        {MODEL: frozenset((OLD,)), 'other': frozenset((OLD,))}
    )
    assert serve(versions, NEW, now=0)
    assert versions.is_mixed(MODEL, 1)
    assert versions.is_confirmed(MODEL, 1)
    recent = versions.recent_versions([MODEL, 'other', 'unknown'], 1)
    assert recent == {MODEL: {OLD, NEW}, 'other': {OLD}}
    assert versions.recent_versions([MODEL], MEMORY_SECONDS) == {MODEL: {NEW}}


def test_three_versions_in_a_row_are_all_recent():
    versions = ServiceVersions()
    for now, version in enumerate((OLD, NEW, 3)):
        serve(versions, version, now=now)
    assert versions.recent_versions([MODEL], 3) == {MODEL: {OLD, NEW, 3}}


def test_the_only_version_is_known_while_there_is_no_other():
    versions = ServiceVersions()
    assert versions.only_version(MODEL, 0) is None
    serve(versions, OLD, now=0)
    assert versions.only_version(MODEL, 0) == OLD
    serve(versions, OLD, NEW, now=1)
    assert versions.only_version(MODEL, 1) is None
    serve(versions, NEW, now=2)
    assert versions.only_version(MODEL, 2 + MEMORY_SECONDS) == NEW


# Guards against streams of a version that registered and left within one
# answer: it never stood among those that serve.
def test_a_version_that_was_only_seen_makes_a_service_mixed():
    versions = ServiceVersions()
    serve(versions, OLD, now=0)
    assert not versions.record_seen({MODEL: frozenset((OLD,))}, 1)
    assert versions.record_seen({MODEL: frozenset((NEW,))}, 1)
    assert versions.is_mixed(MODEL, 1)
    assert versions.recent_versions([MODEL], 1) == {MODEL: {OLD, NEW}}


# Guards against a router that counts as having followed a service although a
# version may have come and gone while it heard nothing.
def test_a_gap_makes_earlier_versions_unknown_for_as_long_as_streams_last():
    versions = ServiceVersions()
    serve(versions, OLD, now=0)
    versions.record_confirmation(MODEL, Provenance('r1', 0))
    versions.record_gap(MEMORY_SECONDS + 1)
    assert not versions.is_confirmed(MODEL, MEMORY_SECONDS + 1)
    assert versions.remembers(MODEL, MEMORY_SECONDS + 1)
    assert versions.is_confirmed(MODEL, 2 * MEMORY_SECONDS + 1)


@pytest.mark.parametrize('is_told', [False, True])
def test_a_router_remembers_what_it_saw_or_was_told(is_told):
    versions = ServiceVersions()
    serve(versions, OLD, now=0)
    if is_told:
        versions.record_confirmation(MODEL, Provenance('r1', 1))
    assert versions.remembers(MODEL, 1) is is_told
    assert versions.remembers(MODEL, MEMORY_SECONDS)
