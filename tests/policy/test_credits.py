import pytest
from hypothesis import given
from hypothesis import strategies as st

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.policy.credits import Borrower, Lender, load_caps

POOL = Pool('dc1', 'ink')
E1 = 1


def make_targets(weights, slots=0):
    return [
        Target(f'e{place}', 'x', TargetKind.engine, POOL, weight, slots)
        for place, weight in enumerate(weights)
    ]


@given(
    st.lists(st.integers(1, 4), min_size=1, max_size=20),
    st.integers(0, 500),
    st.sampled_from([1.05, 1.25, 2.0]),
)
def test_caps_keep_the_multiple_and_leave_room(weights, outstanding, bound):
    targets = make_targets(weights)
    caps = load_caps(targets, outstanding, bound)
    for target in targets:
        mean = (outstanding + 1) * target.weight / sum(weights)
        assert caps[target.name] <= max(bound * mean, mean + 1)
    assert sum(caps.values()) > outstanding


def test_slots_limit_the_cap():
    assert load_caps(make_targets([1, 1], 3), 100, 1.25) == {'e0': 3, 'e1': 3}


def test_lender_never_passes_the_cap():
    lender = Lender()
    lender.await_reports(E1, set())
    lent = [lender.lend(E1, router, 2, 5) for router in (1, 2, 3)]
    assert lent == [2, 2, 1]
    assert lender.lend(E1, 1, 1, 4) == 0
    lender.record_return(E1, 1, 2)
    assert lender.lend(E1, 3, 9, 5) == 2


def test_new_lender_lends_nothing_before_all_have_reported():
    lender = Lender()
    lender.await_reports(E1, {7, 8})
    lender.record_holdings(7, {E1: 3}, completes=True)
    assert lender.lend(E1, 9, 1, 10) == 0
    lender.record_holdings(8, {}, completes=False)
    assert lender.lend(E1, 9, 1, 10) == 0
    lender.record_holdings(8, {E1: 2}, completes=True)
    assert lender.lend(E1, 9, 9, 6) == 1


def test_dead_borrower_gives_its_credits_back():
    lender = Lender()
    lender.await_reports(E1, {7})
    lender.keep_only({9})
    assert lender.lend(E1, 9, 4, 4) == 4
    lender.keep_only(set())
    assert lender.lent(E1) == 0


@pytest.mark.parametrize(
    ('may_keep', 'is_awaited', 'at_once', 'at_tick'),
    [
        (False, False, 1, {}),
        (True, False, 0, {E1: 1}),
        (False, True, 0, {E1: 1}),
    ],
)
def test_idle_credits_go_back(may_keep, is_awaited, at_once, at_tick):
    borrower = Borrower(keep_seconds=1)
    borrower.add(E1, 1, 0, may_keep=may_keep)
    assert borrower.spend(E1)
    assert not borrower.spend(E1)
    assert borrower.release(E1, 5, is_awaited=is_awaited) == at_once
    assert borrower.return_idle(5.05) == {}
    assert borrower.return_idle(6.5) == at_tick
    assert borrower.holdings() == {}


def test_lapsed_router_keeps_only_what_its_calls_hold():
    borrower = Borrower(keep_seconds=1)
    borrower.add(E1, 3, 0, may_keep=True)
    borrower.spend(E1)
    borrower.drop_idle()
    assert borrower.holdings() == {E1: 1}
    assert not borrower.spend(E1)
