"""Forwarding of event streams, with resumption on another target."""

from contextlib import aclosing
from functools import partial

import trio

from peridotwell.attempt_errors import AttemptError, ResponseTruncated
from peridotwell.domain.target import Target
from peridotwell.errors import (
    ForwardedRequestQuarantined,
    NoTarget,
    RequestError,
    RunState,
)
from peridotwell.forwarding.adapters import RoutedRequest, TargetAdapter
from peridotwell.forwarding.attempt import Attempt
from peridotwell.forwarding.buffered_responses import (
    SUCCESSES,
    BufferedResponse,
    check_response,
    final_error,
    may_leave_target,
    without_target,
)
from peridotwell.forwarding.caller_response import CallerResponse
from peridotwell.forwarding.dispatch import Dispatcher
from peridotwell.forwarding.event_order import EventOrder
from peridotwell.forwarding.retries import Attempts, RetryDecision
from peridotwell.forwarding.stream_affinity import StreamAffinity
from peridotwell.forwarding.stream_log import (
    CUT,
    StreamEnd,
    log_unusual_end,
)
from peridotwell.forwarding.waiting_room import WaitingRoom
from peridotwell.policy.choice import Choice
from peridotwell.serving.stream_head import StreamHead
from peridotwell.serving.target_response import ResponseOrigin, TargetResponse

__all__ = ('StreamBroken', 'StreamForwarder')


class StreamBroken(RequestError):
    """A stream broke off after the caller had received its beginning.

    The connection is closed without the end of the body, so that the caller
    does not take the stream for complete.
    """

    code = 'stream_broken'
    status = 502
    default_run_state = RunState.unknown


