"""Answers that targets end early, or whose events are repeated or left out.

All of them end in the ordinary way, between two events, and the target lives.
"""

import random
from collections.abc import Callable
from dataclasses import replace

from tests.soak.raw_answers import Answer, Manner

__all__ = ('FRAMINGS', 'ODDITIES', 'make_oddity', 'make_odd')

# Most have no mark of their end: what a router cannot tell from a whole answer.
FRAMINGS = ('open', 'open', 'length', 'chunks')


def make_odd(answer: Answer, draws: random.Random) -> tuple[Answer, Manner]:
    """Return an answer that is odd, and how it is sent."""
    framing = draws.choice(FRAMINGS)
    change = draws.choice(ODDITIES) if len(answer.pieces) > 1 else None
    if change is None:
        return answer, Manner(framing, 'end')
    pieces = change(answer.pieces, draws)
    return replace(answer, pieces=pieces), Manner(framing)


def make_oddity(
    name: str, answer: Answer, draws: random.Random
) -> tuple[Answer, Manner]:
    """Return an answer that is odd in one way, and how it is sent.

    It lacks an event ('leave_out'), has no mark of its end ('unmarked'), or
    ends early without one ('break_off').
    """
    if name == 'leave_out' and len(answer.pieces) > 1:
        pieces = _leave_out(answer.pieces, draws)
        return replace(answer, pieces=pieces), Manner('chunks')
    if name == 'leave_out':
        return answer, Manner('length')
    return answer, Manner('open', 'end' * (name == 'break_off'))


def _repeat(
    pieces: tuple[bytes, ...], draws: random.Random
) -> tuple[bytes, ...]:
    """Send one event twice."""
    chosen = draws.randrange(len(pieces) - 1)
    return (*pieces[: chosen + 1], *pieces[chosen:])


def _leave_out(
    pieces: tuple[bytes, ...], draws: random.Random
) -> tuple[bytes, ...]:
    """Leave out an event, but neither the first nor the last one."""
    *events, _ = pieces
    if len(events) < 3:
        return pieces
    chosen = draws.randrange(1, len(events) - 1)
    return (*pieces[:chosen], *pieces[chosen + 1 :])


def _go_on(
    pieces: tuple[bytes, ...], draws: random.Random
) -> tuple[bytes, ...]:
    """Send the last events again behind the end."""
    *events, _ = pieces
    count = draws.randint(1, 2)
    return (*pieces, *events[-count:])


Change = Callable[[tuple[bytes, ...], random.Random], tuple[bytes, ...]]
# None ends the answer early.
ODDITIES: tuple[Change | None, ...] = (
    None,
    None,
    _repeat,
    _leave_out,
    _go_on,
)
