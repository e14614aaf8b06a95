"""Tests of what a router tells of the targets that it cannot reach."""

from peridotwell.policy.health.own_reach import MAX_TOLD_TARGETS, OwnReach


def test_reach_is_told_when_it_changes_and_when_all_is_told():
    reach = OwnReach()
    assert reach.take(include_unchanged=False) is None
    reach.set((2, 1))
    assert reach.has_changed
    assert reach.take(include_unchanged=False) == (1, 2)
    reach.set((1, 2))
    assert reach.take(include_unchanged=False) is None
    assert reach.take(include_unchanged=True) == (1, 2)


def test_the_targets_that_are_told_are_bounded():
    reach = OwnReach()
    reach.set(range(1000))
    told = reach.take(include_unchanged=False)
    assert told is not None
    assert len(told) == MAX_TOLD_TARGETS
