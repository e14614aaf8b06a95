"""Version affinity of streams during a rolling upgrade."""

from peridotwell.policy.versions import stream_versions
from peridotwell.policy.versions.stream_versions import (
    MEMORY_SECONDS,
    Evidence,
    StreamVersions,
)

OLD, NEW = 1, 2
MODEL = 'model'


def serve(versions, *serving, now):
    return versions.set_serving({MODEL: frozenset(serving)}, now)


def test_service_is_mixed_during_an_upgrade_and_for_some_time_after():
    versions = StreamVersions()
    assert not serve(versions, OLD, now=0)
    assert not versions.is_mixed(MODEL, 0)
    assert serve(versions, OLD, NEW, now=1)
    assert versions.is_mixed(MODEL, 100)
    assert not serve(versions, NEW, now=100)
    assert versions.is_mixed(MODEL, 99 + MEMORY_SECONDS)
    assert not versions.is_mixed(MODEL, 100 + MEMORY_SECONDS)


def test_versions_that_replace_each_other_at_once_count_as_mixed():
    versions = StreamVersions()
    serve(versions, OLD, now=0)
    versions.set_serving({}, 1)
    assert serve(versions, NEW, now=2)


def test_first_version_of_a_stream_counts_until_it_is_forgotten():
    versions = StreamVersions()
    versions.record_own(7, OLD, 0)
    versions.record_own(7, NEW, 1)
    assert versions.version(7, 1) == OLD
    assert list(versions.recent(1)) == [(7, OLD)]
    assert versions.version(7, MEMORY_SECONDS) is None
    assert versions.version(8, 1) is None


def test_memory_is_bounded_and_keeps_the_latest(monkeypatch):
    monkeypatch.setattr(stream_versions, 'MAX_STREAMS', 3)
    versions = StreamVersions()
    for stream in range(10):
        versions.record_own(stream, OLD, 0)
    assert [stream for stream, _ in versions.recent(0)] == [7, 8, 9]


# Guards against a router that takes a version as the only one since it has
# seen no other: it may have started after the other one left.
def test_versions_before_the_start_are_unknown_until_they_are_told():
    versions = StreamVersions()
    serve(versions, NEW, now=0)
    assert not versions.is_confirmed(MODEL, 1)
    assert versions.may_lack(MODEL, 1)
    versions.record_confirmation(MODEL, Evidence('r1', 1))
    assert versions.is_confirmed(MODEL, 1)
    assert not versions.may_lack(MODEL, 1)


def test_versions_are_known_after_the_longest_stream():
    versions = StreamVersions()
    serve(versions, NEW, now=0)
    assert not versions.is_confirmed(MODEL, MEMORY_SECONDS - 1)
    assert versions.is_confirmed(MODEL, MEMORY_SECONDS)


def test_a_recorded_version_that_serves_no_more_makes_a_service_mixed():
    versions = StreamVersions()
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
    versions = StreamVersions()
    for now, version in enumerate((OLD, NEW, 3)):
        serve(versions, version, now=now)
    assert versions.recent_versions([MODEL], 3) == {MODEL: {OLD, NEW, 3}}
