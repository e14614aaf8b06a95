"""Judges a soak run from what its parts recorded."""

from collections.abc import Iterable, Iterator
from operator import attrgetter

from tests.soak.answer_rule import judge_answers
from tests.soak.configuration_rule import judge_configuration
from tests.soak.leaving_rule import judge_leaving
from tests.soak.order_rule import judge_order
from tests.soak.records import Record
from tests.soak.software_rule import judge_software
from tests.soak.start_rule import judge_starts

__all__ = ('judge',)

RULES = (
    judge_configuration,
    judge_answers,
    judge_order,
    judge_software,
    judge_leaving,
    judge_starts,
)


def judge(records: Iterable[Record]) -> Iterator[str]:
    """Yield the violations of all rules, whatever the order of the records."""
    in_order = sorted(records, key=attrgetter('at'))
    for rule in RULES:
        yield from rule(in_order)
