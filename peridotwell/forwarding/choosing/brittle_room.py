"""Room for requests on brittle targets, from the counts of this router."""

from collections.abc import Callable

from peridotwell.domain.target import Target
from peridotwell.policy.brittle.brittle_targets import (
    BrittleTargets,
    RequestCounts,
)
from peridotwell.policy.load.own_counts import OwnCounts

__all__ = ('BrittleRoom',)


class BrittleRoom:
    """Tells which brittle targets have room.

    `load` returns the estimated number of requests of all routers on a target.
    """

    def __init__(
        self,
        targets: BrittleTargets,
        own_requests: OwnCounts,
        load: Callable[[Target, float], float],
    ) -> None:
        self._targets = targets
        self._own_requests = own_requests
        self._load = load

    @property
    def is_empty(self) -> bool:
        """Whether no target has been brittle lately."""
        return self._targets.notices.is_empty

    def accepts(self, target: Target, now: float) -> bool:
        """Return whether a target may get one more request."""
        return self.is_empty or self._targets.accepts(
            target, self._counts(target, now), now
        )

    def wait_seconds(self, target: Target, now: float) -> float:
        """Return after which time a target may get a request."""
        if self.is_empty:
            return 0
        counts = self._counts(target, now)
        return self._targets.wait_seconds(target, counts, now)

    def record_send(self, target: Target, now: float) -> None:
        """Record that a request is about to be sent."""
        if self.is_empty:
            return
        self._targets.record_send(target, self._counts(target, now), now)

    def record_unreachable(self, target: Target, now: float) -> None:
        """Record that no connection to a target can be made."""
        self._targets.record_unreachable(target, now)

    def _counts(self, target: Target, now: float) -> RequestCounts:
        return RequestCounts(
            self._own_requests.count(target.wire_id), self._load(target, now)
        )
