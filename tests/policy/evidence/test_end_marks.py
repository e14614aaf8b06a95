"""Tests of what is known of ends without a mark."""

from peridotwell.policy.evidence.end_marks import EndGroup, EndMarks

RESPONSES = 30
# As many as a target may have in flight when it begins to break them off.
BURST = 25
LEDGER = EndGroup('ledger', is_stream=True)


def marked(responses=RESPONSES, targets=('a', 'b')):
    end_marks = EndMarks()
    for _ in range(responses):
        for target in targets:
            end_marks.record_marked(LEDGER, target)
    return end_marks


def check(end_marks, target, *, is_whole, times=RESPONSES):
    return [
        end_marks.record_checked(LEDGER, target, is_whole=is_whole)
        for _ in range(times)
    ]


def test_marks_are_usual_before_a_response():
    assert EndMarks().are_usual(LEDGER)
    assert EndMarks().is_believed(LEDGER, 'a')


def test_a_response_without_a_mark_is_unusual_among_marked_ones():
    end_marks = marked()
    check(end_marks, 'a', is_whole=True, times=2)
    assert end_marks.are_usual(LEDGER)


def test_a_service_that_marks_no_ends_is_believed_soon():
    end_marks = EndMarks()
    check(end_marks, 'a', is_whole=True)
    assert not end_marks.are_usual(LEDGER)
    assert end_marks.is_believed(LEDGER, 'b')
    assert end_marks.are_usual(EndGroup('search', is_stream=True))
    assert end_marks.are_usual(EndGroup('ledger', is_stream=False))


def test_what_is_usual_changes_with_the_responses():
    end_marks = EndMarks()
    check(end_marks, 'a', is_whole=True)
    for _ in range(RESPONSES * 5):
        end_marks.record_marked(LEDGER, 'a')
    assert end_marks.are_usual(LEDGER)


def test_a_change_of_what_is_usual_is_told_with_its_counts():
    end_marks = marked(1)
    changes = check(end_marks, 'a', is_whole=True)
    (change,) = [each for each in changes if each is not None]
    assert (change.marked, change.unmarked) == (2, changes.index(change) + 1)


# Guards against a burst of cut responses that ends the asking for their rest.
def test_cut_responses_do_not_make_unmarked_ends_usual():
    end_marks = marked()
    check(end_marks, 'a', is_whole=False)
    for _ in range(RESPONSES):
        end_marks.record_unmarked(LEDGER, 'a')
    assert end_marks.are_usual(LEDGER)
    assert not end_marks.is_believed(LEDGER, 'a')


# Guards against a burst of cut responses that nobody can check.
def test_a_target_that_marks_its_ends_is_not_believed_without_a_mark():
    end_marks = marked()
    for _ in range(BURST):
        assert not end_marks.is_believed(LEDGER, 'a')
        end_marks.record_unmarked(LEDGER, 'a')


# Guards against sound responses of a target that marks no ends, for good.
def test_a_target_that_marks_none_is_believed_among_others_that_do():
    end_marks = marked()
    refused = 0
    for _ in range(RESPONSES):
        refused += not end_marks.is_believed(LEDGER, 'c')
        end_marks.record_unmarked(LEDGER, 'c')
    assert 0 < refused < RESPONSES // 4


def test_checked_ends_of_a_target_decide():
    end_marks = marked()
    check(end_marks, 'a', is_whole=True, times=1)
    assert end_marks.is_believed(LEDGER, 'a')
    check(end_marks, 'a', is_whole=False, times=2)
    assert not end_marks.is_believed(LEDGER, 'a')
    assert not end_marks.is_believed(LEDGER, 'b')
