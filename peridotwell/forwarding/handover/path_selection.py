"""Selection of the way to a target: directly, or through another router."""

from collections.abc import Collection
from functools import partial

from peridotwell.domain.target import Target
from peridotwell.errors import NoReachableTarget, NoRoom, NoTarget
from peridotwell.forwarding.adapters import RoutedRequest
from peridotwell.forwarding.choosing.target_selection import TargetSelector
from peridotwell.forwarding.handover.crowded_paths import CrowdedPaths
from peridotwell.forwarding.handover.peer_paths import PeerPaths
from peridotwell.forwarding.targets.target_tracker import TargetTracker
from peridotwell.policy.placement.choice import Choice

__all__ = ('PathSelector',)


class PathSelector:
    """Selects a target, or a router that reaches one if this one does not."""

    def __init__(
        self,
        selector: TargetSelector,
        tracker: TargetTracker,
        peer_paths: PeerPaths,
    ) -> None:
        self._selector = selector
        self._tracker = tracker
        self._crowded_paths = CrowdedPaths(tracker)
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

        A request is handed over once at most. One that has waited for a target
        in vain waits for no other of which this router has heard nothing. One
        for which only crowded targets are reached goes where there is room. If
        no router can take it, a target that responds to nobody is tried, but
        none that cannot be reached.
        """
        may_hand_over = may_hand_over and not request.is_handed_over
        try:
            choice = self._selector.choose(
                request, tried, now, software, only_reachable=True
            )
        except NoReachableTarget as exc:
            router = self._router(request, tried, now, may_hand_over)
            return router or self._try_anyway(
                request, tried, now, software, exc
            )
        except NoRoom:
            router = self._router_to_others(request, tried, now, may_hand_over)
            if router is None:
                raise
            return router
        if not may_hand_over:
            return choice
        if self._may_hang(choice, tried, now):
            return self._router(request, tried, now, may_hand_over) or choice
        return self._router_with_room(request, tried, now, choice) or choice

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
            may_hand_over = may_hand_over and not request.is_handed_over
            router = self._router(request, tried, now, may_hand_over)
            return router is not None
        except NoTarget:
            return False
        return True

    def _router(
        self,
        request: RoutedRequest,
        tried: Collection[str],
        now: float,
        may_hand_over: bool,
    ) -> Choice | None:
        """Return a router that may take over the request, if it may."""
        if not may_hand_over:
            return None
        return self._choose_router(
            self._wanted_targets(request, now), request, tried, now
        )

    def _try_anyway(
        self,
        request: RoutedRequest,
        tried: Collection[str],
        now: float,
        software: int | None,
        failure: NoReachableTarget,
    ) -> Choice:
        """Return a target that responds to nobody, if one may be tried."""
        if request.is_handed_over or not failure.may_try:
            raise failure
        return self._selector.choose(request, tried, now, software)

    def _router_to_others(
        self,
        request: RoutedRequest,
        tried: Collection[str],
        now: float,
        may_hand_over: bool,
    ) -> Choice | None:
        """Return a router that reaches targets with room, if there are any."""
        if not may_hand_over:
            return None
        targets = self._crowded_paths.unreachable_with_room(
            request.service, now
        )
        return self._router_to(targets, request, tried, now)

    def _router_with_room(
        self,
        request: RoutedRequest,
        tried: Collection[str],
        now: float,
        choice: Choice,
    ) -> Choice | None:
        """Return a router that reaches targets with room, if needed."""
        targets = self._crowded_paths.targets_with_room(choice, now)
        return self._router_to(targets, request, tried, now)

    def _router_to(
        self,
        targets: Collection[Target],
        request: RoutedRequest,
        tried: Collection[str],
        now: float,
    ) -> Choice | None:
        """Return a router that reaches one of the targets, if there are any."""
        allowed = self._tracker.regions.within(request.allowed_regions, targets)
        if not allowed:
            return None
        return self._choose_router(allowed, request, tried, now)

    def _choose_router(
        self,
        targets: Collection[Target],
        request: RoutedRequest,
        tried: Collection[str],
        now: float,
    ) -> Choice | None:
        """Return a router in the allowed regions that reaches the targets."""
        return self._peer_paths.choose(
            request.request_id,
            tried,
            now,
            [target.wire_id for target in targets],
            partial(self._tracker.regions.allows, request.allowed_regions),
        )

    def _wanted_targets(
        self, request: RoutedRequest, now: float
    ) -> Collection[Target]:
        """Return the targets that take the request."""
        service_targets = self._tracker.regions.within(
            request.allowed_regions,
            self._tracker.directory.available_targets(request.service),
        )
        return [
            target
            for target in service_targets
            if self._tracker.accepts(target, now)
        ]

    def _may_hang(
        self, choice: Choice, tried: Collection[str], now: float
    ) -> bool:
        """Return whether a request that has waited in vain might again.

        It might if an unreachable target was tried, and this one has sent
        nothing lately.
        """
        unreachable = self._tracker.ejection.unreachable_targets()
        if not any(name in tried for name in unreachable):
            return False
        return not self._tracker.contacts.is_recent(choice.target.name, now)
