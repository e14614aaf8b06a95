"""Whose response ends when the memory for responses is full."""

from peridotwell.policy.room.buffer_budget import (
    DEFAULT_BUFFER_BYTES,
    MIN_BUFFER_BYTES,
    BudgetObserver,
    BufferBudget,
    buffer_bytes,
)


class Ended(BudgetObserver):
    """Records what was ended."""

    def __init__(self):
        self.records = []

    def record_ended(self, group, held_bytes):
        self.records.append((group, held_bytes))


class Response:
    """An object that keeps the memory of a share."""


def open_shares(budget, closed, *sizes):
    """Return shares of these groups and sizes, as long as they fit."""
    shares = []
    for number, (group, size) in enumerate(sizes):
        shares.append(
            budget.open(group, lambda each=number: closed.append(each))
        )
        shares[-1].resize(size)
    return shares


def test_the_budget_is_a_part_of_the_memory():
    assert buffer_bytes(300_000_000) == 37_500_000
    assert buffer_bytes(1) == MIN_BUFFER_BYTES
    assert buffer_bytes(0) == DEFAULT_BUFFER_BYTES


def test_what_fits_is_held_until_it_is_released():
    budget = BufferBudget(100)
    share = budget.open('a', lambda: None)
    assert share.resize(100)
    assert share.resize(40)
    assert budget.held_bytes == 40
    share.release()
    share.release()
    assert budget.held_bytes == 0


# Guards against the end of a sound answer in place of one without end.
def test_the_largest_response_of_the_group_that_has_most_is_ended():
    ended, closed = Ended(), []
    budget = BufferBudget(100, ended)
    shares = open_shares(
        budget, closed, ('a', 30), ('a', 31), ('b', 35), ('b', 4)
    )
    sound = budget.open('c', lambda: closed.append('sound'))
    assert sound.resize(5)
    assert closed == [1]
    assert ended.records == [('a', 31)]
    assert not shares[1].resize(32)
    assert shares[0].resize(30)
    assert budget.held_bytes == 74


def test_the_response_that_needs_more_may_be_the_one_that_ends():
    closed = []
    budget = BufferBudget(100)
    (share,) = open_shares(budget, closed, ('a', 100))
    assert not share.resize(101)
    assert closed == [0]
    assert budget.held_bytes == 0


def test_a_complete_response_is_held_as_long_as_it_exists():
    budget = BufferBudget(100)
    share = budget.open('a', lambda: None)
    share.resize(60)
    response = Response()
    share.keep_with(response)
    share.release_unless_kept()
    assert budget.held_bytes == 60
    del response
    assert budget.held_bytes == 0


def test_a_complete_response_can_end_only_while_its_caller_takes_it():
    closed = []
    budget = BufferBudget(100)
    share = budget.open('a', lambda: closed.append('target'))
    share.resize(90)
    response = Response()
    share.keep_with(response)
    other = budget.open('b', lambda: closed.append('other'))
    assert not other.resize(20)
    share.wait_for_caller(lambda: closed.append('caller'))
    assert budget.open('c', lambda: closed.append('c')).resize(20)
    assert closed == ['other', 'caller']
    assert share.is_ended
