"""Judges whether streams are in order and whole, and no end grows stronger.

A stream that its caller takes for whole must have all its events, whatever its
target has sent: an ordinary end without a mark looks whole too. A broken answer
is judged as far as it came. What targets have sent only tells which cases an
allowance excuses: one of the first events of one of the first streams.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from tests.soak.events import (
    numbered_events,
    numbers_left_out,
    numbers_missing,
)
from tests.soak.first_streams import FirstStreams
from tests.soak.records import Answered, Record, Replied, select

__all__ = ('count_allowances', 'judge_order')

STREAM_KINDS = ('-draft', '-ask')
MARKED = frozenset(('chunks', 'length'))
FIRST_STREAMS = 'event left out of one of the first streams'
PLAIN_END = 'end without a mark of a plain answer'
# A step behind two events that follow each other tells of itself.
UNTOLD_EVENTS = 2


@dataclass(frozen=True)
class _Fault:
    """What is wrong with an answer, and the allowance that excuses it."""

    answer: Answered
    runs: list[Replied]
    why: str
    allowance: str = ''

    def __str__(self) -> str:
        return f'ORDER: {self.answer} {self.why}: {self.runs}'


def judge_order(
    records: Iterable[Record], *, allows: bool = True
) -> Iterator[str]:
    """Yield the violations of ORDER, perhaps without any allowance."""
    for fault in _find_faults(tuple(records)):
        if not (allows and fault.allowance):
            yield str(fault)


def count_allowances(records: Iterable[Record]) -> Counter[str]:
    """Return how many cases each allowance has excused."""
    faults = _find_faults(tuple(records))
    return Counter(each.allowance for each in faults if each.allowance)


def _find_faults(records: tuple[Record, ...]) -> Iterator[_Fault]:
    replies: dict[str, list[Replied]] = defaultdict(list)
    for reply in select(records, Replied):
        replies[reply.request_id].append(reply)
    first = FirstStreams(records)
    for answer in select(records, Answered):
        runs = replies[answer.request_id]
        if _is_marked_too_well(answer, runs):
            why = f'is marked as complete by {answer.ended}, but was cut'
            yield _Fault(answer, runs, why)
        if answer.request_id.endswith(STREAM_KINDS):
            yield from _find_faults_of_events(answer, runs, first)
        elif _is_cut_without_a_mark(answer, runs):
            yield _Fault(answer, runs, 'looks whole, but was cut', PLAIN_END)


def _is_marked_too_well(answer: Answered, runs: list[Replied]) -> bool:
    """Whether an answer of cut runs has the mark of an end.

    A stream that goes on may end with the mark of its last run.
    """
    if answer.ended not in MARKED or not answer.receipt:
        return False
    goes_on = answer.request_id.endswith('-ask')
    ends = [run for run in runs if goes_on or run.receipt == answer.receipt]
    return bool(ends) and not any(run.is_whole for run in ends)


def _is_cut_without_a_mark(answer: Answered, runs: list[Replied]) -> bool:
    """Whether an answer that ends in the ordinary way is that of a cut run."""
    return answer.ended == 'open' and any(
        run.receipt == answer.receipt and not run.is_whole for run in runs
    )


def _find_faults_of_events(
    answer: Answered, runs: list[Replied], first: FirstStreams
) -> Iterator[_Fault]:
    numbers = [number for number, _ in numbered_events(answer.body)]
    if len(set(numbers)) < len(numbers):
        yield _Fault(answer, runs, 'has an event twice')
    elif numbers != sorted(numbers):
        yield _Fault(answer, runs, 'has events out of order')
    is_whole = bool(answer.ended and answer.receipt)
    missing = numbers_missing(numbers, answer.after, is_whole=is_whole)
    if missing:
        left_out = numbers_left_out(run.body for run in runs)
        is_untold = max(missing) <= answer.after + UNTOLD_EVENTS
        is_first = (
            is_untold and left_out.issuperset(missing) and first.has(answer)
        )
        allowance = FIRST_STREAMS * is_first
        yield _Fault(answer, runs, f'lacks the events {missing}', allowance)
