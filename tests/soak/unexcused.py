"""A second judgement of a run, without the allowances of the soak itself.

It excuses only what rules on routers in touch do: while a router or the store
is disturbed, and until CONTACT_SECONDS after it, nothing is bound, and a bound
on an earlier change runs from then. Waits of the soak's own processes count.
"""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Iterator
from operator import attrgetter

from tests.soak.configuration_rule import (
    IN_FORCE_SECONDS,
    collect_handlings,
    is_allowed,
)
from tests.soak.leaving_rule import DRAIN_SECONDS, find_leaving
from tests.soak.records import (
    Arrived,
    EntryWritten,
    Record,
    Sent,
    VersionWritten,
    select,
)
from tests.soak.touch import CONTACT_SECONDS, Touch

__all__ = ('judge_unexcused',)


def judge_unexcused(records: Iterable[Record]) -> Iterator[str]:
    """Yield what is too late for routers in touch, whatever the reason."""
    in_order = sorted(records, key=attrgetter('at'))
    touch = Touch(in_order)
    yield from _judge_leaving(in_order, touch)
    yield from _judge_configuration(in_order, touch)


def _judge_leaving(records: list[Record], touch: Touch) -> Iterator[str]:
    entries: dict[str, list[EntryWritten]] = defaultdict(list)
    for entry in select(records, EntryWritten):
        entries[entry.target].append(entry)
    sent = {each.request_id: each for each in select(records, Sent)}
    for arrived in select(records, Arrived):
        left = find_leaving(entries[arrived.target], arrived)
        request = sent.get(arrived.request_id)
        if left is None or request is None:
            continue
        since = max(left.at, _calm_since(touch, request.router, arrived.at))
        seconds = arrived.at - since
        if seconds > DRAIN_SECONDS and touch.is_path_calm(
            request.router, arrived.target, arrived.at, arrived.at
        ):
            yield (
                f'DRAIN: {request.request_id} by {request.router} reached '
                f'{arrived.target} {seconds:.2f} s after it was {left.state}'
            )


def _judge_configuration(records: list[Record], touch: Touch) -> Iterator[str]:
    versions = sorted(select(records, VersionWritten), key=attrgetter('at'))
    written = [version.at for version in versions]
    handlings = collect_handlings(records)
    for sent in select(records, Sent):
        due = sent.at - IN_FORCE_SECONDS
        in_force = bisect_left(written, due) - 1
        calm_since = _calm_since(touch, sent.router, sent.at)
        if in_force < 0 or calm_since >= due:
            continue
        floor = versions[in_force].version
        for handling in handlings[sent.request_id]:
            if not is_allowed(versions, sent, handling, floor):
                yield (
                    f'CONFIG: {sent.request_id} {handling.how} by '
                    f'{sent.router}, against version {floor}'
                )


def _calm_since(touch: Touch, router: str, at: float) -> float:
    """Return since when a router and the store are calm; `at` if not yet."""
    ended = max(
        (
            at if fault.began_at <= at <= fault.at else fault.at
            for fault in touch.faults(router)
            if fault.began_at <= at
        ),
        default=float('-inf'),
    )
    return min(at, ended + CONTACT_SECONDS)
