"""Selection of the way to a target: directly, or through another router."""

from collections.abc import Collection

from peridotwell.errors import NoReachableTarget, NoTarget
from peridotwell.forwarding.adapters import RoutedRequest
from peridotwell.forwarding.peer_paths import PeerPaths
from peridotwell.forwarding.target_selection import TargetSelector
from peridotwell.policy.choice import Choice

__all__ = ('PathSelector',)


class PathSelector:
    """Selects a target, or a router that reaches one if this one does not."""

    def __init__(self, selector: TargetSelector, peer_paths: PeerPaths) -> None:
        self._selector = selector
        self._peer_paths = peer_paths

    def choose(
        self,
        request: RoutedRequest,
        tried: Collection[str],
        now: float,
        software: int | None = None,
        *,
        may_hand_over: bool = True,
    ) -> Choice:
        """Return the target or the router for a request. Raises NoTarget.

        A request is handed over once at most. If no router can take it, a
        target that responds to nobody is tried, but none that cannot be
        reached.
        """
        try:
            return self._selector.choose(
                request, tried, now, software, only_reachable=True
            )
        except NoReachableTarget as exc:
            if request.is_handed_over:
                raise
            choice = None
            if may_hand_over:
                choice = self._peer_paths.choose(request.request_id, tried, now)
            if choice is not None:
                return choice
            if not exc.may_try:
                raise
        return self._selector.choose(request, tried, now, software)

    def has_other(
        self,
        request: RoutedRequest,
        tried: Collection[str],
        now: float,
        software: int | None = None,
        *,
        may_hand_over: bool = True,
    ) -> bool:
        """Return whether a target that was not tried may take a request."""
        try:
            self._selector.choose(
                request, tried, now, software, only_reachable=True
            )
        except NoReachableTarget:
            return (
                may_hand_over
                and not request.is_handed_over
                and self._peer_paths.choose(request.request_id, tried, now)
                is not None
            )
        except NoTarget:
            return False
        return True
