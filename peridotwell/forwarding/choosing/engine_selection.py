"""Selection of the engine that runs a prompt."""

from collections.abc import Mapping, Sequence

from peridotwell.domain.bounds import DeploymentBounds
from peridotwell.domain.prompt import Prompt
from peridotwell.domain.routing_table import Regions, engine_properties
from peridotwell.domain.target import Target
from peridotwell.forwarding.adapters import RoutedRequest
from peridotwell.forwarding.choosing.engine_room import EngineRoom
from peridotwell.forwarding.targets.target_tracker import TargetTracker
from peridotwell.policy.placement.choice import Choice, total_load
from peridotwell.policy.placement.engine_choice import (
    CacheSource,
    EngineCandidate,
    PromptNeeds,
    choose_engine,
)
from peridotwell.policy.placement.prompt_cache_index import (
    CachedPart,
    PromptCacheIndex,
    cacheable_parts,
)

__all__ = ('EngineSelector',)


class EngineSelector:
    """Selects engines by their loads and by what they have cached."""

    def __init__(
        self,
        tracker: TargetTracker,
        caches: PromptCacheIndex,
        bounds: DeploymentBounds,
    ) -> None:
        self._tracker = tracker
        self._caches = caches
        self._bounds = bounds
        self._room = EngineRoom(tracker)

    def set_bounds(self, bounds: DeploymentBounds) -> None:
        """Use these bounds from now on."""
        self._bounds = bounds

    def choose(
        self,
        request: RoutedRequest,
        prompt: Prompt,
        targets: Sequence[Target],
        now: float,
        *,
        needs_room: bool,
    ) -> Choice:
        """Return one of the targets for a prompt.

        With `needs_room`, raises NoRoom if all of them are full.
        """
        parts = cacheable_parts(prompt)
        holders = self._caches.holders(parts, now)
        candidates = self._candidates(parts, holders, targets, now)
        if needs_room:
            candidates = self._room.with_room(request, candidates, now)
        needs = PromptNeeds(
            prompt.placement_key,
            request.request_id,
            prompt.own_tokens,
            request.route.objective_seconds,
        )
        return choose_engine(
            needs,
            candidates,
            self._cache_source(
                request.service, holders, now, request.allowed_regions
            ),
            self._bounds.load_factor,
            self._tracker.times.prefill_speed(
                request.service
            ).tokens_per_second,
            self._tracker.unseen_requests(
                request.service, total_load(candidates), now
            ),
            self._tracker.paces.paces(
                [each.target for each in candidates], now
            ),
        )

    def _candidates(
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
        allowed: Regions = None,
    ) -> CacheSource | None:
        """Return the engine that has most of a prompt cached.

        `holders` are the engines that have a part of it, with the tokens that
        they lack. Engines that are leaving are included, those of evacuated
        data centres or outside the allowed regions are not. Returns None if
        there is none, or if engines of the service cannot copy from each other.
        """
        if not holders:
            return None
        directory = self._tracker.directory
        engine = engine_properties(directory.table, service)
        if engine is None or not engine.can_fetch_cache:
            return None
        holding = [
            target
            for target in self._tracker.regions.within(
                allowed, directory.all_targets(service)
            )
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
            self._tracker.directory.evacuations.covers(target)
            or self._tracker.is_ejected_or_silent(target, now)
            or self._tracker.notices.is_paused(target, now)
        )
