"""Forwarding of requests whose response is sent to the caller complete."""

from contextlib import suppress
from dataclasses import dataclass
from functools import partial

import trio

from peridotwell.attempt_errors import (
    AttemptError,
    ConnectionFailed,
    ResponseUnusable,
)
from peridotwell.domain.target import Target
from peridotwell.errors import (
    ForwardedRequestQuarantined,
    NoReachableTarget,
    NoTarget,
    RequestError,
    TargetFailed,
)
from peridotwell.forwarding.adapters import (
    HeaderFields,
    RoutedRequest,
    TargetAdapter,
)
from peridotwell.forwarding.choosing.waiting_room import WaitingRoom
from peridotwell.forwarding.handover.handover_protocol import origin_of
from peridotwell.forwarding.handover.path_selection import PathSelector
from peridotwell.forwarding.sending.attempt import Attempt
from peridotwell.forwarding.sending.dispatch import (
    FIRST_SERVER_ERROR,
    Dispatcher,
)
from peridotwell.forwarding.sending.retries import Attempts, RetryDecision
from peridotwell.forwarding.streams.end_recorder import EndRecorder
from peridotwell.logs import log_failure
from peridotwell.policy.placement.choice import Choice
from peridotwell.policy.room.buffer_budget import BufferShare
from peridotwell.serving.target_response import (
    BodyEnd,
    ResponseOrigin,
    TargetResponse,
)

__all__ = (
    'ANSWER_SECONDS',
    'SUCCESSES',
    'BufferedResponse',
    'BufferedResponseForwarder',
    'check_response',
    'final_error',
    'may_leave_target',
    'without_target',
)

FIRST_SUCCESS, FIRST_REDIRECT = 200, 300
SUCCESSES = range(FIRST_SUCCESS, FIRST_REDIRECT)
RETRY_AFTER_SECONDS = 0.3
# A response that may be cut is sent this long before the deadline.
ANSWER_SECONDS = 0.05


@dataclass(frozen=True)
class BufferedResponse:
    """A complete response of a target, ready for the caller.

    `share` is the memory that it takes.
    """

    status: int
    fields: HeaderFields
    body: bytes
    choice: Choice
    origin: ResponseOrigin
    share: BufferShare | None = None

    @property
    def is_end_marked(self) -> bool:
        """Whether the target marked the end of the response."""
        return self.origin.is_end_marked

    @property
    def has_doubtful_end(self) -> bool:
        """Whether no router has found out if the response is complete."""
        return not (self.is_end_marked or self.choice.is_handover)

    @property
    def is_failure(self) -> bool:
        """Whether the status reports an error of the target."""
        return self.status >= FIRST_SERVER_ERROR


