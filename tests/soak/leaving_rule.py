"""Judges whether requests still reach targets that have left the service."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable, Iterator
from operator import attrgetter

from tests.soak.records import Arrived, EntryWritten, Record, Sent, select
from tests.soak.touch import Touch

__all__ = (
    'DRAIN_SECONDS',
    'find_arrivals_after_leaving',
    'judge_leaving',
)

# A target gets no requests later than this after the store's answer.
DRAIN_SECONDS = 2.0
# No fault excuses a request that reaches a draining target later than this, but
# one that holds it on its way, as the network does, and an outage of the store
# that has lasted all the while.
DRAIN_GRACE_SECONDS = 2.5
# A router hears a store that has returned within this time.
RETURN_SECONDS = 1.0


def judge_leaving(records: Iterable[Record]) -> Iterator[str]:
    """Yield the violations of DRAIN; `records` are in order."""
    records = tuple(records)
    touch = Touch(records)
    for arrived, left, request in find_arrivals_after_leaving(records):
        # The soak's own store may have been late to tell the router in time,
        # and the request may have waited in its targets.
        waited = touch.soak_late_seconds(
            'store', left.at, min(arrived.at, left.at + DRAIN_SECONDS)
        )
        waited += touch.soak_late_seconds('targets', request.at, arrived.at)
        late_seconds = arrived.at - left.at - waited
        if late_seconds <= DRAIN_SECONDS:
            continue
        is_past_grace = (
            late_seconds > DRAIN_GRACE_SECONDS
            and arrived.runs
            and not _may_have_been_held(touch, request, arrived, left)
            and arrived.at > touch.store_returned_at(left.at) + RETURN_SECONDS
        )
        if (left.state == 'draining' and is_past_grace) or not _is_excused(
            touch, request, arrived, left
        ):
            yield (
                f'DRAIN: {request} reached {arrived.target} start '
                f'{arrived.start} at {arrived.at:.3f}, {late_seconds:.2f} s '
                f'after it was {left.state}'
            )


def find_arrivals_after_leaving(
    records: Iterable[Record],
) -> Iterator[tuple[Arrived, EntryWritten, Sent]]:
    """Yield each request that reached a target which was leaving.

    With it come the entry since which it was, and the request as it was sent.
    """
    records = tuple(records)
    entries: dict[str, list[EntryWritten]] = defaultdict(list)
    for entry in select(records, EntryWritten):
        entries[entry.target].append(entry)
    sent = {each.request_id: each for each in select(records, Sent)}
    for arrived in select(records, Arrived):
        left = _find_leaving(entries[arrived.target], arrived)
        request = sent.get(arrived.request_id)
        if left is not None and request is not None:
            yield arrived, left, request


def _find_leaving(
    entries: list[EntryWritten], arrived: Arrived
) -> EntryWritten | None:
    """Return the entry since which the target was leaving at an arrival."""
    count = bisect_right(entries, arrived.at, key=attrgetter('at'))
    left = None
    for entry in reversed(entries[:count]):
        if entry.state == 'ready' or entry.start != arrived.start:
            break
        left = entry
    return left


def _is_excused(
    touch: Touch, sent: Sent, arrived: Arrived, left: EntryWritten
) -> bool:
    router = sent.router
    return not (
        touch.is_router_calm(router, sent.at, arrived.at)
        # What happens to the store in between excuses nothing.
        and touch.is_store_calm(left.at, left.at)
        and touch.is_store_calm(sent.at, arrived.at)
        and touch.is_path_calm(router, arrived.target, arrived.at, arrived.at)
    )


def _may_have_been_held(
    touch: Touch, sent: Sent, arrived: Arrived, left: EntryWritten
) -> bool:
    """Whether a request may have been sent on in time, and held on its way.

    It arrived while its path was disturbed, since before the time was over.
    """
    until = left.at + DRAIN_SECONDS
    return sent.at <= until and touch.is_path_disturbed_since(
        sent.router, arrived.target, until, arrived.at
    )
