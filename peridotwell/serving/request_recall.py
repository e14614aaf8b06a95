"""Finds targets that have left while requests are outstanding there."""

from abc import ABC, abstractmethod
from enum import Enum

import trio

from peridotwell.domain.target import Target
from peridotwell.logs import log_event
from peridotwell.metrics import Metrics
from peridotwell.policy.unread_requests import seconds_between
from peridotwell.serving.outstanding_requests import (
    OutstandingRequests,
    TargetRequests,
)

__all__ = ('RequestRecall', 'TargetStanding', 'TargetStandings')

POLL_SECONDS = 0.05
# A report of a target takes this long to arrive here.
REPORT_SECONDS = 0.5


class TargetStanding(Enum):
    """What is known of a process of a target.

    `doubted`: its entry was removed, but it may register again. `left`: it gets
    no new requests, and may be at work on others. `replaced`: another process
    has taken its name or its address, so that nothing of it can arrive.
    """

    listed = 'listed'
    doubted = 'doubted'
    left = 'left'
    replaced = 'replaced'


class TargetStandings(ABC):
    """Tells what is known of targets."""

    @abstractmethod
    def standing(self, target: Target) -> TargetStanding:
        """Return what is known of a process of a target."""

    def has_reported(self, target: Target) -> bool:
        """Return whether a process has itself told that it leaves."""
        return False


class RequestRecall:
    """Finds targets that have left while requests are outstanding there."""

    def __init__(
        self,
        outstanding: OutstandingRequests,
        standings: TargetStandings,
        metrics: Metrics,
    ) -> None:
        self._outstanding = outstanding
        self._standings = standings
        self._metrics = metrics

    async def run(self) -> None:
        """Look for such targets until cancelled."""
        while True:
            await self._outstanding.wait_for_any()
            await trio.sleep(POLL_SECONDS)
            for requests in self._outstanding.all_targets():
                self.has_just_left(requests, trio.current_time())

    def has_just_left(self, requests: TargetRequests, now: float) -> bool:
        """Return whether a target is found to have left, which is logged."""
        standing = self._standings.standing(requests.target)
        if standing is TargetStanding.listed:
            requests.left_at = None
            return False
        if requests.left_at is not None:
            return False
        requests.left_at = now
        if self._standings.has_reported(requests.target):
            self._outstanding.record_sign(requests.target, now - REPORT_SECONDS)
        _log_leaving(requests, standing, now)
        return True


def _log_leaving(
    requests: TargetRequests, standing: TargetStanding, now: float
) -> None:
    log_event(
        'target.leaving.outstanding',
        target=requests.target.name,
        outstanding=len(requests.requests),
        unread=sum(1 for _ in requests.unread()),
        kinds=requests.count_kinds(),
        silent=seconds_between(requests.last_sign_at, now),
        standing=standing.value,
    )
