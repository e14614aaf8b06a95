"""Tells when a request should not wait for the targets reached from here."""

from collections.abc import Collection, Sequence

from peridotwell.domain.target import Target
from peridotwell.errors import NoReachableTarget
from peridotwell.forwarding.adapters import RoutedRequest
from peridotwell.forwarding.targets.target_tracker import TargetTracker

__all__ = ('PathCheck',)

# A path that was lost is tried again after about this time.
RETRY_AFTER_SECONDS = 0.5
# Number of unreachable targets that shows that this router has lost its paths
# rather than that a target is down.
SEVERAL_UNREACHABLE = 2


class PathCheck:
    """Checks whether another router may serve a request instead."""

    def __init__(self, tracker: TargetTracker) -> None:
        self._tracker = tracker

    def check(
        self,
        request: RoutedRequest,
        accepting: Sequence[Target],
        tried: Collection[str],
        now: float,
    ) -> None:
        """Raise NoReachableTarget if another router may serve a request.

        It may if no target is reachable from here. If several are not, a
        request that has waited for a connection to one of them waits for no
        other.
        """
        reachable = self._tracker.ejection.reachable_targets(accepting, now)
        has_waited = (
            len(accepting) - len(reachable) >= SEVERAL_UNREACHABLE
            and _has_waited(accepting, reachable, tried)
            and not request.is_handed_over
        )
        untried = [target for target in reachable if target.name not in tried]
        responds = any(
            not self._tracker.silence.is_silent(target.name, now)
            for target in untried
        )
        may_be_elsewhere = len(reachable) < len(accepting) or bool(untried)
        if has_waited or (may_be_elsewhere and not responds):
            raise NoReachableTarget(
                f'This instance reaches {len(reachable)} of the '
                f'{len(accepting)} targets of {request.service}, and none that '
                'responds: send the request again later.',
                may_try=bool(untried),
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )


def _has_waited(
    accepting: Sequence[Target],
    reachable: Sequence[Target],
    tried: Collection[str],
) -> bool:
    """Return whether a target that was tried cannot be reached."""
    names = {target.name for target in reachable}
    return any(
        target.name in tried and target.name not in names
        for target in accepting
    )
