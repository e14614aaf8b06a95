"""Tells when the few targets that this router reaches have too many requests.

Routers that have lost most of their paths would all use the targets that they
still reach, while others, which their peers reach, have room.
"""

from collections.abc import Sequence

from peridotwell.domain.target import Target
from peridotwell.forwarding.targets.target_tracker import TargetTracker
from peridotwell.policy.placement.choice import Choice

__all__ = ('CrowdedPaths',)

# A target is crowded if it has more than this multiple of the mean number of
# requests of all targets of its service, and this number more.
CROWDED_FACTOR = 1.5
CROWDED_REQUESTS = 2


class CrowdedPaths:
    """Compares a chosen target with those that this router cannot reach."""

    def __init__(self, tracker: TargetTracker) -> None:
        self._tracker = tracker

    def targets_with_room(self, choice: Choice, now: float) -> Sequence[Target]:
        """Return the unreachable targets with room, if the chosen one has none.

        These are the ones with at most the mean number of requests. Returns
        none if the chosen target is not crowded.
        """
        if not self._tracker.ejection.unreachable_targets():
            return ()
        service = choice.target.pool.name
        loads = self._loads(service, now)
        load = loads.get(choice.target, 0)
        if load <= CROWDED_FACTOR * _mean(loads) + CROWDED_REQUESTS:
            return ()
        return self.unreachable_with_room(service, now)

    def unreachable_with_room(
        self, service: str, now: float
    ) -> Sequence[Target]:
        """Return the unreachable targets with at most the mean load."""
        unreachable = self._tracker.ejection.unreachable_targets()
        if not unreachable:
            return ()
        loads = self._loads(service, now)
        mean = _mean(loads)
        return [
            target
            for target, load in loads.items()
            if target.name in unreachable and load <= mean
        ]

    def _loads(self, service: str, now: float) -> dict[Target, float]:
        tracker = self._tracker
        return {
            target: tracker.load(target, now)
            for target in tracker.directory.available_targets(service)
            if tracker.accepts(target, now)
        }


def _mean(loads: dict[Target, float]) -> float:
    return sum(loads.values()) / max(len(loads), 1)
