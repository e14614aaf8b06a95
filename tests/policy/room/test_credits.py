import pytest
from hypothesis import given
from hypothesis import strategies as st

from peridotwell.domain.target import Pool, Target, TargetKind
from peridotwell.policy.room.credits import Borrower, Lender, load_caps

POOL = Pool('dc1', 'ink')
TARGET_ID = 1


def make_targets(weights, slots=0):
    return [
        Target(f'e{number}', 'x', TargetKind.engine, POOL, weight, slots)
        for number, weight in enumerate(weights)
    ]


@given(
    st.lists(st.integers(1, 4), min_size=1, max_size=20),
    st.integers(0, 500),
    st.sampled_from([1.05, 1.25, 2.0]),
)
def test_caps_keep_the_bound_and_leave_room_for_one_more(
    weights, outstanding, bound
):
    targets = make_targets(weights)
    caps = load_caps(targets, outstanding, bound)
    for target in targets:
        mean = (outstanding + 1) * target.weight / sum(weights)
        assert caps[target.name] <= max(bound * mean, mean + 1)
    assert sum(caps.values()) > outstanding


def test_slots_limit_the_cap():
    assert load_caps(make_targets([1, 1], 3), 100, 1.25) == {'e0': 3, 'e1': 3}


def test_lender_never_exceeds_the_cap():
    lender = Lender()
    lender.await_reports(TARGET_ID, set())
    lent = [lender.lend(TARGET_ID, router, 2, 5) for router in (1, 2, 3)]
    assert lent == [2, 2, 1]
    assert lender.lend(TARGET_ID, 1, 1, 4) == 0
    lender.record_return(TARGET_ID, 1, 2)
    assert lender.lend(TARGET_ID, 3, 9, 5) == 2


def test_new_lender_lends_nothing_before_all_have_reported():
    lender = Lender()
    lender.await_reports(TARGET_ID, {7, 8})
    lender.record_holdings(7, {TARGET_ID: 3}, completes=True)
    assert lender.lend(TARGET_ID, 9, 1, 10) == 0
    lender.record_holdings(8, {}, completes=False)
    assert lender.lend(TARGET_ID, 9, 1, 10) == 0
    lender.record_holdings(8, {TARGET_ID: 2}, completes=True)
    assert lender.lend(TARGET_ID, 9, 9, 6) == 1


def test_credits_of_a_lost_borrower_are_taken_back():
    lender = Lender()
    lender.await_reports(TARGET_ID, {7})
    lender.keep_only({9})
    assert lender.lend(TARGET_ID, 9, 4, 4) == 4
    lender.keep_only(set())
    assert lender.lent(TARGET_ID) == 0


@pytest.mark.parametrize(
    ('may_keep', 'is_awaited', 'returned_at_release', 'returned_later'),
    [
        (False, False, 1, {}),
        (True, False, 0, {TARGET_ID: 1}),
        (False, True, 0, {TARGET_ID: 1}),
    ],
)
def test_idle_credits_are_returned(
    may_keep, is_awaited, returned_at_release, returned_later
):
    borrower = Borrower(keep_seconds=1)
    borrower.add(TARGET_ID, 1, 0, may_keep=may_keep)
    assert borrower.spend(TARGET_ID)
    assert not borrower.spend(TARGET_ID)
    assert (
        borrower.release(TARGET_ID, 5, is_awaited=is_awaited)
        == returned_at_release
    )
    assert borrower.return_idle(5.05) == {}
    assert borrower.return_idle(6.5) == returned_later
    assert borrower.holdings() == {}


def test_dropping_idle_credits_keeps_those_of_running_requests():
    borrower = Borrower(keep_seconds=1)
    borrower.add(TARGET_ID, 3, 0, may_keep=True)
    borrower.spend(TARGET_ID)
    borrower.drop_idle()
    assert borrower.holdings() == {TARGET_ID: 1}
    assert not borrower.spend(TARGET_ID)
