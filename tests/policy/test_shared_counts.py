"""Counts that routers tell each other, and what is learned from answers."""

from peridotwell.policy.own_counts import OwnCounts
from peridotwell.policy.peer_counts import PeerCounts
from peridotwell.policy.prefill_speed import PrefillSpeed


def test_only_changes_are_told_then_everything():
    counts = OwnCounts()
    counts.add(1, 2)
    counts.add(2, 1)
    assert dict(counts.take_counts(everything=False)) == {1: 2, 2: 1}
    counts.add(2, -1)
    assert dict(counts.take_counts(everything=False)) == {2: 0}
    assert not counts.has_changed
    assert dict(counts.take_counts(everything=True)) == {1: 2}


def test_sums_follow_each_router_and_its_end():
    loads = PeerCounts()
    loads.update(10, {1: 2})
    loads.update(11, {1: 3, 2: 1})
    loads.update(10, {1: 5})
    assert loads.outstanding(1) == 8
    loads.remove_router(11)
    assert (loads.outstanding(1), loads.outstanding(2)) == (5, 0)


def test_reading_speed_approaches_what_is_seen():
    speed = PrefillSpeed()
    for _ in range(100):
        speed.record_prefill(20_000, 0.1)
    assert 190_000 < speed.tokens_per_second < 210_000


def test_short_prompts_teach_nothing():
    speed = PrefillSpeed()
    before = speed.tokens_per_second
    speed.record_prefill(100, 1)
    assert speed.tokens_per_second == before
