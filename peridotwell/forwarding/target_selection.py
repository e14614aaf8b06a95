"""Selection of the target that runs a request."""

from collections.abc import Collection, Mapping, Sequence

from peridotwell.domain.bounds import DeploymentBounds
from peridotwell.domain.prompt import Prompt
from peridotwell.domain.routing_table import engine_properties
from peridotwell.domain.target import Target
from peridotwell.errors import NoReachableTarget, NoRoom, NoTarget
from peridotwell.forwarding.adapters import RoutedRequest
from peridotwell.forwarding.engine_room import EngineRoom
from peridotwell.forwarding.target_tracker import TargetTracker
from peridotwell.policy.choice import Candidate, Choice, choose_least_loaded
from peridotwell.policy.engine_choice import (
    CacheSource,
    EngineCandidate,
    PromptNeeds,
    choose_engine,
)
from peridotwell.policy.prompt_cache_index import (
    CachedPart,
    PromptCacheIndex,
    cacheable_parts,
)
from peridotwell.policy.return_spread import return_seconds

__all__ = ('TargetSelector',)

# A router uses a newly registered target, or one whose ejection has ended,
# after about this time.
RETRY_AFTER_SECONDS = 0.5
# Number of unreachable targets that shows that this router has lost its paths
# rather than that a target is down.
SEVERAL_UNREACHABLE = 2


class TargetSelector:
    """Selects targets among those of a service."""

    def __init__(
        self,
        tracker: TargetTracker,
        caches: PromptCacheIndex,
        data_centre: str,
        bounds: DeploymentBounds,
    ) -> None:
        self._tracker = tracker
        self._directory = tracker.directory
        self._caches = caches
        self._data_centre = data_centre
        self._bounds = bounds
        self._engine_room = EngineRoom(tracker)

    def set_bounds(self, bounds: DeploymentBounds) -> None:
        """Use these bounds from now on."""
        self._bounds = bounds

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
        the software version that the target must have, or None.
        With `only_reachable`, raises NoReachableTarget if the targets that
        take requests cannot be reached from here.
        """
        listed = self._listed_targets(request.service, software)
        accepting = self._accepting_targets(listed, now)
        if only_reachable:
            self._check_path(request, accepting, tried, now)
        targets = self._usable_targets(accepting, tried, now)
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
        if request.prompt is not None:
            parts = cacheable_parts(request.prompt)
            holders = self._caches.holders(parts, now)
            engines = self._engine_candidates(parts, holders, targets, now)
            if is_first:
                engines = self._engine_room.with_room(request, engines, now)
            return self._choose_engine(
                request, request.prompt, engines, holders, now
            )
        loads = self._tracker.loads(targets, now)
        candidates = list(map(Candidate, targets, loads))
        return choose_least_loaded(
            candidates,
            self._data_centre,
            request.request_id,
            self._unseen_requests(request, candidates, now),
        )

    def _listed_targets(
        self, service: str, software: int | None
    ) -> Sequence[Target]:
        listed = self._directory.available_targets(service)
        if software is None:
            return listed
        return [each for each in listed if each.software_id == software]

    def _unseen_requests(
        self,
        request: RoutedRequest,
        candidates: Sequence[Candidate],
        now: float,
    ) -> float:
        outstanding = sum([each.load for each in candidates])
        return self._tracker.unseen_requests(request.service, outstanding, now)

    def _choose_engine(
        self,
        request: RoutedRequest,
        prompt: Prompt,
        candidates: Sequence[EngineCandidate],
        holders: Mapping[str, int],
        now: float,
    ) -> Choice:
        needs = PromptNeeds(
            prompt.placement_key,
            request.request_id,
            prompt.own_tokens,
            request.route.objective_seconds,
        )
        return choose_engine(
            needs,
            candidates,
            self._cache_source(request.service, holders, now),
            self._bounds.load_factor,
            self._tracker.prefill_speed(request.service).tokens_per_second,
            self._unseen_requests(request, candidates, now),
        )

    def _engine_candidates(
        self,
        parts: Sequence[CachedPart],
        holders: Mapping[str, int],
        targets: Sequence[Target],
        now: float,
    ) -> Sequence[EngineCandidate]:
        shared_tokens = sum(part.tokens for part in parts)
        missing_tokens = [
            holders.get(target.name, shared_tokens) for target in targets
        ]
        return list(
            map(
                EngineCandidate,
                targets,
                self._tracker.loads(targets, now),
                missing_tokens,
                self._tracker.tokens_ahead(targets),
            )
        )

    def _cache_source(
        self,
        service: str,
        holders: Mapping[str, int],
        now: float,
    ) -> CacheSource | None:
        """Return the engine that has most of a prompt cached.

        `holders` are the engines that have a part of it, with the tokens that
        they lack. Engines that are leaving are included. Returns None if there
        is none, or if engines of the service cannot copy from each other.
        """
        if not holders:
            return None
        engine = engine_properties(self._directory.table, service)
        if engine is None or not engine.can_fetch_cache:
            return None
        holding = [
            target
            for target in self._directory.all_targets(service)
            if target.name in holders
        ]
        holding.sort(key=lambda target: holders[target.name])
        for target in holding:
            if self._is_source(target, now):
                return CacheSource(target, holders[target.name])
        return None

    def _is_source(self, target: Target, now: float) -> bool:
        """Return whether engines may copy cached tokens from an engine."""
        return not (
            self._tracker.is_ejected_or_silent(target, now)
            or self._tracker.notices.is_paused(target, now)
        )

    def _accepting_targets(
        self, listed: Sequence[Target], now: float
    ) -> Sequence[Target]:
        """Return the targets that take work, by what their answers say."""
        tracker = self._tracker
        if (
            tracker.notices.is_empty
            and tracker.limits.is_empty
            and tracker.brittle.is_empty
        ):
            return listed
        return [target for target in listed if tracker.accepts(target, now)]

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

    def _usable_targets(
        self,
        listed: Sequence[Target],
        tried: Collection[str],
        now: float,
    ) -> Sequence[Target]:
        usable = self._tracker.ejection.usable_targets(listed, now)
        untried = [target for target in usable if target.name not in tried]
        responsive = self._responsive_targets(untried, now)
        return (
            self._outside_avoided_data_centres(responsive, now)
            or responsive
            or untried
            or [target for target in listed if target.name not in tried]
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

    def _responsive_targets(
        self, targets: Sequence[Target], now: float
    ) -> Sequence[Target]:
        silent = frozenset(self._tracker.silence.silent_targets(now))
        if not silent:
            return targets
        return [target for target in targets if target.name not in silent]

    def _has_waited(
        self,
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

    def _check_path(
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
            and self._has_waited(accepting, reachable, tried)
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
