"""Judges whether streams are in order, and no end is stronger than it was.

What targets have sent is the reference. A target may leave out one of the
first events by itself, which a router can't tell where it knows nothing of the
service; but ids increase, so that an event that comes twice can be told, and go
up by one, so that one that is left out later can, unless another target goes on
behind it. A broken answer is judged as far as it came.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator

from tests.soak.events import numbered_events, numbers_left_out
from tests.soak.records import Answered, Record, Replied, select

__all__ = ('judge_order',)

STREAM_KINDS = ('-draft', '-ask')
# Events that go up by one before a router can tell that one is left out.
UNTOLD_EVENTS = 2
MARKED = frozenset(('chunks', 'length'))


def judge_order(records: Iterable[Record]) -> Iterator[str]:
    """Yield the violations of ORDER."""
    records = tuple(records)
    replies: dict[str, list[Replied]] = defaultdict(list)
    for reply in select(records, Replied):
        replies[reply.request_id].append(reply)
    for answer in select(records, Answered):
        runs = replies[answer.request_id]
        for why in _find_faults(answer, runs):
            yield f'ORDER: {answer} {why}: {runs}'


def _find_faults(answer: Answered, runs: list[Replied]) -> Iterator[str]:
    if _is_marked_too_well(answer, runs):
        yield f'is marked as complete by {answer.ended}, but was cut'
    if answer.request_id.endswith(STREAM_KINDS):
        yield from _find_faults_of_events(answer, runs)


def _is_marked_too_well(answer: Answered, runs: list[Replied]) -> bool:
    """Whether an answer of cut runs has the mark of an end.

    A stream that goes on may end with the mark of its last run.
    """
    if answer.ended not in MARKED or not answer.receipt:
        return False
    goes_on = answer.request_id.endswith('-ask')
    ends = [run for run in runs if goes_on or run.receipt == answer.receipt]
    return bool(ends) and not any(run.is_whole for run in ends)


def _find_faults_of_events(
    answer: Answered, runs: list[Replied]
) -> Iterator[str]:
    events = numbered_events(answer.body)
    numbers = [number for number, _ in events]
    if len(set(numbers)) < len(numbers):
        yield 'has an event twice'
    elif numbers != sorted(numbers):
        yield 'has events out of order'
    left_out = numbers_left_out(run.body for run in runs)
    due = range(1, max(numbers, default=0) + 1)
    excused = {
        each for each in left_out if not _can_be_told(each, dict(events))
    }
    missing = [each for each in due if each not in {*numbers, *excused}]
    if missing:
        yield f'lacks the events {missing}'


def _can_be_told(left_out: int, receipts: dict[int, bytes]) -> bool:
    """Whether one run has passed over an event in the midst of a stream.

    `receipts` are those of the events of the answer.
    """
    if left_out <= UNTOLD_EVENTS:
        return False
    before = max((each for each in receipts if each < left_out), default=0)
    after = min((each for each in receipts if each > left_out), default=0)
    return bool(after) and receipts.get(before) == receipts[after]
