"""Cold targets beside warm ones, under load of many routers, no network.

Each load test names the requests a second of all routers together. What a
target gets is checked over every sliding second of arrivals; requests travel
unequally long.
"""

from bisect import bisect_left
from dataclasses import dataclass, field
from random import Random

import pytest

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.policy.limits.cold_shares import (
    RETENTION_SECONDS,
    SETTLE_SECONDS,
    ColdBound,
    ColdShares,
    split_rate,
)

MAX_TRAVEL_SECONDS = 0.4
OVERAGE, SLACK = 1.5, 5
TICK_SECONDS = 0.1
SECONDS = 20


def make_targets(*names):
    pool = Pool('a', 'svc')
    return [Target(name, 'h:1', TargetKind.service, pool) for name in names]


@dataclass
class Fleet:
    """Routers that send to cold targets first; the rest goes to a warm one.

    Routers in `cut` hear of no other ones, and nobody hears of them.
    """

    count: int
    cold_per_second: float
    targets: list[Target]
    now: float = 0
    shares: list[ColdShares] = field(default_factory=list)
    cut: set[int] = field(default_factory=set)
    arrivals: dict[str, list[float]] = field(default_factory=dict)
    sent: int = 0
    rng: Random = field(default_factory=lambda: Random(7))

    def __post_init__(self):
        self.bound = ColdBound(self.cold_per_second, OVERAGE, SLACK)
        self.shares = [ColdShares(number) for number in range(self.count)]

    def run(self, per_second, seconds=SECONDS):
        """Send this many requests a second, each to any router."""
        end, tick_at = self.now + seconds, self.now
        while self.now < end:
            if self.now >= tick_at:
                self.tick()
                tick_at = self.now + TICK_SECONDS
            self._send(self.rng.choice(self.shares))
            self.now += self.rng.expovariate(per_second)

    def tick(self):
        """Tell each router the others that it knows now."""
        linked = set(range(len(self.shares))) - self.cut
        for number, shares in enumerate(self.shares):
            known = linked if number in linked else {number}
            shares.set_routers(known - {number}, self.now)

    def _send(self, shares):
        self.sent += 1
        for target in self.rng.sample(self.targets, len(self.targets)):
            if shares.wait_seconds(target, self.bound, self.now) == 0:
                shares.record_send(target, self.bound, self.now)
                at = self.now + self.rng.uniform(0, MAX_TRAVEL_SECONDS)
                self.arrivals.setdefault(target.name, []).append(at)
                return

    def busiest_second(self):
        return max(map(busiest_second, self.arrivals.values()), default=0)

    def check(self):
        assert self.busiest_second() <= OVERAGE * self.cold_per_second + SLACK


def busiest_second(times):
    """Return the most arrivals in a second that begins with one of them."""
    times = sorted(times)
    return max(
        bisect_left(times, at + 1) - number for number, at in enumerate(times)
    )


# Guards against the 27 to 94 requests in a second that cold targets got.
@pytest.mark.parametrize('per_second', [60, 200])
@pytest.mark.parametrize('count', [1, 3, 73])
@pytest.mark.parametrize('cold_per_second', [4, 9.3])
def test_two_cold_targets_beside_a_warm_one(count, per_second, cold_per_second):
    fleet = Fleet(count, cold_per_second, make_targets('c1', 'c2'))
    fleet.run(per_second)
    fleet.check()
    # The share is used, too, and the rest of the load goes to the warm one.
    used = sum(map(len, fleet.arrivals.values()))
    assert used >= 0.4 * 2 * cold_per_second * (SECONDS - SETTLE_SECONDS)
    assert used <= 2 * cold_per_second * SECONDS + 2 * count


# Guards against the first requests after a data centre has come back: 400
# requests a second meet 18 cold targets.
def test_all_targets_of_a_data_centre_are_cold():
    fleet = Fleet(73, 9.3, make_targets(*(f'c{each}' for each in range(18))))
    fleet.run(400, 8)
    fleet.check()


# Guards against routers that start and send before others know of them: 3, at
# once and one by one, beside 200 requests a second.
@pytest.mark.parametrize('count', [1, 4, 36])
def test_routers_that_start_keep_the_bound(count):
    fleet = Fleet(count, 9.3, make_targets('c1'))
    fleet.run(200, 5)
    for number in range(3):
        fleet.shares.append(ColdShares(count + number))
        fleet.run(200, number * SETTLE_SECONDS)
    fleet.run(200)
    fleet.check()


# Guards against a fleet of which all routers start at once, in which each one
# believes to be alone at first: 200 requests a second.
def test_restart_of_all_routers_keeps_the_bound():
    fleet = Fleet(36, 9.3, make_targets('c1'))
    fleet.cut = set(range(36))
    fleet.run(200, SETTLE_SECONDS / 2)
    fleet.cut = set()
    fleet.run(200)
    fleet.check()


# Guards against routers that are cut off and go on with an old view, while
# others join: 200 requests a second.
@pytest.mark.parametrize(
    ('cut', 'joining'), [(1, 3), (18, 3), (30, 3), (36, 0)]
)
def test_routers_that_are_cut_off_keep_the_bound(cut, joining):
    fleet = Fleet(36, 9.3, make_targets('c1'))
    fleet.run(200, 5)
    fleet.cut = set(range(cut))
    fleet.run(200, 5)
    fleet.shares.extend(ColdShares(36 + number) for number in range(joining))
    fleet.run(200)
    fleet.check()


# Guards against a rate that stays unused after routers have gone for good.
def test_share_of_routers_that_are_gone_is_given_to_others():
    shares = ColdShares(0)
    bound = ColdBound(9.3, OVERAGE, SLACK)
    [target] = make_targets('c1')
    shares.set_routers(range(1, 73), 0)
    shares.set_routers((), 1)
    shares.wait_seconds(target, bound, 1)
    gone_at = RETENTION_SECONDS + 1
    shares.set_routers((), gone_at)
    wait = shares.wait_seconds(target, bound, gone_at + SETTLE_SECONDS)
    assert wait < 1


def test_split_keeps_the_bound_and_uses_the_rate():
    for per_second in (0.2, 1, 4, 9.3, 40, 300):
        for known in (1, 2, 7, 73, 410):
            split = split_rate(ColdBound(per_second, OVERAGE, SLACK), known)
            whole = split.share * split.routers
            assert 0.5 * per_second <= whole <= per_second + 1e-9
    # A bound below one request leaves none.
    assert split_rate(ColdBound(0.5, 1, 0), 7) is None
    assert split_rate(ColdBound(1, 1, 0), 7).routers == 1
