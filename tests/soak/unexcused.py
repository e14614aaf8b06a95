"""A second judgement of a run, without the allowances of the soak itself.

It excuses only what the rules do: a router that was disturbed in the last
CONTACT_SECONDS is not bound, and what is written while the store has faults
counts as written CONTACT_SECONDS after them. Waits of the soak's own processes
count, and so does whatever happens in between.
"""

from collections.abc import Iterable, Iterator
from operator import attrgetter

from tests.soak.configuration_rule import (
    IN_FORCE_SECONDS,
    collect_handlings,
    is_allowed,
)
from tests.soak.leaving_rule import DRAIN_SECONDS, find_arrivals_after_leaving
from tests.soak.order_rule import judge_order
from tests.soak.records import (
    Record,
    Sent,
    StoreDisturbed,
    VersionWritten,
    select,
)
from tests.soak.touch import CONTACT_SECONDS, Touch

__all__ = ('judge_unexcused',)


def judge_unexcused(records: Iterable[Record]) -> Iterator[str]:
    """Yield what is too late for routers in touch, whatever the reason.

    Streams that are out of order, or look whole and are not, count as well.
    """
    in_order = sorted(records, key=attrgetter('at'))
    touch = Touch(in_order)
    outages = tuple(select(in_order, StoreDisturbed))
    yield from _judge_leaving(in_order, touch, outages)
    yield from _judge_configuration(in_order, touch, outages)
    yield from judge_order(in_order, allows=False)


def _judge_leaving(
    records: list[Record], touch: Touch, outages: Iterable[StoreDisturbed]
) -> Iterator[str]:
    for arrived, left, request in find_arrivals_after_leaving(records):
        router = request.router
        seconds = arrived.at - _counts_from(left.at, outages)
        is_bound = touch.is_router_calm(
            router, request.at, arrived.at
        ) and touch.is_path_calm(router, arrived.target, arrived.at, arrived.at)
        if seconds > DRAIN_SECONDS and is_bound:
            yield (
                f'DRAIN: {request.request_id} by {router} reached '
                f'{arrived.target} {seconds:.2f} s after it was {left.state}'
            )


def _judge_configuration(
    records: list[Record], touch: Touch, outages: Iterable[StoreDisturbed]
) -> Iterator[str]:
    versions = tuple(select(records, VersionWritten))
    counts_from = {
        each.version: _counts_from(each.at, outages) for each in versions
    }
    handlings = collect_handlings(records)
    for sent in select(records, Sent):
        due = sent.at - IN_FORCE_SECONDS
        floor = max(
            (version for version, at in counts_from.items() if at < due),
            default=0,
        )
        if not floor:
            continue
        for handling in handlings[sent.request_id]:
            is_bound = touch.is_router_calm(sent.router, sent.at, handling.at)
            if is_bound and not is_allowed(versions, sent, handling, floor):
                yield (
                    f'CONFIG: {sent.request_id} {handling.how} by '
                    f'{sent.router}, against version {floor}'
                )


def _counts_from(at: float, outages: Iterable[StoreDisturbed]) -> float:
    """Return from when on what the store took at a time binds routers."""
    for outage in outages:
        calm_at = outage.at + CONTACT_SECONDS
        if outage.began_at <= at < calm_at:
            at = calm_at
    return at
