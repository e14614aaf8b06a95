"""Waiting room: requests for which no target has room now.

Pattern: admission control with a bounded priority queue. A request waits for a
part of the objective of its route. It is refused at once if the expected wait,
from the measured rate of this router's requests, is longer. The most urgent
requests go first; among equally urgent ones, customers take turns.

Only the first attempt of a request waits. One that goes on elsewhere has had
its turn.
"""

import itertools
from collections.abc import Collection
from dataclasses import dataclass, field

import trio

from peridotwell.errors import NoRoom, NoTarget, Overloaded
from peridotwell.fleet.replica.store_belief import StoreBelief
from peridotwell.forwarding.adapters import RoutedRequest
from peridotwell.forwarding.handover.path_selection import PathSelector
from peridotwell.logs import log_event
from peridotwell.metrics import Metrics
from peridotwell.policy.placement.choice import Choice
from peridotwell.policy.retries.return_spread import (
    MIN_SPREAD_SECONDS,
    ReturnSpread,
    return_seconds,
)
from peridotwell.policy.room.admission import AdmissionQueue, QueuedRequest
from peridotwell.policy.room.fair_queueing import FairOrder

__all__ = ('WaitingRoom',)

MAX_WAITING_REQUESTS = 256
MAX_WAITING_BYTES = 1 << 24
# A request waits for these parts of its objective and of its remaining time at
# most.
WAIT_OBJECTIVES = 0.5
WAIT_REMAINING = 0.1
MAX_WAIT_SECONDS = 0.15
# The first waiting request of each service looks for room again after this.
LOOK_SECONDS = 0.02
# A service has room again if none of its requests lacked it for this time.
CALM_SECONDS = 1.0
# The store answers again, or is known to be away, in less.
RETRY_AFTER_SECONDS = 0.3


@dataclass
class _Line:
    """The waiting requests of one service."""

    service: str
    queue: AdmissionQueue = field(
        default_factory=lambda: AdmissionQueue(MAX_WAITING_BYTES)
    )
    order: FairOrder = field(default_factory=FairOrder)
    full_since: float | None = None
    lacked_room_at: float = 0
    waited: int = 0
    refused: int = 0

    def place(self, request: RoutedRequest, now: float) -> QueuedRequest:
        """Return the place of a request among those that wait."""
        remaining = max(request.deadline_at - now, 0)
        seconds = min(remaining * WAIT_REMAINING, MAX_WAIT_SECONDS)
        objective = request.route.objective_seconds
        if objective > 0:
            seconds = min(seconds, objective * WAIT_OBJECTIVES)
        return QueuedRequest(
            request.priority,
            self.order.start_tag(request.customer),
            self.queue.next_arrival_number(),
            now + seconds,
            len(request.body),
        )

    def record_no_room(self, now: float) -> None:
        """Record that a request found no room."""
        self.lacked_room_at = now
        if self.full_since is None:
            self.full_since = now
            self.waited = 0
            self.refused = 0
            log_event('service.full', service=self.service)

    def record_sent(self, customer: str, now: float) -> None:
        """Record that a request of a customer is sent."""
        self.order.record_sent(customer)
        if self.full_since is None or now - self.lacked_room_at < CALM_SECONDS:
            return
        log_event(
            'service.has_room',
            service=self.service,
            full_seconds=round(self.lacked_room_at - self.full_since, 3),
            waited=self.waited,
            refused=self.refused,
        )
        self.full_since = None


