"""Fair shares of two customers in a pool of ten slots."""

from collections import Counter
from dataclasses import dataclass, field

import pytest

from peridotwell.domain.caller_request import CallerRequest
from peridotwell.domain.configuration import Defaults
from peridotwell.domain.contract import Contract
from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.serving.fair_shares import FairShares

POOL = Pool('a', 'm')
SLOTS = 10


@dataclass
class Usage:
    """The requests of each customer, in place of the loads of a fleet."""

    requests: dict[str, int]
    waiting: dict[str, int] = field(default_factory=dict)
    pressure_at: list[float] = field(default_factory=list)

    def customer_requests(self, customer, now):
        return self.requests.get(customer, 0)

    def customer_demand(self, now):
        return dict(Counter(self.requests) + Counter(self.waiting))

    def fleet_requests(self, pool, now):
        assert pool == POOL
        return sum(self.requests.values())

    def record_pressure(self, now):
        self.pressure_at.append(now)


@dataclass
class Membership:
    """One target with some slots, 0 for an unlimited number."""

    slots: int

    def usable_targets(self, pool, now):
        return [Target('t', 'h:1', TargetKind.engine, pool, slots=self.slots)]


def make_request(customer):
    return CallerRequest(
        request_id='q',
        customer=customer,
        priority_class='normal',
        method='POST',
        path='/v1',
        body=b'',
        contract=Contract('/v1', POOL.name),
        deadline_at=5,
    )


def fair_shares(usage, slots=SLOTS):
    return FairShares(POOL.data_centre, Membership(slots), usage)


def is_over_share(usage, customer, slots=SLOTS):
    shares = fair_shares(usage, slots)
    return shares.is_over_share(make_request(customer), Defaults(), 1)


def test_the_customer_that_uses_most_of_a_nearly_full_pool_is_over_its_share():
    usage = Usage({'large': 7, 'small': 2}, {'small': 2})
    assert is_over_share(usage, 'large')
    assert not is_over_share(usage, 'small')
    assert usage.pressure_at == [1, 1]


@pytest.mark.parametrize(
    ('requests', 'slots'), [(8, SLOTS), (9, 2 * SLOTS), (99, 0)]
)
def test_nobody_is_over_its_share_of_a_pool_with_room(requests, slots):
    usage = Usage({'large': requests})
    assert not is_over_share(usage, 'large', slots)
    assert not usage.pressure_at


@pytest.mark.parametrize(
    ('requests', 'slots', 'is_full'),
    [(9, SLOTS, False), (10, SLOTS, True), (99, 0, False)],
)
def test_a_pool_is_full_with_all_slots_in_use(requests, slots, is_full):
    shares = fair_shares(Usage({'large': requests}), slots)
    assert shares.is_full(make_request('small'), 1) == is_full