class BufferedResponseForwarder:
    """Sends a request to targets until one succeeds or no retry is allowed.

    `held` is a success that may be cut, for a caller who gets no other in time.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        waiting_room: WaitingRoom,
        adapter: TargetAdapter,
    ) -> None:
        self._dispatcher = dispatcher
        self._waiting_room = waiting_room
        self._adapter = adapter
        self.held: BufferedResponse | None = None

    async def get(
        self, request: RoutedRequest, attempts: Attempts
    ) -> BufferedResponse:
        """Return the response for the caller. Raises RequestError.

        If no target succeeds, this is the last error response that a target
        sent, if any. A success that may be cut is returned only if no other
        target succeeds in time.
        """
        response = await self._get(request, attempts)
        while self._may_be_cut(request, response):
            log_failure(
                'response.doubted',
                request=request.request_id,
                target=response.choice.target.name,
                body_bytes=len(response.body),
            )
            self.held = response
            now = trio.current_time()
            if attempts.after_run(now) is RetryDecision.give_up:
                break
            other = await self._get_in_time(request, attempts)
            if other is None or other.is_failure:
                break
            self._record_check(request.service, response, other)
            response = other
        return response

    async def _get_in_time(
        self, request: RoutedRequest, attempts: Attempts
    ) -> BufferedResponse | None:
        """Return another response, or None if there is none in time."""
        with (
            trio.move_on_at(request.deadline_at - ANSWER_SECONDS),
            suppress(RequestError),
        ):
            return await self._get(request, attempts)
        return None

    def _may_be_cut(
        self, request: RoutedRequest, response: BufferedResponse
    ) -> bool:
        """Whether a success has no marked end, unlike others of its service.

        Only a request that may be repeated can be asked again. Another router
        has done so itself.
        """
        return (
            request.route.may_repeat
            and not response.is_failure
            and response.has_doubtful_end
            and self._ends(request.service).are_marks_usual
        )

    async def _get(
        self, request: RoutedRequest, attempts: Attempts
    ) -> BufferedResponse:
        error_response: BufferedResponse | None = None
        while True:
            try:
                outcome = await self._run_attempt(request, attempts)
            except (NoTarget, ForwardedRequestQuarantined) as exc:
                if attempts.may_return(trio.current_time()):
                    continue
                return _best_response(
                    error_response, without_target(exc, attempts)
                )
            if isinstance(outcome, BufferedResponse):
                if not outcome.is_failure:
                    return outcome
                error_response = outcome
            if _decide(attempts, outcome) is RetryDecision.give_up:
                return _best_response(
                    error_response, final_error(outcome, attempts)
                )

    async def _run_attempt(
        self,
        request: RoutedRequest,
        attempts: Attempts,
    ) -> BufferedResponse | AttemptError:
        self._dispatcher.check(request)
        choice = await self._waiting_room.choose(request, attempts.tried)
        number = attempts.begin(choice.target.name)
        may_leave = partial(self._may_leave, request, attempts, choice.target)
        try:
            return await self._send(
                Attempt(
                    request,
                    choice,
                    number,
                    may_leave,
                    runs_left=attempts.runs_left,
                )
            )
        except AttemptError as exc:
            return exc

    def _may_leave(
        self,
        request: RoutedRequest,
        attempts: Attempts,
        target: Target,
        now: float,
    ) -> bool:
        try:
            self._dispatcher.check(request)
        except ForwardedRequestQuarantined:
            return False
        return may_leave_target(
            attempts, self._waiting_room.selector, request, target, now
        )

    async def _send(self, attempt: Attempt) -> BufferedResponse:
        async with self._dispatcher.send(attempt) as response:
            check_response(response, self._adapter)
            body = await response.read_body(require_end_marker=False)
            buffered = BufferedResponse(
                response.status,
                self._adapter.caller_fields(response),
                body,
                attempt.choice,
                origin_of(response, is_handover=attempt.choice.is_handover),
                response.share,
            )
            response.share.keep_with(buffered)
        self._dispatcher.record_completion(attempt, buffered.status)
        self._record_end(
            attempt.request.service,
            attempt.target.name,
            buffered.origin.body_end,
        )
        return buffered

    def _record_end(self, service: str, target: str, body_end: BodyEnd) -> None:
        self._ends(service).record(target, body_end)

    def _record_check(
        self, service: str, doubted: BufferedResponse, other: BufferedResponse
    ) -> None:
        """Record what another response tells of one that may be cut.

        One that begins with it and goes on shows that it was cut. The same one
        shows nothing if it may be cut there itself.
        """
        ends = self._ends(service)
        is_whole = other.body == doubted.body
        if is_whole and ends.may_be_cut(other.origin):
            return
        if is_whole or other.body.startswith(doubted.body):
            ends.record_check(doubted.choice.target.name, is_whole=is_whole)

    def _ends(self, service: str) -> EndRecorder:
        return EndRecorder(self._dispatcher.end_marks, service, is_stream=False)


def check_response(response: TargetResponse, adapter: TargetAdapter) -> None:
    """Raise ResponseUnusable if the caller must not get this response."""
    if response.status in SUCCESSES and not adapter.has_receipt(response):
        raise ResponseUnusable(
            'The success response lacks the receipt of the target.'
        )
    if not adapter.may_forward(response):
        raise ResponseUnusable(
            f'Status {response.status} although the request may have run.'
        )


def may_leave_target(
    attempts: Attempts,
    selector: PathSelector,
    request: RoutedRequest,
    target: Target,
    now: float,
    software: int | None = None,
    *,
    may_hand_over: bool = True,
) -> bool:
    """Return whether a silent target may be left for another one.

    Reserves the retries if so.
    """
    if not attempts.may_retry_after_run(now):
        return False
    if not selector.has_other(
        request, attempts.tried, now, software, may_hand_over=may_hand_over
    ):
        return False
    attempts.leave(target.name, now)
    return True


def final_error(failure: object, attempts: Attempts) -> RequestError:
    """Return the error for the caller after the last attempt."""
    if attempts.may_have_run:
        return TargetFailed(
            f'The target gave no complete response ({failure}): check what it '
            'did before sending again.',
        )
    is_unreachable = isinstance(failure, ConnectionFailed)
    error_class = NoReachableTarget if is_unreachable else NoTarget
    return error_class(
        f'No target took the request ({failure}): send it again later.',
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )


def without_target(error: RequestError, attempts: Attempts) -> RequestError:
    """Return the error for the caller when no further attempt is made.

    It says "not run" only if no earlier attempt may have run the request.
    """
    return final_error(error, attempts) if attempts.may_have_run else error


def _best_response(
    error_response: BufferedResponse | None, error: RequestError
) -> BufferedResponse:
    """Return the error response of a target if any, else raise `error`."""
    if error_response is not None:
        return error_response
    # A variable with an error whose traceback has its frame would keep the
    # request until the garbage collector runs.
    errors = [error]
    del error
    raise errors.pop()


def _decide(
    attempts: Attempts, outcome: BufferedResponse | AttemptError
) -> RetryDecision:
    now = trio.current_time()
    if isinstance(outcome, BufferedResponse):
        return attempts.after_run(now)
    return attempts.after_failure(outcome, now)
