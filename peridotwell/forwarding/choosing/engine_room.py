"""Engines that have room for the first attempt of a request.

A limit that a target names counts requests, however long they are. So short
requests leave such targets to long ones while other targets have room.
"""

from collections.abc import Sequence

from peridotwell.domain.routing_table import engine_properties
from peridotwell.errors import NoRoom
from peridotwell.forwarding.adapters import RoutedRequest
from peridotwell.forwarding.choosing.first_attempt_room import FirstAttemptRoom
from peridotwell.forwarding.targets.target_tracker import TargetTracker
from peridotwell.policy.placement.engine_choice import EngineCandidate

__all__ = ('EngineRoom',)


class EngineRoom:
    """Selects the engines that have room."""

    def __init__(self, tracker: TargetTracker) -> None:
        self._tracker = tracker
        self._room = FirstAttemptRoom(tracker)

    def with_room(
        self,
        request: RoutedRequest,
        engines: Sequence[EngineCandidate],
        now: float,
    ) -> Sequence[EngineCandidate]:
        """Return the engines that suit a request. Raises NoRoom if none."""
        table = self._tracker.directory.table
        properties = engine_properties(table, request.service)
        if properties is None:
            return engines
        with_room = self._room.of_engines(
            request, engines, properties.slots, now
        )
        if not self._tracker.limits.is_empty:
            with_room = self._by_length(request, engines, with_room, now)
        if not with_room:
            raise NoRoom(f'All engines of {request.service} are full.')
        return with_room

    def _by_length(
        self,
        request: RoutedRequest,
        engines: Sequence[EngineCandidate],
        with_room: Sequence[EngineCandidate],
        now: float,
    ) -> Sequence[EngineCandidate]:
        """Return the engines with room that a request of its length may use."""
        limits = self._tracker.limits
        limited = [
            engine
            for engine in with_room
            if limits.limit(engine.target, now) is not None
        ]
        if not self._tracker.lengths.is_short(
            request.service, request.route.name
        ):
            return limited or with_room
        if all(
            limits.limit(engine.target, now) is not None for engine in engines
        ):
            return with_room
        return [
            engine
            for engine in with_room
            if engine not in limited or limits.is_unused(engine.target, now)
        ]
