"""Token buckets of static shares."""

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.policy.limits.token_buckets import ChosenRouters, TokenBuckets

PER_SECOND = 2
BURST = 1.5
FIRST = Target('t', 'h:1', TargetKind.service, Pool('a', 's'), incarnation='1')
SECOND = Target('t', 'h:1', TargetKind.service, Pool('a', 's'), incarnation='2')


# Guards against a restarted router or target that gets a burst at once.
def test_bucket_starts_empty_for_each_incarnation():
    buckets = TokenBuckets(BURST)
    assert buckets.filled(FIRST, PER_SECOND, 0).tokens == 0
    assert buckets.filled(FIRST, PER_SECOND, 9).tokens == BURST
    bucket = buckets.filled(SECOND, PER_SECOND, 9)
    assert bucket.wait_seconds(PER_SECOND) == 1 / PER_SECOND


# Guards against routers that do not agree on who shares a limit.
def test_routers_that_know_the_same_ones_choose_the_same():
    routers = [ChosenRouters(own) for own in range(9)]
    for each in routers:
        assert each.set_routers(range(9))
        assert not each.set_routers(range(9))
    for target_id in range(20):
        chosen = [each.includes_own(target_id, 4) for each in routers]
        assert sum(chosen) == 4
