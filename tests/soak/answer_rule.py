"""Judges whether each answer is the whole answer of a run of its request."""

from collections import defaultdict
from collections.abc import Iterable, Iterator

from tests.soak.events import (
    joined,
    numbered_events,
    numbers_left_out,
    numbers_missing,
    without_repeats,
)
from tests.soak.guarantees import FIRST_REDIRECT_STATUS, FIRST_SUCCESS_STATUS
from tests.soak.records import Answered, Record, Replied, select

__all__ = ('judge_answers',)

STREAM_KINDS = ('-draft', '-ask')


def judge_answers(records: Iterable[Record]) -> Iterator[str]:
    """Yield the violations of MIXED."""
    records = tuple(records)
    replies: dict[str, list[Replied]] = defaultdict(list)
    for reply in select(records, Replied):
        replies[reply.request_id].append(reply)
    for answer in select(records, Answered):
        why = _find_fault(answer, replies[answer.request_id])
        if why:
            yield f'MIXED: {answer} {why}: {replies[answer.request_id]}'


def _find_fault(answer: Answered, replies: list[Replied]) -> str:
    if answer.named_id not in {'', answer.request_id}:
        return 'names another request'
    reply = next(
        (each for each in replies if each.receipt == answer.receipt), None
    )
    is_success = _is_success(answer.status)
    if reply is None:
        return 'has no run' if is_success or answer.receipt else ''
    if reply.status != answer.status:
        return f'has another status than its run, {reply.status}'
    if is_success and not _is_whole(answer, reply, replies):
        return 'has not the whole body of its run'
    return ''


def _is_whole(answer: Answered, reply: Replied, replies: list[Replied]) -> bool:
    if reply.is_whole and answer.body in {
        reply.body,
        without_repeats(reply.body),
    }:
        return True
    if answer.request_id.endswith(STREAM_KINDS):
        is_resumed = answer.request_id.endswith('-ask') and len(replies) > 1
        return is_resumed and _is_joined(answer, replies)
    return answer.ended == 'open' and _is_unmarked(reply, answer.body)


def _is_unmarked(reply: Replied, body: bytes) -> bool:
    """Whether a body is all of a run that was cut without a mark of its end.

    It ended in the ordinary way: nobody can tell that end from a true one, so
    it is passed on, without a mark. For streams, that is no excuse.
    """
    return (reply.framing, reply.cut, reply.body) == ('open', 'end', body)


def _is_joined(answer: Answered, replies: list[Replied]) -> bool:
    """Whether events of several runs make up one whole stream, in order.

    The comment at the end follows the last event, so that a run that is
    resumed after that event sends it again.
    """
    events = numbered_events(answer.body)
    numbers = [number for number, _ in events]
    receipts = {
        each.receipt.encode() for each in replies if _is_success(each.status)
    }
    end = b': %b\n\n' % answer.request_id.encode()
    ends = range(1, len(replies) + 1)
    text = joined(events)
    left_out = numbers_left_out(each.body for each in replies)
    missing = numbers_missing(numbers, answer.after, is_whole=True)
    return (
        numbers == sorted(set(numbers))
        # Whether they may be missing is judged with the order of streams.
        and left_out.issuperset(missing)
        and {receipt for _, receipt in events} <= receipts
        and answer.body in {text + end * count for count in ends}
    )


def _is_success(status: int) -> bool:
    return FIRST_SUCCESS_STATUS <= status < FIRST_REDIRECT_STATUS
