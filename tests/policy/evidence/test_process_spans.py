"""Tests of the spans in which one process serves."""

from peridotwell.policy.evidence.process_evidence import ResponseTimes
from peridotwell.policy.evidence.process_spans import (
    MAX_SKEW_SECONDS,
    OUTLIVE_SECONDS,
    ProcessSpan,
    ProcessSpans,
    add_lost,
)

SINCE, SEEN_AT, LOST_AT = 10.0, 12.0, 15.0


def seen(at):
    """Return the times of a response whose head came at once."""
    return ResponseTimes(at, at)


def test_a_process_has_sent_what_came_since_it_serves():
    spans = ProcessSpans(ProcessSpan(SINCE))
    assert spans.is_same(SEEN_AT)
    assert not spans.is_same(SINCE - 1)


# Guards against evidence of a process that counts for the one before.
def test_what_came_before_a_process_was_lost_came_from_that():
    spans = ProcessSpans(
        ProcessSpan(LOST_AT), lost=(ProcessSpan(SINCE, LOST_AT),)
    )
    assert spans.has_ended(seen(SEEN_AT), SEEN_AT, LOST_AT)
    assert not spans.has_ended(seen(LOST_AT), LOST_AT, LOST_AT)
    assert not spans.has_ended(seen(SINCE - 1), SEEN_AT, LOST_AT)


# Guards against responses of a process that are read only once there is a
# connection to the next one, and count as that one's.
def test_what_was_asked_for_before_came_from_the_process_that_was_lost():
    spans = ProcessSpans(
        ProcessSpan(LOST_AT), lost=(ProcessSpan(SINCE, LOST_AT),)
    )
    read_at = LOST_AT + OUTLIVE_SECONDS / 2
    late = ResponseTimes(LOST_AT - 1, read_at)
    assert spans.has_ended(late, read_at, read_at)
    assert not spans.has_ended(seen(read_at), read_at, read_at)


# Guards against sound responses that are cut since another connection, to a
# process that has not ended, has.
def test_a_process_that_serves_since_before_has_not_ended():
    spans = ProcessSpans(
        ProcessSpan(SINCE), lost=(ProcessSpan(SINCE - 1, LOST_AT),)
    )
    late = ResponseTimes(SEEN_AT, LOST_AT + 0.1)
    assert not spans.has_ended(late, LOST_AT + 0.1, LOST_AT + 0.1)


# Guards against sound responses that count as cut because their target closed
# its idle connections some time before.
def test_connections_that_ended_long_ago_say_nothing():
    spans = ProcessSpans(lost=(ProcessSpan(SINCE, LOST_AT),))
    assert not spans.has_ended(
        seen(SEEN_AT), SEEN_AT, LOST_AT + MAX_SKEW_SECONDS + 1
    )


# Guards against the same where parts of the response have come since.
def test_parts_that_come_later_are_of_a_process_that_lives():
    spans = ProcessSpans(lost=(ProcessSpan(SINCE, LOST_AT),))
    last_at = LOST_AT + OUTLIVE_SECONDS
    assert not spans.has_ended(seen(SEEN_AT), last_at, last_at)
    assert spans.has_ended(seen(SEEN_AT), LOST_AT, last_at)


def test_old_spans_are_forgotten():
    old = ProcessSpan(SINCE, LOST_AT)
    late = ProcessSpan(LOST_AT, LOST_AT + MAX_SKEW_SECONDS + 1)
    assert add_lost((old,), late) == (late,)
    assert add_lost((), old) == (old,)
