"""Which targets of a service may run an attempt of a request."""

from collections.abc import Collection, Sequence

from peridotwell.domain.routing_table import Regions
from peridotwell.domain.target import Target
from peridotwell.forwarding.targets.target_tracker import TargetTracker

__all__ = ('UsableTargets',)


class UsableTargets:
    """Filters the targets of a service by what this router knows of them."""

    def __init__(self, tracker: TargetTracker) -> None:
        self._tracker = tracker

    def listed(
        self, service: str, software: int | None, allowed: Regions = None
    ) -> Sequence[Target]:
        """Return the listed targets in the allowed regions.

        They are of one software version unless it is None.
        """
        listed = self._tracker.regions.within(
            allowed, self._tracker.directory.available_targets(service)
        )
        if software is None:
            return listed
        return [each for each in listed if each.software_id == software]

    def accepting(
        self, listed: Sequence[Target], now: float
    ) -> Sequence[Target]:
        """Return the targets that take work, by what their answers say."""
        tracker = self._tracker
        if (
            tracker.notices.is_empty
            and tracker.limits.is_empty
            and tracker.cold.is_empty
            and tracker.brittle.is_empty
        ):
            return listed
        return [target for target in listed if tracker.accepts(target, now)]

    def usable(
        self,
        accepting: Sequence[Target],
        tried: Collection[str],
        now: float,
    ) -> Sequence[Target]:
        """Return the targets that were not tried, and of these the best.

        These are the ones that are not ejected, respond and are outside the
        data centres that are avoided, as far as there are any.
        """
        usable = self._tracker.ejection.usable_targets(accepting, now)
        untried = _untried(usable, tried)
        responsive = self._responsive(untried, now)
        return (
            self._outside_avoided_data_centres(responsive, now)
            or responsive
            or untried
            or _untried(accepting, tried)
        )

    def _outside_avoided_data_centres(
        self, targets: Sequence[Target], now: float
    ) -> Sequence[Target]:
        avoided = self._tracker.data_centres.avoided(now)
        if not avoided:
            return targets
        return [
            target
            for target in targets
            if target.pool.data_centre not in avoided
        ]

    def _responsive(
        self, targets: Sequence[Target], now: float
    ) -> Sequence[Target]:
        silent = frozenset(self._tracker.silence.silent_targets(now))
        if not silent:
            return targets
        return [target for target in targets if target.name not in silent]


def _untried(
    targets: Sequence[Target], tried: Collection[str]
) -> Sequence[Target]:
    return [target for target in targets if target.name not in tried]
