"""Forwarding of event streams, with resumption on another target."""

import math
from contextlib import aclosing
from functools import partial

import trio

from peridotwell.attempt_errors import AttemptError, ResponseTruncated
from peridotwell.domain.target import Target
from peridotwell.errors import (
    ForwardedRequestQuarantined,
    NoTarget,
    RequestError,
)
from peridotwell.forwarding.adapters import RoutedRequest, TargetAdapter
from peridotwell.forwarding.answering.buffered_responses import (
    ANSWER_SECONDS,
    SUCCESSES,
    BufferedResponse,
    check_response,
    final_error,
    may_leave_target,
    without_target,
)
from peridotwell.forwarding.answering.caller_response import CallerResponse
from peridotwell.forwarding.choosing.waiting_room import WaitingRoom
from peridotwell.forwarding.sending.attempt import Attempt
from peridotwell.forwarding.sending.dispatch import Dispatcher
from peridotwell.forwarding.sending.retries import Attempts, RetryDecision
from peridotwell.forwarding.streams.event_order import EventOrder
from peridotwell.forwarding.streams.stream_affinity import StreamAffinity
from peridotwell.forwarding.streams.stream_ending import (
    StreamBroken,
    StreamEnding,
)
from peridotwell.forwarding.streams.stream_log import (
    RestAsked,
    StreamEnd,
    log_unusual_end,
)
from peridotwell.logs import log_failure
from peridotwell.policy.placement.choice import Choice
from peridotwell.serving.stream_head import StreamHead
from peridotwell.serving.target_response import (
    ResponseOrigin,
    TargetResponse,
)

__all__ = ('StreamBroken', 'StreamForwarder')

