"""Judges whether each stream has events of one software version only.

That holds for a stream that its caller takes up at another router, too.
"""

from collections.abc import Iterable, Iterator

from tests.soak.events import numbered_events
from tests.soak.records import Answered, Record, Replied, TakenUp, select

__all__ = ('judge_software',)


def judge_software(records: Iterable[Record]) -> Iterator[str]:
    """Yield the streams with events of targets of several versions."""
    records = tuple(records)
    versions = {
        reply.receipt: reply.version for reply in select(records, Replied)
    }
    first = {each.request_id: each.receipt for each in select(records, TakenUp)}
    for answer in select(records, Answered):
        events = numbered_events(answer.body)
        receipts = [receipt.decode() for _, receipt in events]
        if events and answer.request_id in first:
            receipts.insert(0, first[answer.request_id])
        found = {versions[each] for each in receipts if each in versions}
        if len(found) > 1:
            yield f'ORDER: {answer} has events of {sorted(found)}: {receipts}'