class StreamForwarder:
    """Forwards one event stream over all its attempts."""

    def __init__(
        self,
        request: RoutedRequest,
        caller_response: CallerResponse,
        attempts: Attempts,
        dispatcher: Dispatcher,
        waiting_room: WaitingRoom,
        adapter: TargetAdapter,
        affinity: StreamAffinity,
    ) -> None:
        self.choice: Choice | None = None
        self.status = 0
        self.origin: ResponseOrigin | None = None
        self.body_bytes = 0
        self.first_part_at = float(0)
        self._request = request
        self._caller_response = caller_response
        self._attempts = attempts
        self._dispatcher = dispatcher
        self._waiting_room = waiting_room
        self._adapter = adapter
        self._affinity = affinity
        self._order = EventOrder(
            dispatcher.event_steps, request.service, _resumed_after(request)
        )
        # What marked the end of what the last target sent.
        self._target_end = CUT
        # Number of targets that sent events.
        self._parts = 0
        # Set when the caller has received the beginning.
        self._head: StreamHead | None = None

    @property
    def end(self) -> StreamEnd:
        """How the stream ended."""
        is_handed_over = self.choice is not None and self.choice.is_handover
        return StreamEnd(
            self._target_end,
            self._caller_response.passed_end,
            self._order,
            self._parts,
            is_handed_over,
        )

    async def run(self) -> BufferedResponse | None:
        """Forward the stream to its end.

        Returns the response of the target if it is an error and no stream;
        it is not sent to the caller yet. Raises RequestError.
        """
        try:
            return await self._run()
        finally:
            log_unusual_end(self._request.request_id, self.end)

    async def _run(self) -> BufferedResponse | None:
        await self._affinity.learn_version(self._request)
        while True:
            choice = await self._choose()
            number = self._attempts.begin(choice.target.name)
            self.choice = choice
            attempt = Attempt(
                self._request,
                choice,
                number,
                partial(self._may_leave, choice.target),
                self._order.last_id,
                self._attempts.runs_left,
            )
            try:
                return await self._send(attempt)
            except AttemptError as exc:
                self._raise_unless_retried(exc, trio.current_time())

    async def _choose(self) -> Choice:
        try:
            self._dispatcher.check(self._request)
            return await self._waiting_room.choose(
                self._request,
                self._attempts.tried,
                self._required_software(trio.current_time()),
                may_hand_over=self._may_hand_over,
            )
        except (NoTarget, ForwardedRequestQuarantined) as exc:
            if self._attempts.may_return(trio.current_time()):
                return await self._choose()
            raise without_target(exc, self._attempts) from None

    def _may_leave(self, target: Target, now: float) -> bool:
        if self._is_begun_elsewhere:
            return False
        try:
            self._dispatcher.check(self._request)
            software = self._required_software(now)
        except (NoTarget, ForwardedRequestQuarantined):
            return False
        return may_leave_target(
            self._attempts,
            self._waiting_room.selector,
            self._request,
            target,
            now,
            software,
            may_hand_over=self._may_hand_over,
        )

    @property
    def _is_begun_elsewhere(self) -> bool:
        """Whether another router has begun the stream, and resumes it."""
        return (
            self._caller_response.has_begun
            and self.choice is not None
            and self.choice.is_handover
        )

    @property
    def _may_hand_over(self) -> bool:
        """Whether another router may serve the whole of the stream."""
        return not self._caller_response.has_begun

    def _required_software(self, now: float) -> int | None:
        if self._caller_response.has_begun and self.choice is not None:
            return self.choice.target.software_id
        return self._affinity.required_software(self._request, now)

    def _raise_unless_retried(self, failure: AttemptError, now: float) -> None:
        """Return if another target may resume. Raises RequestError if not."""
        decision = self._attempts.after_failure(failure, now)
        if (
            decision is RetryDecision.other_target
            and not self._is_begun_elsewhere
        ):
            return
        if self._caller_response.has_begun:
            raise StreamBroken(f'The stream was cut: {failure}') from failure
        raise final_error(failure, self._attempts) from failure

    async def _send(self, attempt: Attempt) -> BufferedResponse | None:
        async with self._dispatcher.send(attempt) as response:
            if self._head is not None:
                self._head.check_continuation(response)
            check_response(response, self._adapter)
            self.status = response.status
            self.origin = response.origin
            if response.status not in SUCCESSES:
                return await self._error_response(response, attempt)
            await self._forward_events(response, attempt)
        self._dispatcher.record_completion(attempt, self.status)
        self._order.record_complete()
        await self._caller_response.end()
        return None

    async def _error_response(
        self,
        response: TargetResponse,
        attempt: Attempt,
    ) -> BufferedResponse:
        body = await response.read_body(require_end_marker=False)
        self.first_part_at = trio.current_time()
        self.body_bytes = len(body)
        self._dispatcher.record_completion(attempt, response.status)
        fields = self._adapter.caller_fields(response)
        buffered = BufferedResponse(
            response.status,
            fields,
            body,
            attempt.choice,
            response.origin,
            response.share,
        )
        response.share.keep_with(buffered)
        return buffered

    async def _forward_events(
        self,
        response: TargetResponse,
        attempt: Attempt,
    ) -> None:
        self._target_end = CUT
        parts = self._order.new_events(response.split_events())
        had_events = self._order.events
        async with aclosing(parts):
            async for part in parts:
                if self._order.events == had_events + 1:
                    self._parts += 1
                if not self._caller_response.has_begun:
                    self.first_part_at = trio.current_time()
                    self._record_start(attempt)
                    self._head = StreamHead.of(response)
                    await self._caller_response.begin(
                        response.status,
                        self._adapter.caller_fields(response),
                    )
                self._dispatcher.record_event(attempt)
                self.body_bytes += len(part)
                await self._caller_response.send_part(part)
        if not self._caller_response.has_begun:
            raise ResponseTruncated('The stream ended before its first event.')
        self._target_end = response.body_end.value

    def _record_start(self, attempt: Attempt) -> None:
        if not attempt.choice.is_handover:
            self._affinity.record_start(
                self._request, attempt.target, self.first_part_at
            )


def _resumed_after(request: RoutedRequest) -> str:
    """Return the id of the last event that the caller has, or ''."""
    stream = request.resumed_stream
    return stream.last_event_id if stream else ''
