"""Judges whether requests still reach targets that have left the service."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable, Iterator
from operator import attrgetter

from tests.soak.records import (
    Arrived,
    EntryWritten,
    Record,
    Replied,
    Sent,
    select,
)
from tests.soak.touch import Touch

__all__ = (
    'DRAIN_SECONDS',
    'find_arrivals_after_leaving',
    'judge_leaving',
)

# A target gets no requests later than this after the store's answer.
DRAIN_SECONDS = 2.0
# Fewer things excuse a request that reaches a draining target later than this:
# one that was sent on in time by a router that was stopped since, one that was
# held on its way while its target was heard, and an outage of the store that
# has lasted all the while.
DRAIN_GRACE_SECONDS = 2.5
# A router hears a store that has returned within this time.
RETURN_SECONDS = 1.0
# A router may wait so long for a sign of life, as sound targets may be silent.
SILENCE_SECONDS = 1.0


def judge_leaving(records: Iterable[Record]) -> Iterator[str]:
    """Yield the violations of DRAIN; `records` are in order."""
    records = tuple(records)
    touch = Touch(records)
    signs = _SignsOfLife(records)
    for arrived, left, request in find_arrivals_after_leaving(records):
        # The soak's own store may have been late to tell the router in time,
        # and the request may have waited in its targets.
        waited = touch.soak_late_seconds(
            'store', left.at, min(arrived.at, left.at + DRAIN_SECONDS)
        )
        waited += _soak_late_seconds(touch, request, arrived)
        late_seconds = arrived.at - left.at - waited
        if late_seconds <= DRAIN_SECONDS:
            continue
        is_past_grace = (
            late_seconds > DRAIN_GRACE_SECONDS
            and arrived.runs
            and not _was_router_stopped(touch, request, arrived, left)
            and not _may_have_been_held(touch, signs, request, arrived, left)
            and arrived.at > touch.store_returned_at(left.at) + RETURN_SECONDS
        )
        if (left.state == 'draining' and is_past_grace) or not _is_excused(
            touch, signs, request, arrived, left
        ):
            lay_seconds = arrived.at - _sent_on_at(request, arrived)
            yield (
                f'DRAIN: {request} reached {arrived.target} start '
                f'{arrived.start} at {arrived.at:.3f}, {late_seconds:.2f} s '
                f'after it was {left.state}, {lay_seconds:.2f} s after it was '
                'sent on'
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


class _SignsOfLife:
    """The answers that a target has sent to a router."""

    def __init__(self, records: Iterable[Record]) -> None:
        records = tuple(records)
        routers = {
            each.request_id: each.router for each in select(records, Sent)
        }
        self._times: dict[tuple[str, str], list[float]] = defaultdict(list)
        for reply in select(records, Replied):
            router = routers.get(reply.request_id, '')
            self._times[router, reply.target].append(reply.at)

    def is_any(
        self, router: str, target: str, begin: float, end: float
    ) -> bool:
        """Whether a router heard a target in a time."""
        return any(begin < at < end for at in self._times[router, target])


def _soak_late_seconds(touch: Touch, sent: Sent, arrived: Arrived) -> float:
    """Return how long the soak's own process kept a request waiting.

    A request that lay for longer than a router waits for a sign of life could
    have been taken back: the target stood still, for whatever reason.
    """
    if arrived.at - _sent_on_at(sent, arrived) >= SILENCE_SECONDS:
        return 0
    late_seconds = touch.soak_late_seconds(arrived.process, sent.at, arrived.at)
    return min(late_seconds, SILENCE_SECONDS)


def _sent_on_at(sent: Sent, arrived: Arrived) -> float:
    return arrived.sent_on_at or sent.at


def _is_excused(
    touch: Touch,
    signs: _SignsOfLife,
    sent: Sent,
    arrived: Arrived,
    left: EntryWritten,
) -> bool:
    return not (
        touch.is_router_calm(
            sent.router, sent.at, _should_end_at(arrived, left)
        )
        and touch.is_store_calm(left.at, left.at)
        and _could_hear(touch, sent, arrived, left)
    ) or _may_have_been_held(touch, signs, sent, arrived, left)


def _was_router_stopped(
    touch: Touch, sent: Sent, arrived: Arrived, left: EntryWritten
) -> bool:
    """Whether a router sent a request on in time, and was stopped since.

    One that ran until the bound, or has run for as long since, could have taken
    back what it had sent; a process that has ended could not.
    """
    until = left.at + DRAIN_SECONDS
    if not 0 < arrived.sent_on_at <= until:
        return False
    ended_at = touch.disturbed_until(sent.router, arrived.sent_on_at, until)
    return ended_at is not None and arrived.at <= ended_at + DRAIN_SECONDS


def _could_hear(
    touch: Touch, sent: Sent, arrived: Arrived, left: EntryWritten
) -> bool:
    """Whether the store told a router what makes it end a request, or not send.

    For one that was sent on in time, that is the news that its target leaves;
    what happens to the store later on excuses nothing.
    """
    if 0 < arrived.sent_on_at <= left.at + DRAIN_SECONDS:
        return touch.is_store_calm(left.at, left.at + RETURN_SECONDS)
    return touch.is_store_calm(sent.at, arrived.at)


def _should_end_at(arrived: Arrived, left: EntryWritten) -> float:
    """Return when a router should have taken a request back.

    One that was sent on later should not have been sent.
    """
    until = left.at + DRAIN_SECONDS
    return until if 0 < arrived.sent_on_at <= until else arrived.at


def _may_have_been_held(
    touch: Touch,
    signs: _SignsOfLife,
    sent: Sent,
    arrived: Arrived,
    left: EntryWritten,
) -> bool:
    """Whether a request was sent on in time, and its path alone was to blame.

    It arrived while requests were held, since before the time was over, and
    the router heard the target all the same since it had sent the request. A
    router that hears nothing takes back what it has sent: its reset passes,
    as it drops what the path holds.
    """
    until = left.at + DRAIN_SECONDS
    sent_on_at = _sent_on_at(sent, arrived)
    return (
        sent_on_at <= until
        and touch.is_heard_while_held(
            sent.router, arrived.target, until, arrived.at
        )
        and signs.is_any(sent.router, arrived.target, sent_on_at, arrived.at)
    )
