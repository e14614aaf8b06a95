"""What targets say of themselves in their answers: leaving, and pauses.

Pattern: load shedding by targets. A target that sheds load names a time in
which it wants nothing; work returns to it step by step afterwards. A target
that leaves gets nothing new until it has started again.
"""

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec

from peridotwell.decoding import number_below
from peridotwell.domain.target import Target
from peridotwell.policy.brittle.brittleness import Brittleness
from peridotwell.policy.placement.rendezvous import unit_hash
from peridotwell.policy.updates.soft_state import SoftState

__all__ = (
    'NO_NOTICE',
    'Departure',
    'Incarnation',
    'TargetNotice',
    'TargetNotices',
    'parse_pause',
)

# A target may want nothing for long; more is taken for a mistake.
MAX_PAUSE_SECONDS = 86_400.0
# After a pause, one more request may be outstanding for each step.
RETURN_STEP_SECONDS = 0.1
RETURN_STEPS = 10
RETURN_SECONDS = RETURN_STEP_SECONDS * RETURN_STEPS
MAX_RETURN_OFFSET_SECONDS = 0.2
MAX_DEPARTED = 4096
# Departures are repeated to the other routers for this time. A target that
# leaves is gone by then, or the store has said that it leaves.
REPEAT_SECONDS = 60.0
WIRE_ID_BITS = 32

# Wire ids of a target and of its incarnation.
Incarnation = tuple[int, int]


@dataclass(frozen=True)
class TargetNotice:
    """What one answer of a target says of the target itself.

    `limit_per_second` is the limit that it names for the requests of all
    routers together, or None. `brittleness` is set if the target is brittle.
    """

    is_leaving: bool = False
    pause_seconds: float = 0
    limit_per_second: float | None = None
    brittleness: Brittleness | None = None


NO_NOTICE = TargetNotice()


class Departure(msgspec.Struct, frozen=True, array_like=True):
    """A target that has said that it leaves, by wire ids."""

    target: int
    incarnation: int

    @property
    def key(self) -> int:
        """The target and its incarnation."""
        return (self.target << WIRE_ID_BITS) + self.incarnation


class TargetNotices(SoftState[Departure]):
    """The targets that leave, and those that want nothing for some time.

    A notice concerns one incarnation: the next one is free at once. `router`
    is the name of this router: routers return to a target at different times.
    Departures are told to the other routers, pauses are not.
    """

    def __init__(self, router: str = '') -> None:
        self._router = router
        # When they became known; the oldest come first.
        self._departed: dict[Incarnation, float] = {}
        self._paused_until: dict[Incarnation, float] = {}

    def record_leaving(self, incarnation: Incarnation, now: float) -> bool:
        """Record that a target leaves; return whether that is new."""
        if incarnation in self._departed:
            return False
        if len(self._departed) >= MAX_DEPARTED:
            self._departed.pop(next(iter(self._departed)))
        self._departed[incarnation] = now
        return True

    def merge(
        self, records: Iterable[Departure], now: float
    ) -> Iterable[Departure]:
        """Record the departures that another router tells."""
        for record in records:
            self.record_leaving((record.target, record.incarnation), now)
        return ()

    def to_repeat(self, now: float) -> Iterator[Departure]:
        """Yield the departures that other routers may lack."""
        for incarnation, known_at in self._departed.items():
            if now - known_at < REPEAT_SECONDS:
                yield Departure(*incarnation)

    def expire(self, now: float) -> None:
        """Remove pauses after which a target takes any number again.

        Departures stay: the target may be listed for long.
        """
        self._paused_until = {
            incarnation: until
            for incarnation, until in self._paused_until.items()
            if now - until < RETURN_SECONDS
        }

    def record_pause(
        self, incarnation: Incarnation, seconds: float, now: float
    ) -> bool:
        """Record a pause; return whether the target was not paused before."""
        offset = unit_hash(f'{self._router}/{incarnation[0]}')
        until = (
            now
            + min(seconds, MAX_PAUSE_SECONDS)
            + offset * MAX_RETURN_OFFSET_SECONDS
        )
        known = self._paused_until.get(incarnation, 0)
        self._paused_until[incarnation] = max(until, known)
        return known <= now

    @property
    def is_empty(self) -> bool:
        """Whether no target has ever said anything of itself."""
        return not (self._departed or self._paused_until)

    def is_leaving(self, target: Target) -> bool:
        """Return whether a target has said that it leaves."""
        return bool(self._departed) and target.incarnation_id in self._departed

    def is_paused(self, target: Target, now: float) -> bool:
        """Return whether a target wants nothing at present."""
        if not self._paused_until:
            return False
        return now < self._paused_until.get(target.incarnation_id, 0)

    def accepts(self, target: Target, outstanding: int, now: float) -> bool:
        """Return whether a target may get one more request of this router.

        `outstanding` is the number of this router's requests on it.
        """
        if self.is_leaving(target):
            return False
        return outstanding < self._max_outstanding(target, now)

    def next_return_seconds(
        self, targets: Iterable[Target], now: float
    ) -> float | None:
        """Return when the first of the targets may get a request again.

        Returns None if all of them leave.
        """
        waits = [
            max(
                self._paused_until.get(target.incarnation_id, 0) - now,
                RETURN_STEP_SECONDS,
            )
            for target in targets
            if not self.is_leaving(target)
        ]
        return min(waits, default=None)

    def is_known(self, departure: Departure) -> bool:
        """Return whether a departure is known."""
        return (departure.target, departure.incarnation) in self._departed

    def departed(self) -> Iterator[Incarnation]:
        """Yield the incarnations that have said that they leave."""
        yield from self._departed

    def _max_outstanding(self, target: Target, now: float) -> float:
        until = None
        if self._paused_until:
            until = self._paused_until.get(target.incarnation_id)
        if until is None:
            return float('inf')
        if now < until:
            return 0
        steps = int((now - until) / RETURN_STEP_SECONDS)
        if steps >= RETURN_STEPS:
            return float('inf')
        return steps + 1


def parse_pause(text: str) -> float | None:
    """Return a pause in seconds from its decimal text.

    Returns None if it is not a finite number of seconds above 0.
    """
    return number_below(text, math.inf) or None
