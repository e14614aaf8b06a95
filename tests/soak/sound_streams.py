"""Counts sound streams that reached their callers as cut.

A sound one was sent whole, by targets and routers that ran, over paths that
passed bytes. One without a mark of its end may have to be cut, as nothing tells
it from a broken one; one with a mark may not.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator

from tests.soak.events import numbered_events, numbers_missing
from tests.soak.records import (
    Answered,
    Record,
    Replied,
    Sent,
    TargetCut,
    select,
)
from tests.soak.touch import Touch

__all__ = ('count_sound_cut',)

STREAM_KINDS = ('-draft', '-ask')


def count_sound_cut(records: Iterable[Record]) -> Counter[str]:
    """Return their number by the framing of what their targets sent."""
    records = tuple(records)
    return Counter(run.framing for _, run in find_sound_cut(records))


def find_sound_cut(
    records: tuple[Record, ...],
) -> Iterator[tuple[Answered, Replied]]:
    """Yield the answers that were cut, each with its sound run."""
    touch = Touch(records)
    cuts = tuple(select(records, TargetCut))
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
        is_calm = _is_calm(sent[request_id], run, answer, touch)
        is_cut = any(
            cut.target == run.target and run.at <= cut.at <= answer.at
            for cut in cuts
        )
        if is_calm and not is_cut and _is_sound(run, answer.after):
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
