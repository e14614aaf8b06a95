"""Sending of a request to a target, and recording of its outcome."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from peridotwell.attempt_errors import (
    AttemptError,
    ConnectionFailed,
    RefusedByTarget,
    ResponseLost,
    ResponseTruncated,
    TargetLeft,
    TargetReplaced,
)
from peridotwell.domain.target import Target
from peridotwell.forwarding.adapters import RoutedRequest
from peridotwell.forwarding.handover.handover_client import HandoverClient
from peridotwell.forwarding.sending.attempt import Attempt
from peridotwell.forwarding.sending.attempt_limits import (
    max_router_silence_seconds,
    response_timeouts,
)
from peridotwell.forwarding.sending.limited_responses import limit_silence
from peridotwell.forwarding.sending.target_clients import TargetClients
from peridotwell.forwarding.sending.target_sender import TargetSender
from peridotwell.forwarding.streams.end_recorder import EndRecorder
from peridotwell.forwarding.streams.event_verdicts import EventVerdicts
from peridotwell.forwarding.targets.crash_tracker import (
    BrokenAttempt,
    CrashTracker,
)
from peridotwell.forwarding.targets.load_reports import LoadReports
from peridotwell.forwarding.targets.target_tracker import TargetTracker
from peridotwell.logs import log_event, log_failure
from peridotwell.policy.evidence.end_marks import EndMarks
from peridotwell.serving.outstanding_requests import OutstandingRequests
from peridotwell.serving.target_response import TargetResponse

__all__ = ('FIRST_SERVER_ERROR', 'Dispatcher', 'is_target_error')

FIRST_SERVER_ERROR = 500
GATEWAY_TIMEOUT = 504


class Dispatcher:
    """Sends requests to targets and records the outcomes of the targets.

    `reports` records the loads that targets report; its adapter encodes the
    requests. `end_marks` tells how the complete responses of each service end,
    `event_verdicts` how the ids of the events of its streams go up.
    """

    def __init__(
        self,
        clients: TargetClients,
        tracker: TargetTracker,
        reports: LoadReports,
        crash_tracker: CrashTracker,
        handover_client: HandoverClient,
        outstanding: OutstandingRequests,
        event_verdicts: EventVerdicts,
    ) -> None:
        self.end_marks = EndMarks()
        self.event_verdicts = event_verdicts
        self._outstanding = outstanding
        self._crash_tracker = crash_tracker
        self._handover_client = handover_client
        self._tracker = tracker
        self._clients = clients
        self._sender = TargetSender(clients, tracker, reports, outstanding)
        # Attempts whose target has sent a whole event.
        self._begun: set[Attempt] = set()

    def stream_ends(self, service: str) -> EndRecorder:
        """Return what is known of the ends of a service's streams."""
        return EndRecorder(
            self.end_marks,
            service,
            is_stream=True,
            early_ends=self._crash_tracker.early_ends,
        )

    def check(self, request: RoutedRequest) -> None:
        """Raise ForwardedRequestQuarantined if the request crashes targets."""
        self._crash_tracker.check(request)

    @asynccontextmanager
    async def send(self, attempt: Attempt) -> AsyncIterator[TargetResponse]:
        """Send the request and yield the response. Raises AttemptError."""
        send = (
            self._send_to_router
            if attempt.choice.is_handover
            else self._send_to_target
        )
        async with send(attempt) as response:
            yield response

    @asynccontextmanager
    async def _send_to_router(
        self, attempt: Attempt
    ) -> AsyncIterator[TargetResponse]:
        """Hand the request over. The other router records its outcome."""
        now = trio.current_time()
        request = attempt.request
        log_event(
            'request.handed_over',
            request=request.request_id,
            router=attempt.target.name,
        )
        timeouts = response_timeouts(attempt, now)
        response_context = self._handover_client.send(
            request, attempt.target, attempt.runs_left, timeouts
        )
        max_seconds = max_router_silence_seconds(request, now)
        try:
            async with limit_silence(
                self._tracker.silence_limits,
                attempt,
                response_context,
                attempt,
                max_seconds,
            ) as response:
                yield response
        except AttemptError as exc:
            _log_failure(attempt, exc)
            raise

    @asynccontextmanager
    async def _send_to_target(
        self, attempt: Attempt
    ) -> AsyncIterator[TargetResponse]:
        started_at = trio.current_time()
        request = attempt.request
        choice = attempt.choice
        self._tracker.record_start(request, choice, started_at)
        is_prefilled = False
        try:
            async with self._sender.open(attempt) as response:
                is_prefilled = True
                self._tracker.record_prefill_end(request, choice)
                self.record_activity(attempt)
                seconds = trio.current_time() - started_at
                self._tracker.record_first_part(request, choice, seconds)
                yield response
            self._tracker.lengths.record(
                request.service,
                request.route.name,
                trio.current_time() - started_at,
            )
        except AttemptError as exc:
            self._record_failure(attempt, exc, started_at)
            raise
        finally:
            if not is_prefilled:
                self._tracker.record_prefill_end(request, choice)
            self._record_end(attempt, trio.current_time() - started_at)

    def record_event(self, attempt: Attempt) -> None:
        """Record that whole events of a stream have arrived."""
        if attempt.choice.is_handover:
            return
        if attempt not in self._begun:
            self._begun.add(attempt)
            self._crash_tracker.record_begin(attempt.request)
        self.record_activity(attempt)

    def record_activity(self, attempt: Attempt) -> None:
        """Record that a part of the response has arrived."""
        now = trio.current_time()
        self._tracker.record_activity(attempt.target, now)
        self._outstanding.record_sign(attempt.target, now)

    def record_completion(self, attempt: Attempt, status: int) -> None:
        """Record a complete response as a success or error of the target."""
        if attempt.choice.is_handover:
            return
        name = attempt.target.name
        if status >= FIRST_SERVER_ERROR:
            _log_error_response(attempt, status)
        else:
            self._crash_tracker.clear(attempt.request)
        if not is_target_error(status):
            self._tracker.ejection.record_success(name)
        elif self._tracker.ejection.record_error_response(
            name, trio.current_time()
        ):
            log_event('target.set_aside', target=name, code=f'status_{status}')

    def _record_end(self, attempt: Attempt, seconds: float) -> None:
        self._begun.discard(attempt)
        self._tracker.record_end(attempt.target, seconds)

    def _record_failure(
        self, attempt: Attempt, exc: AttemptError, started_at: float
    ) -> None:
        if isinstance(exc, TargetLeft):
            # It says nothing of the target but what is known.
            _log_failure(attempt, exc)
            return
        self._clients.record_failure(attempt.target, exc, started_at)
        name = attempt.target.name
        now = trio.current_time()
        if isinstance(exc, RefusedByTarget):
            self._outstanding.record_sign(attempt.target, now)
        self._crash_tracker.schedule_check(
            BrokenAttempt(
                attempt.request, attempt.target, attempt in self._begun
            ),
            exc,
        )
        is_gone = isinstance(exc, ConnectionFailed | TargetReplaced)
        counts_as_failure = is_gone or not isinstance(exc, RefusedByTarget)
        if counts_as_failure and self._tracker.ejection.record_failure(
            name,
            now,
            is_unreachable=is_gone,
        ):
            log_event('target.set_aside', target=name, code=exc.code)
        if isinstance(exc, ConnectionFailed | ResponseLost | ResponseTruncated):
            self._record_connection_failure(attempt.target, exc, now)
        _log_failure(attempt, exc)

    def _record_connection_failure(
        self,
        target: Target,
        exc: AttemptError,
        now: float,
    ) -> None:
        if isinstance(exc, ConnectionFailed):
            self._tracker.brittle.record_unreachable(target, now)
        data_centre = target.pool.data_centre
        if self._tracker.data_centres.record_connection_failure(
            data_centre,
            target.name,
            now,
            is_unreachable=isinstance(exc, ConnectionFailed),
        ):
            log_event(
                'data_centre.avoided',
                avoided=data_centre,
                target=target.name,
            )


def _log_failure(attempt: Attempt, exc: AttemptError) -> None:
    log_failure(
        'attempt.failed',
        request=attempt.request.request_id,
        code=exc.code,
        target=attempt.target.name,
        attempt=attempt.number,
        may_have_run=exc.may_have_run,
        error=str(exc),
    )


def _log_error_response(attempt: Attempt, status: int) -> None:
    log_failure(
        'attempt.error_response',
        request=attempt.request.request_id,
        target=attempt.target.name,
        attempt=attempt.number,
        status=status,
    )


def is_target_error(status: int) -> bool:
    """Return whether a status reports an error of the target.

    A gateway timeout is excluded, because it reports a missed deadline.
    """
    return status >= FIRST_SERVER_ERROR and status != GATEWAY_TIMEOUT
