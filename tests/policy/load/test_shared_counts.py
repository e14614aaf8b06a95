"""Tests of the counts that routers exchange and of the prefill speed."""

from peridotwell.policy.load.own_counts import OwnCounts
from peridotwell.policy.load.peer_counts import PeerCounts
from peridotwell.policy.load.prefill_speed import PrefillSpeed


def test_only_changed_counts_are_taken_unless_all_are_asked_for():
    counts = OwnCounts()
    counts.add(1, 2)
    counts.add(2, 1)
    assert dict(counts.take_counts(include_unchanged=False)) == {1: 2, 2: 1}
    counts.add(2, -1)
    assert dict(counts.take_counts(include_unchanged=False)) == {2: 0}
    assert not counts.has_changed
    assert dict(counts.take_counts(include_unchanged=True)) == {1: 2}


def test_sums_follow_updates_and_removal_of_routers():
    peer_counts = PeerCounts()
    peer_counts.update(10, {1: 2})
    peer_counts.update(11, {1: 3, 2: 1})
    peer_counts.update(10, {1: 5})
    assert peer_counts.outstanding(1) == 8
    peer_counts.remove_router(11)
    assert (peer_counts.outstanding(1), peer_counts.outstanding(2)) == (5, 0)


def test_prefill_speed_approaches_the_measured_speed():
    speed = PrefillSpeed()
    for _ in range(100):
        speed.record_prefill(20_000, 0.1)
    assert 190_000 < speed.tokens_per_second < 210_000


def test_short_prompts_do_not_change_the_prefill_speed():
    speed = PrefillSpeed()
    before = speed.tokens_per_second
    speed.record_prefill(100, 1)
    assert speed.tokens_per_second == before
