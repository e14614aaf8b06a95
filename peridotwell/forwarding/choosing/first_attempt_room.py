"""The rule by which a target has room for the first attempt of a request.

Pattern: trunk reservation. The last places of a target are kept for the most
urgent requests, so that these find one though they do not wait long.
"""

from collections.abc import Sequence
from typing import TypeVar

from peridotwell.errors import NoRoom
from peridotwell.forwarding.adapters import RoutedRequest
from peridotwell.forwarding.targets.target_tracker import TargetTracker
from peridotwell.policy.placement.choice import Candidate
from peridotwell.policy.room.urgency_ranks import UrgencyRanks

__all__ = ('FirstAttemptRoom',)

CandidateT = TypeVar('CandidateT', bound=Candidate)

# A request may wait for this time in the queue of a target.
QUEUE_SECONDS = 0.15
# Part of a target's places that is kept for each more urgent priority.
RESERVED_SHARE = 0.1
MIN_SHARE = 0.5


class FirstAttemptRoom:
    """Selects the targets that have room."""

    def __init__(self, tracker: TargetTracker) -> None:
        self._tracker = tracker
        self._ranks = UrgencyRanks()

    def of_engines(
        self,
        request: RoutedRequest,
        engines: Sequence[CandidateT],
        slots: int,
        now: float,
    ) -> Sequence[CandidateT]:
        """Return the engines, with these slots each, that have room."""
        share = self._share(request, now)
        served = self._served(request.service, slots)
        if self._tracker.paces.is_empty:
            max_load = share * (slots + served)
            return [each for each in engines if each.load < max_load]
        with_room = [
            each
            for each in engines
            if each.load < share * (slots + served / self._pace(each, now))
        ]
        return self._not_held(with_room, now)

    def of_plain(
        self,
        request: RoutedRequest,
        candidates: Sequence[Candidate],
        now: float,
    ) -> Sequence[Candidate]:
        """Return the targets of a plain service with room. Raises NoRoom.

        Targets that state no slots always have room.
        """
        reports = self._tracker.full_reports
        if reports.is_empty:
            return candidates
        share = self._share(request, now)
        with_room = [
            each
            for each in candidates
            if not (slots := reports.slots(each.target.name))
            or each.load
            < share
            * (
                slots
                + self._served(request.service, slots) / self._pace(each, now)
            )
        ]
        if not with_room:
            raise NoRoom(f'All targets of {request.service} are full.')
        return self._not_held(with_room, now)

    def _share(self, request: RoutedRequest, now: float) -> float:
        """Return the part of a target's places that a request may use."""
        rank = self._ranks.rank(request.service, request.priority, now)
        return max(1 - rank * RESERVED_SHARE, MIN_SHARE)

    def _served(self, service: str, slots: int) -> float:
        """Return how many requests end in slots while another one waits."""
        return self._tracker.lengths.served(service, slots, QUEUE_SECONDS)

    def _pace(self, candidate: Candidate, now: float) -> float:
        return self._tracker.paces.pace(candidate.target, now)

    def _not_held(
        self, candidates: Sequence[CandidateT], now: float
    ) -> Sequence[CandidateT]:
        """Leave out targets that are held back, if others are left."""
        reports = self._tracker.full_reports
        return [
            each
            for each in candidates
            if not reports.is_held(each.target.name, now)
        ] or candidates