# How long the caller of a stream that may be complete waits for the next event
# or the end. Callers leave after two seconds without an event, or later.
REST_SECONDS = 1.0


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
            dispatcher.event_verdicts,
            request.request_id,
            request.service,
            _resumed_after(request),
        )
        self._ending = StreamEnding(dispatcher.stream_ends(request.service))
        # The version that began a stream that the caller has taken up.
        self._begun_version: int | None = None
        # Number of targets that sent events.
        self._parts = 0
        # Ends the wait for the first event of the rest of a stream.
        self._wait_for_rest = trio.CancelScope()
        # Set when the caller has received the beginning.
        self._head: StreamHead | None = None

    @property
    def origin(self) -> ResponseOrigin | None:
        """How the response of the last target came."""
        return self._ending.origin

    @property
    def end(self) -> StreamEnd:
        """How the stream ended."""
        is_handed_over = self.choice is not None and self.choice.is_handover
        return StreamEnd(
            self._ending.target_end,
            self._caller_response.passed_end,
            self._order,
            self._parts,
            is_handed_over,
            self._ending.rest,
            self._ending.verdict,
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
        self._begun_version = await self._affinity.version_of(self._request)
        error_response = await self._forward()
        if error_response is None:
            # Until no other target has sent more, or told that it is whole.
            while self._may_be_cut():
                if not await self._go_on():
                    break
            self._check_end(trio.current_time())
            self._order.record_complete()
            await self._caller_response.end()
        return error_response

    def _may_be_cut(self) -> bool:
        """Whether the end that came last may be a cut one, to be asked about.

        It has no mark, unlike others of its service, or unlike what the caller
        has received. Only a resumable stream can be asked for again. Another
        router has done so itself.
        """
        if self._ending.is_marked or self._ending.rest is RestAsked.no_rest:
            return False
        if self._is_begun_elsewhere:
            self._ending.rest = RestAsked.handed_over
            return False
        if self._caller_response.is_end_marked:
            return True
        if not self._request.route.resumable:
            self._ending.rest = RestAsked.not_resumable
            return False
        if not self._ending.are_marks_usual:
            self._ending.rest = RestAsked.marks_unusual
            return False
        return True

    async def _go_on(self) -> bool:
        """Let another target send the rest, and return whether it did.

        A complete stream has no rest. Raises StreamBroken if more events came
        and they broke off.
        """
        events = self._order.events
        log_failure(
            'stream.doubted',
            request=self._request.request_id,
            target=self.choice.target.name if self.choice else '',
            last=self._order.last_id,
            events=events,
        )
        now = trio.current_time()
        if not _may_go_on(self._order, self._affinity, self._request):
            self._ending.rest = RestAsked.no_ids
            return False
        if self._attempts.after_run(now) is RetryDecision.give_up:
            self._ending.rest = RestAsked.no_attempts
            return False
        self._ending.rest = RestAsked.no_answer
        wait_until = min(
            now + REST_SECONDS, self._request.deadline_at - ANSWER_SECONDS
        )
        with trio.CancelScope(deadline=wait_until) as wait:
            self._wait_for_rest = wait
            return await self._has_rest(events)
        return False

    async def _has_rest(self, events: int) -> bool:
        """Forward the rest after a number of events; return whether it came.

        An answer that there is none counts too.
        """
        doubted = self.choice.target if self.choice else None
        try:
            error_response = await self._forward()
        except RequestError:
            if self._order.events > events:
                self._ending.record_check(
                    doubted, trio.current_time(), is_whole=False
                )
                raise
            return False
        is_whole = self._order.events == events
        if is_whole and error_response is not None:
            return False
        self._ending.rest = RestAsked.no_rest if is_whole else RestAsked.came
        self._ending.record_check(
            doubted, trio.current_time(), is_whole=is_whole
        )
        return True

    def _check_end(self, now: float) -> None:
        """Raise StreamBroken at an end that may be a break."""
        self._ending.check(
            now,
            is_passed_end_marked=self._caller_response.is_end_marked,
            is_elsewhere=self._is_begun_elsewhere,
        )

    async def _forward(self) -> BufferedResponse | None:
        """Forward what targets send, to the end of a response."""
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
                await self._affinity.settle(self._request, choice.target)
                self._raise_unless_retried(exc, trio.current_time())

    async def _choose(self) -> Choice:
        try:
            self._dispatcher.check(self._request)
            return await self._waiting_room.choose(
                self._request,
                self._attempts.tried,
                self._required_software,
                may_hand_over=self._may_hand_over,
            )
        except (NoTarget, ForwardedRequestQuarantined) as exc:
            if self._attempts.may_return(trio.current_time()):
                return await self._choose()
            raise without_target(exc, self._attempts) from None

    def _may_leave(self, target: Target, now: float) -> bool:
        may_go_on = _may_go_on(self._order, self._affinity, self._request)
        if self._is_begun_elsewhere or not may_go_on:
            return False
        try:
            self._dispatcher.check(self._request)
        except ForwardedRequestQuarantined:
            return False
        return may_leave_target(
            self._attempts,
            self._waiting_room.selector,
            self._request,
            target,
            now,
            self._required_software,
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

    @property
    def _required_software(self) -> int | None:
        """The version that must go on with the stream; None if any may."""
        if self._caller_response.has_begun and self.choice is not None:
            return self.choice.target.software_id
        return self._begun_version

    def _raise_unless_retried(self, failure: AttemptError, now: float) -> None:
        """Return if another target may resume. Raises RequestError if not."""
        decision = self._attempts.after_failure(failure, now)
        may_go_on = _may_go_on(self._order, self._affinity, self._request)
        is_elsewhere = decision is RetryDecision.other_target
        if is_elsewhere and may_go_on and not self._is_begun_elsewhere:
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
            origin = self._ending.begin(
                response, is_handover=attempt.choice.is_handover
            )
            if response.status not in SUCCESSES:
                return await self._error_response(response, attempt)
            await self._forward_events(response, attempt, origin)
        self._dispatcher.record_completion(attempt, self.status)
        self._ending.record_mark()
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
            self.origin or response.origin,
            response.share,
        )
        response.share.keep_with(buffered)
        return buffered

    async def _forward_events(
        self,
        response: TargetResponse,
        attempt: Attempt,
        origin: ResponseOrigin,
    ) -> None:
        self._ending.begin_events()
        parts = self._order.new_events(
            response.split_events(),
            None if attempt.choice.is_handover else attempt.target,
        )
        had_events = self._order.events
        async with aclosing(parts):
            async for part in parts:
                if self._order.events == had_events + 1:
                    self._parts += 1
                    self._wait_for_rest.deadline = math.inf
                if not self._caller_response.has_begun:
                    self.first_part_at = trio.current_time()
                    self._record_start(attempt)
                    self._head = StreamHead.of(response)
                    await self._caller_response.begin(
                        response.status,
                        self._adapter.caller_fields(response),
                        is_end_marked=origin.is_end_marked,
                    )
                self._dispatcher.record_event(attempt)
                self.body_bytes += len(part)
                await self._caller_response.send_part(part)
        if not self._caller_response.has_begun:
            raise ResponseTruncated('The stream ended before its first event.')
        self._ending.record(response, attempt.target)

    def _record_start(self, attempt: Attempt) -> None:
        if not attempt.choice.is_handover:
            self._affinity.record_start(
                self._request, attempt.target, self.first_part_at
            )


def _may_go_on(
    order: EventOrder, affinity: StreamAffinity, request: RoutedRequest
) -> bool:
    """Return whether another target may send what follows.

    It needs the ids of events, and the version that sent the first one.
    """
    return order.may_go_on and not affinity.is_unproven(request)


def _resumed_after(request: RoutedRequest) -> str:
    """Return the id of the last event that the caller has, or ''."""
    stream = request.resumed_stream
    return stream.last_event_id if stream else ''
