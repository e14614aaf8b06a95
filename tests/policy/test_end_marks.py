"""Tests of what is usual for the ends of a service's responses."""

from peridotwell.policy.end_marks import EndMarks

RESPONSES = 30


def recorded(*marks):
    end_marks = EndMarks()
    for is_marked in marks:
        end_marks.record('ledger', is_marked=is_marked)
    return end_marks


def test_marks_are_usual_before_a_response():
    assert EndMarks().are_usual('ledger')


def test_a_response_without_a_mark_is_unusual_among_marked_ones():
    assert recorded(*[True] * RESPONSES, False, False).are_usual('ledger')


def test_a_service_that_marks_no_ends_is_believed_soon():
    end_marks = recorded(*[False] * RESPONSES)
    assert not end_marks.are_usual('ledger')
    assert end_marks.are_usual('search')


def test_what_is_usual_changes_with_the_responses():
    unmarked = [False] * RESPONSES
    assert recorded(*unmarked, *[True] * RESPONSES * 5).are_usual('ledger')


def test_a_change_of_what_is_usual_is_told_with_its_counts():
    end_marks = recorded(True, True)
    changes = [
        end_marks.record('ledger', is_marked=False) for _ in range(RESPONSES)
    ]
    (change,) = [each for each in changes if each is not None]
    assert (change.marked, change.unmarked) == (2, changes.index(change) + 1)
