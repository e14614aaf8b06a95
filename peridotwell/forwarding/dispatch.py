"""Sending of a request to a target, and recording of its outcome."""

import math
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

import httpcore
import trio

from peridotwell.attempt_errors import (
    AttemptError,
    ConnectionFailed,
    RefusedByTarget,
    ResponseLost,
    ResponseTimeout,
    ResponseTruncated,
    TargetReplaced,
)
from peridotwell.domain.routing_table import RequestKind
from peridotwell.domain.target import Target
from peridotwell.forwarding.adapters import (
    HeaderFields,
    RoutedRequest,
    TargetAdapter,
    TargetRequest,
)
from peridotwell.forwarding.crash_tracker import BrokenAttempt, CrashTracker
from peridotwell.forwarding.target_clients import TargetClients
from peridotwell.forwarding.target_tracker import TargetTracker
from peridotwell.logs import log_event, log_failure
from peridotwell.policy.choice import Choice
from peridotwell.serving.target_client import ResponseTimeouts
from peridotwell.serving.target_response import TargetResponse

__all__ = ('FIRST_SERVER_ERROR', 'Dispatcher', 'Attempt', 'is_target_error')

BODILESS_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS', 'DELETE', 'TRACE'))
MIN_TIMEOUT_SECONDS = 0.01
FIRST_SERVER_ERROR = 500
GATEWAY_TIMEOUT = 504
# A repeatable request goes to another target if the first one sends no data for
# this multiple of the objective of its route. Before a stream has begun, data
# on any connection to the target counts.
TIMEOUT_OBJECTIVES = 2
STREAM_TIMEOUT_OBJECTIVES = 3
MIN_SILENCE_TIMEOUT_SECONDS = 0.2


@dataclass(frozen=True, eq=False)
class Attempt:
    """One attempt to run a request on a target.

    `resume_after` is the id of the last event that the caller has received,
    or empty. Attempts are compared by identity.
    """

    request: RoutedRequest
    choice: Choice
    number: int
    resume_after: str = ''

    @property
    def target(self) -> Target:
        """The target of the attempt."""
        return self.choice.target


