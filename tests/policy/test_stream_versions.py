"""Version affinity of streams during a rolling upgrade."""

from peridotwell.policy import stream_versions
from peridotwell.policy.stream_versions import MEMORY_SECONDS, StreamVersions

OLD, NEW = 1, 2


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
