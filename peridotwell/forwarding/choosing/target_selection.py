"""Selection of the target that runs a request."""

from collections.abc import Callable, Collection, Sequence

from peridotwell.domain.bounds import DeploymentBounds
from peridotwell.domain.target import Target
from peridotwell.errors import NoRoom, NoTarget
from peridotwell.forwarding.adapters import RoutedRequest
from peridotwell.forwarding.choosing.engine_selection import EngineSelector
from peridotwell.forwarding.choosing.first_attempt_room import FirstAttemptRoom
from peridotwell.forwarding.choosing.usable_targets import UsableTargets
from peridotwell.forwarding.handover.path_check import PathCheck
from peridotwell.forwarding.targets.target_tracker import TargetTracker
from peridotwell.policy.placement.choice import (
    Candidate,
    Choice,
    choose_least_loaded,
    total_load,
)
from peridotwell.policy.placement.prompt_cache_index import PromptCacheIndex
from peridotwell.policy.retries.gradual_return import admitted_targets
from peridotwell.policy.retries.return_spread import return_seconds

__all__ = ('TargetSelector',)

# A router uses a newly registered target, or one whose ejection has ended,
# after about this time.
RETRY_AFTER_SECONDS = 0.5

KnownSame = Callable[[Sequence[Target]], Sequence[Target]]


class TargetSelector:
    """Selects targets among those of a service.

    `known_same` returns those whose entries are known to be of their processes.
    """

    def __init__(
        self,
        tracker: TargetTracker,
        caches: PromptCacheIndex,
        data_centre: str,
        bounds: DeploymentBounds,
        known_same: KnownSame = tuple,
    ) -> None:
        self._tracker = tracker
        self._known_same = known_same
        self._data_centre = data_centre
        self._targets = UsableTargets(tracker)
        self._path_check = PathCheck(tracker)
        self._room = FirstAttemptRoom(tracker)
        self._engines = EngineSelector(tracker, caches, bounds)

    def set_bounds(self, bounds: DeploymentBounds) -> None:
        """Use these bounds from now on."""
        self._engines.set_bounds(bounds)
        self._tracker.cold.set_bounds(bounds)

    def choose(
        self,
        request: RoutedRequest,
        tried: Collection[str],
        now: float,
        software: int | None = None,
        *,
        only_reachable: bool = False,
    ) -> Choice:
        """Return the target for a request. Raises NoTarget.

        A first attempt raises NoRoom if targets may take it soon. `tried` has
        the names of the targets of earlier attempts. `software` is the id of
        the software version that the target must have, or None. With one, the
        targets come first that are known to have it still.
        With `only_reachable`, raises NoReachableTarget if the targets that
        take requests cannot be reached from here.
        """
        listed = self._targets.listed(
            request.service, software, request.allowed_regions
        )
        accepting = self._targets.accepting(listed, now)
        if only_reachable:
            self._path_check.check(request, accepting, tried, now)
        targets = self._targets.usable(accepting, tried, now)
        if software is not None:
            targets = self._known_same(targets) or targets
        is_first = not tried and software is None
        if is_first and not accepting:
            self._check_waits(request, listed, now)
        if not targets:
            raise NoTarget(
                f'No target of {request.service} takes requests ({len(listed)} '
                f'listed, {len(accepting)} of them accept work, {len(tried)} '
                'tried): send the request again later.',
                retry_after_seconds=self._retry_after_seconds(
                    request, listed, accepting, now
                ),
            )
        admitted = admitted_targets(
            request.request_id,
            targets,
            self._tracker.directory.evacuations.restored,
            now,
        )
        try:
            return self._choose_among(
                request, admitted, now, needs_room=is_first
            )
        except NoRoom:
            if len(admitted) == len(targets):
                raise
        return self._choose_among(request, targets, now, needs_room=is_first)

    def _choose_among(
        self,
        request: RoutedRequest,
        targets: Sequence[Target],
        now: float,
        *,
        needs_room: bool,
    ) -> Choice:
        if request.prompt is not None:
            return self._engines.choose(
                request, request.prompt, targets, now, needs_room=needs_room
            )
        return self._choose_plain(request, targets, now, needs_room=needs_room)

    def _choose_plain(
        self,
        request: RoutedRequest,
        targets: Sequence[Target],
        now: float,
        *,
        needs_room: bool,
    ) -> Choice:
        """Return a target for a request without a prompt.

        With `needs_room`, raises NoRoom if all of them are full.
        """
        loads = self._tracker.loads(targets, now)
        candidates: Sequence[Candidate] = list(map(Candidate, targets, loads))
        if needs_room:
            candidates = self._room.of_plain(request, candidates, now)
        return choose_least_loaded(
            candidates,
            self._data_centre,
            request.request_id,
            self._tracker.unseen_requests(
                request.service, total_load(candidates), now
            ),
            self._tracker.paces.paces(
                [each.target for each in candidates], now
            ),
        )

    def _check_waits(
        self, request: RoutedRequest, listed: Sequence[Target], now: float
    ) -> None:
        """Raise NoRoom if a target will take work, by what it says itself."""
        waits = self._wait_seconds(listed, now)
        if waits:
            raise NoRoom(
                f'No target of {request.service} accepts work.',
                room_seconds=min(waits),
            )

    def _wait_seconds(
        self, listed: Sequence[Target], now: float
    ) -> Sequence[float]:
        """Return after which times the targets may take work."""
        return [
            wait
            for target in listed
            if (wait := self._tracker.wait_seconds(target, now)) is not None
        ]

    def _retry_after_seconds(
        self,
        request: RoutedRequest,
        listed: Sequence[Target],
        accepting: Sequence[Target],
        now: float,
    ) -> float:
        """Return when a target may take the request again.

        Callers that are refused because of what targets say get different
        times, so that they do not return together.
        """
        if accepting:
            return RETRY_AFTER_SECONDS
        wait = min(self._wait_seconds(listed, now), default=RETRY_AFTER_SECONDS)
        spread = self._tracker.return_spread.record_refused(
            request.service, now
        )
        return return_seconds(wait, spread, request.request_id)
