"""What an answer of a brittle target says of it."""

from dataclasses import dataclass

from peridotwell.decoding import number_below

__all__ = ('Brittleness', 'parse_max_rejections')

# A target that bears more rejections in a second is not brittle.
MAX_REJECTIONS_PER_SECOND = 10_000.0


@dataclass(frozen=True)
class Brittleness:
    """What an answer of a brittle target says of it.

    `is_rejection` tells whether it has rejected the request. `running` and
    `waiting` are the numbers of its requests, `slots` how many it can run at
    once; they are None if the answer does not tell.
    """

    max_rejections_per_second: float
    is_rejection: bool = False
    running: int | None = None
    waiting: int | None = None
    slots: int | None = None


def parse_max_rejections(text: str) -> float | None:
    """Return the rejections in a second that a target bears, from its text.

    Returns None if it is not a number from 0 on, or restricts nothing.
    """
    return number_below(text, MAX_REJECTIONS_PER_SECOND)
