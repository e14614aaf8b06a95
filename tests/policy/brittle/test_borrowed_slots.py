"""Slots of a brittle target that a router borrows."""

from peridotwell.policy.brittle.borrowed_slots import (
    KNOWN_AFTER_SECONDS,
    BorrowedSlots,
)


def test_borrowed_slots_count_until_they_are_free_or_known():
    borrowed = BorrowedSlots()
    borrowed.record_send(0)
    borrowed.record_send(1)
    assert borrowed.count(2, 1) == 2
    assert borrowed.count(2, KNOWN_AFTER_SECONDS) == 1
    assert borrowed.count(0, KNOWN_AFTER_SECONDS) == 0
