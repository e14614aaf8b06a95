"""Counts sound streams that reached their callers as cut.

A sound one was sent whole, by targets and routers that ran, over paths that
passed bytes, and had time left. One without a mark of its end may have
to be cut, as nothing tells it from a broken one; one with a mark may not.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator

from tests.soak.events import numbered_events, numbers_missing
from tests.soak.records import (
    Answered,
    Record,
    Replied,
    Sent,
    TargetDisturbed,
    select,
)
from tests.soak.touch import Touch

__all__ = ('count_sound_cut', 'judge_sound_streams')

STREAM_KINDS = ('-draft', '-ask')
UNMARKED = 'open'
# A router may end a stream so long before its deadline.
END_SECONDS = 0.1


def count_sound_cut(
    records: Iterable[Record], deadline_seconds: float
) -> Counter[str]:
    """Return their number by the framing of what their targets sent."""
    cut = _find_sound_cut(tuple(records), deadline_seconds)
    return Counter(run.framing for _, run in cut)


def judge_sound_streams(
    records: Iterable[Record], deadline_seconds: float
) -> Iterator[str]:
    """Yield a violation for each one that its target had marked."""
    for answer, run in _find_sound_cut(tuple(records), deadline_seconds):
        if run.framing != UNMARKED:
            yield f'LOST: {answer} was cut, but is sound: {run}'


def _find_sound_cut(
    records: tuple[Record, ...], deadline_seconds: float
) -> Iterator[tuple[Answered, Replied]]:
    """Yield the answers that were cut, each with its sound run."""
    touch = Touch(records)
    disturbed = tuple(select(records, TargetDisturbed))
    sent = {each.request_id: each for each in select(records, Sent)}
    runs: dict[str, list[Replied]] = defaultdict(list)
    for reply in select(records, Replied):
        runs[reply.request_id].append(reply)
    for answer in select(records, Answered):
        request_id = answer.request_id
        if answer.error != 'cut' or not request_id.endswith(STREAM_KINDS):
            continue
        # A stream that went on elsewhere was not sent whole by one target.
        if len(runs[request_id]) != 1:
            continue
        run = runs[request_id][0]
        due_at = sent[request_id].at + deadline_seconds - END_SECONDS
        is_calm = _is_calm(sent[request_id], run, answer, touch)
        is_disturbed = any(
            each.target == run.target
            and sent[request_id].at <= each.at <= answer.at
            for each in disturbed
        )
        is_excused = is_disturbed or answer.at >= due_at
        if is_calm and not is_excused and _is_sound(run, answer.after):
            yield answer, run


def _is_calm(sent: Sent, run: Replied, answer: Answered, touch: Touch) -> bool:
    return touch.is_router_calm(
        sent.router, sent.at, answer.at
    ) and touch.is_path_calm(sent.router, run.target, sent.at, answer.at)


def _is_sound(run: Replied, after: int) -> bool:
    numbers = [number for number, _ in numbered_events(run.body)]
    in_order = numbers == sorted(set(numbers))
    missing = numbers_missing(numbers, after, is_whole=True)
    return run.is_whole and in_order and not missing
