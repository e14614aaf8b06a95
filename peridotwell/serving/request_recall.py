"""Takes back requests that may lie unread at targets that have left.

A target that stands still, or whose path is held, would run them when it goes
on, long after it has left, and mostly for nobody. A target that has left may
also be sound and work on a request without sending a byte, so it is asked
first. A request that it has read, or begun to answer, is left to it.
"""

from abc import ABC, abstractmethod
from enum import Enum

import trio

from peridotwell.domain.target import Target
from peridotwell.logs import log_event
from peridotwell.metrics import Metrics
from peridotwell.policy.health.unread_requests import seconds_between
from peridotwell.serving.outstanding_requests import (
    OutstandingRequests,
    TargetRequests,
)
from peridotwell.serving.sign_of_life import gives_sign_of_life

__all__ = ('RequestRecall', 'TargetStanding', 'TargetStandings')

POLL_SECONDS = 0.05
# A target that has left must get no request 2 s later. Routers know of it after
# 0.3 s, and a sound one may be silent for a second.
SILENT_SECONDS = 1.2
# Most requests at a sound target end within this time: it is not asked then.
ASK_AFTER_SECONDS = 0.2


class TargetStanding(Enum):
    """What is known of a process of a target.

    `doubted`: its entry was removed, but it may register again. `left`: it gets
    no new requests, and may be at work on others. `replaced`: another process
    has its name or its address. At the same address, that one may be at work on
    requests that were sent before its entry was known here.
    """

    listed = 'listed'
    doubted = 'doubted'
    left = 'left'
    replaced = 'replaced'


class TargetStandings(ABC):
    """Tells what is known of targets, and where to ask for their status."""

    @abstractmethod
    def standing(self, target: Target) -> TargetStanding:
        """Return what is known of a process of a target."""

    @abstractmethod
    def status_path(self, target: Target) -> str:
        """Return the path of the status checks of a target."""


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
        """Take requests back until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._outstanding.wait_for_any()
                await trio.sleep(POLL_SECONDS)
                for requests in self._outstanding.all_targets():
                    if self.has_just_left(requests, trio.current_time()):
                        nursery.start_soon(self._recall, requests)

    def has_just_left(self, requests: TargetRequests, now: float) -> bool:
        """Return whether a target is found to have left, which is logged.

        It is found twice if it was doubted: meanwhile it still gets requests.
        """
        standing = self._standings.standing(requests.target)
        if standing is TargetStanding.listed:
            requests.left_at = None
            return False
        was_doubted = requests.is_doubted
        requests.is_doubted = standing is TargetStanding.doubted
        if requests.left_at is None:
            requests.left_at = now
        elif requests.is_doubted or not was_doubted:
            return False
        _log_leaving(requests, standing, now)
        return True

    async def _recall(self, requests: TargetRequests) -> None:
        """Take back what the target may not have read."""
        await trio.sleep(ASK_AFTER_SECONDS)
        if not any(requests.unread()):
            return
        if not await self._gives_sign(requests, trio.current_time()):
            self._take_back(requests)

    async def _gives_sign(
        self, requests: TargetRequests, asked_at: float
    ) -> bool:
        """Return whether a target shows that it runs, on any connection."""
        target = requests.target
        self._metrics.count('target.status_asked')
        path = self._standings.status_path(target)
        if await gives_sign_of_life(target, path, SILENT_SECONDS):
            self._outstanding.record_sign(target, trio.current_time())
            return True
        last_sign_at = requests.last_sign_at
        return last_sign_at is not None and last_sign_at > asked_at

    def _take_back(self, requests: TargetRequests) -> None:
        if requests.left_at is None:
            # It has been listed again.
            return
        unread = tuple(requests.unread())
        requests.taken_back += len(unread)
        for request in unread:
            self._metrics.count('request.taken_back')
            request.take_back()


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
