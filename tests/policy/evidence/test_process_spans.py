"""Tests of the spans in which one process serves."""

from peridotwell.policy.evidence.process_spans import (
    MAX_SKEW_SECONDS,
    OUTLIVE_SECONDS,
    ProcessSpan,
    ProcessSpans,
    add_lost,
)

SINCE, SEEN_AT, LOST_AT = 10.0, 12.0, 15.0


def test_a_process_has_sent_what_came_since_it_serves():
    spans = ProcessSpans(ProcessSpan(SINCE))
    assert spans.is_same(SEEN_AT)
    assert not spans.is_same(SINCE - 1)


# Guards against evidence of a process that counts for the one before.
def test_what_came_before_a_process_was_lost_came_from_that():
    spans = ProcessSpans(
        ProcessSpan(LOST_AT), lost=(ProcessSpan(SINCE, LOST_AT),)
    )
    assert spans.has_ended(SEEN_AT, SEEN_AT, LOST_AT)
    assert not spans.has_ended(LOST_AT, LOST_AT, LOST_AT)
    assert not spans.has_ended(SINCE - 1, SEEN_AT, LOST_AT)


# Guards against sound responses that count as cut because their target closed
# its idle connections some time before.
def test_connections_that_ended_long_ago_say_nothing():
    spans = ProcessSpans(lost=(ProcessSpan(SINCE, LOST_AT),))
    assert not spans.has_ended(SEEN_AT, SEEN_AT, LOST_AT + MAX_SKEW_SECONDS + 1)


# Guards against the same where parts of the response have come since.
def test_parts_that_come_later_are_of_a_process_that_lives():
    spans = ProcessSpans(lost=(ProcessSpan(SINCE, LOST_AT),))
    last_at = LOST_AT + OUTLIVE_SECONDS
    assert not spans.has_ended(SEEN_AT, last_at, last_at)
    assert spans.has_ended(SEEN_AT, LOST_AT, last_at)


def test_old_spans_are_forgotten():
    old = ProcessSpan(SINCE, LOST_AT)
    late = ProcessSpan(LOST_AT, LOST_AT + MAX_SKEW_SECONDS + 1)
    assert add_lost((old,), late) == (late,)
    assert add_lost((), old) == (old,)
