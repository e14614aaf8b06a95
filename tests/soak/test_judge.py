"""The judge applies each rule, whatever the order of the records."""

import random

from tests.soak.judge import judge
from tests.soak.records import (
    Answered,
    Arrived,
    EntryWritten,
    Sent,
    VersionWritten,
)


def test_each_rule_is_judged():
    records = [
        VersionWritten(0, 0, 1),
        EntryWritten(0, 't0', 1, 'gone'),
        Sent(4, 'q1', 'r0', 'read', 'key-1'),
        Arrived(5, 'q1', 't0', 1, True),
        Answered(6, 'q1', 200, 's1', b'q1'),
        Sent(7, 'q2', 'r0', 'extra1', 'key-1'),
        Answered(8, 'q2', 404, '', b''),
    ]
    random.Random(1).shuffle(records)
    rules = [each.partition(':')[0] for each in judge(records)]
    assert rules == ['DENIED', 'MIXED', 'DRAIN']