class Dispatcher:
    """Sends requests to targets and records the outcomes of the targets."""

    def __init__(
        self,
        clients: TargetClients,
        tracker: TargetTracker,
        adapter: TargetAdapter,
        crash_tracker: CrashTracker,
    ) -> None:
        self._crash_tracker = crash_tracker
        self._clients = clients
        self._tracker = tracker
        self._adapter = adapter
        # Attempts whose target has sent a whole event.
        self._begun: set[Attempt] = set()

    def check(self, request: RoutedRequest) -> None:
        """Raise ForwardedRequestQuarantined if the request crashes targets."""
        self._crash_tracker.check(request)

    @asynccontextmanager
    async def send(self, attempt: Attempt) -> AsyncIterator[TargetResponse]:
        """Send the request and yield the response. Raises AttemptError."""
        started_at = trio.current_time()
        request = attempt.request
        choice = attempt.choice
        self._tracker.record_start(request, choice, started_at)
        is_prefilled = False
        try:
            async with self._open_response(attempt) as response:
                is_prefilled = True
                self._tracker.record_prefill_end(request, choice)
                self.record_activity(attempt)
                seconds = trio.current_time() - started_at
                self._tracker.record_first_part(request, choice, seconds)
                yield response
        except AttemptError as exc:
            self._record_failure(attempt, exc)
            raise
        finally:
            if not is_prefilled:
                self._tracker.record_prefill_end(request, choice)
            self._record_end(attempt, trio.current_time() - started_at)

    def record_event(self, attempt: Attempt) -> None:
        """Record that whole events of a stream have arrived."""
        if attempt not in self._begun:
            self._begun.add(attempt)
            self._crash_tracker.record_begin(attempt.request)
        self.record_activity(attempt)

    def record_activity(self, attempt: Attempt) -> None:
        """Record that a part of the response has arrived."""
        self._tracker.record_activity(attempt.target, trio.current_time())

    def record_completion(self, attempt: Attempt, status: int) -> None:
        """Record a complete response as a success or error of the target."""
        self._crash_tracker.clear(attempt.request)
        name = attempt.target.name
        if not is_target_error(status):
            self._tracker.ejection.record_success(name)
        elif self._tracker.ejection.record_error_response(
            name, trio.current_time()
        ):
            log_event('target.set_aside', target=name, code=f'status_{status}')

    @asynccontextmanager
    async def _open_response(
        self, attempt: Attempt
    ) -> AsyncIterator[TargetResponse]:
        request = attempt.request
        target = attempt.target
        now = trio.current_time()
        http_request = httpcore.Request(
            request.method,
            httpcore.URL(
                scheme=b'http',
                host=target.address.rpartition(':')[0].encode(),
                port=int(target.address.rpartition(':')[2]),
                target=request.target_path,
            ),
            headers=(
                *self._adapter.request_fields(
                    TargetRequest(
                        request,
                        target,
                        now,
                        attempt.resume_after,
                        attempt.choice.fetch_from,
                    ),
                ),
                *_length_field(request),
            ),
            content=request.body,
        )
        response_context = self._clients.client(target).send(
            http_request,
            _timeouts(request, now),
            new_connection=not self._tracker.may_reuse_connection(
                request, target, now
            ),
            require_request_id=True,
        )
        limits = self._tracker.silence_limits
        async with AsyncExitStack() as stack:
            with limits.limit(
                target.name, _max_silence_seconds(request)
            ) as scope:
                response = await stack.enter_async_context(response_context)
            if scope.cancelled_caught:
                raise ResponseTimeout('The target sends nothing to anybody.')
            self._record_report(target, response)
            yield response

    def _record_report(self, target: Target, response: TargetResponse) -> None:
        reported = self._adapter.reported_load(response)
        if reported is not None:
            now = trio.current_time()
            self._tracker.record_report(target, reported, now)

    def _record_end(self, attempt: Attempt, seconds: float) -> None:
        self._begun.discard(attempt)
        self._tracker.record_end(attempt.target, seconds)

    def _record_failure(self, attempt: Attempt, exc: AttemptError) -> None:
        name = attempt.target.name
        now = trio.current_time()
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
        log_failure(
            'attempt.failed',
            request=attempt.request.request_id,
            target=name,
            attempt=attempt.number,
            code=exc.code,
            error=str(exc),
            may_have_run=exc.may_have_run,
        )

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


def is_target_error(status: int) -> bool:
    """Return whether a status reports an error of the target.

    A gateway timeout is excluded, because it reports a missed deadline.
    """
    return status >= FIRST_SERVER_ERROR and status != GATEWAY_TIMEOUT


def _length_field(request: RoutedRequest) -> HeaderFields:
    if not request.body and request.method in BODILESS_METHODS:
        return ()
    return ((b'content-length', str(len(request.body)).encode()),)


def _timeouts(request: RoutedRequest, now: float) -> ResponseTimeouts:
    """Return the timeouts of an attempt that starts `now`.

    The wait for the first byte of a stream is not limited here, because its
    engine may have a queue.
    """
    remaining = max(request.deadline_at - now, MIN_TIMEOUT_SECONDS)
    silence_timeout = min(remaining, _max_silence_seconds(request))
    is_stream = request.route.kind is RequestKind.streaming
    return ResponseTimeouts(
        remaining if is_stream else silence_timeout, silence_timeout
    )


def _max_silence_seconds(request: RoutedRequest) -> float:
    """Return how long a target may be silent before another one is tried.

    There is no limit for requests that must not run twice.
    """
    route = request.route
    if not route.may_repeat:
        return math.inf
    is_stream = route.kind is RequestKind.streaming
    multiple = STREAM_TIMEOUT_OBJECTIVES if is_stream else TIMEOUT_OBJECTIVES
    return max(multiple * route.objective_seconds, MIN_SILENCE_TIMEOUT_SECONDS)