class WaitingRoom:
    """Chooses targets for requests, and lets those wait that find no room.

    `selector` chooses the targets. If the router may lack that targets leave,
    as its `belief` tells, it asks the store first, and chooses none without an
    answer.
    """

    def __init__(
        self,
        selector: PathSelector,
        return_spread: ReturnSpread,
        metrics: Metrics,
        belief: StoreBelief,
    ) -> None:
        self.selector = selector
        self._belief = belief
        self._return_spread = return_spread
        self._metrics = metrics
        self._lines: dict[str, _Line] = {}
        self._has_waiting = trio.Event()

    async def choose(
        self,
        request: RoutedRequest,
        tried: Collection[str],
        software: int | None = None,
        *,
        may_hand_over: bool = True,
    ) -> Choice:
        """Return the target or the router for a request. Raises NoTarget.

        The choice must be used before the next checkpoint.
        """
        await self._require_settled()
        if tried or software is not None:
            return self.selector.choose(
                request,
                tried,
                trio.current_time(),
                software,
                may_hand_over=may_hand_over,
            )
        return await self._choose_first(request)

    async def run(self) -> None:
        """Let the first waiting requests look for room, again and again."""
        await self._has_waiting.wait()
        self._has_waiting = trio.Event()
        while self.waiting_count():
            await trio.sleep(LOOK_SECONDS)
            for line in self._lines.values():
                line.queue.wake_next()

    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(line.queue) for line in self._lines.values())

    async def _choose_first(self, request: RoutedRequest) -> Choice:
        line = self._line(request.service)
        now = trio.current_time()
        place = line.place(request, now)
        for looks in itertools.count():
            room_seconds = float(0)
            if not line.queue.ahead(place):
                try:
                    return self._take(line, request, now)
                except NoRoom as exc:
                    room_seconds = exc.room_seconds
            line.record_no_room(now)
            if not looks:
                self._check_wait(line, request, place, room_seconds, now)
                line.waited += 1
                self._metrics.count('request.waited')
            await self._wait(line, request, place, now)
            await self._require_settled()
            now = trio.current_time()
        raise AssertionError('The loop ends only with a choice or an error.')

    async def _require_settled(self) -> None:
        """Raise NoTarget if targets may have left unknown to this router."""
        if not await self._belief.settle(trio.current_time()):
            raise NoTarget(
                'This instance may lack that targets have left: send the '
                'request again.',
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )

    def _take(self, line: _Line, request: RoutedRequest, now: float) -> Choice:
        """Return a choice, and let the next waiting request look for room."""
        choice = self.selector.choose(request, (), now)
        line.record_sent(request.customer, now)
        line.queue.wake_next()
        return choice

    def _check_wait(
        self,
        line: _Line,
        request: RoutedRequest,
        place: QueuedRequest,
        room_seconds: float,
        now: float,
    ) -> None:
        """Raise NoRoom if a request would wait for longer than it may."""
        per_second = self._return_spread.sent_per_second(request.service, now)
        requests = line.queue.ahead(place) + 1
        expected = max(room_seconds, requests / per_second)
        if now + expected > place.deadline_at:
            wait_seconds = room_seconds or expected
            raise self._refusal(line, request, wait_seconds, 'expected_wait')

    async def _wait(
        self,
        line: _Line,
        request: RoutedRequest,
        place: QueuedRequest,
        now: float,
    ) -> None:
        self._has_waiting.set()
        line.order.record_wait_start(request.customer)
        try:
            await line.queue.wait(place, MAX_WAITING_REQUESTS, now)
        except Overloaded as exc:
            raise self._refusal(line, request, 0, 'waited') from exc
        finally:
            line.order.record_wait_end(request.customer)

    def _refusal(
        self,
        line: _Line,
        request: RoutedRequest,
        wait_seconds: float,
        reason: str,
    ) -> NoRoom:
        """Return the error for a caller, who returns when there may be room.

        That is `wait_seconds` from now. From then on callers return, spread
        over the time in which as many requests are sent as were refused lately.
        """
        now = trio.current_time()
        line.refused += 1
        self._metrics.count(f'request.no_room.{reason}')
        spread = self._return_spread.record_refused(request.service, now)
        if not self._return_spread.is_measured(request.service, now):
            spread = MIN_SPREAD_SECONDS
        return NoRoom(
            f'No target of {request.service} has room, and {len(line.queue)} '
            'requests wait: send the request again later.',
            retry_after_seconds=return_seconds(
                wait_seconds, spread, request.request_id
            ),
        )

    def _line(self, service: str) -> _Line:
        line = self._lines.get(service)
        if line is None:
            line = _Line(service)
            self._lines[service] = line
        return line
