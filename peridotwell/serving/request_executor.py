"""Runs one request on targets and retries failed attempts."""

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing, asynccontextmanager
from dataclasses import dataclass, replace
from functools import partial

import httpcore

from peridotwell.attempt_errors import (
    AttemptError,
    ConnectionFailed,
    RefusedByTarget,
    ResponseLost,
    ResponseTruncated,
)
from peridotwell.domain.caller_request import CallerRequest
from peridotwell.domain.configuration import Defaults
from peridotwell.domain.target import Target
from peridotwell.errors import (
    NoTarget,
    OutcomeUnknown,
    PeridotwellError,
    RequestError,
    TargetFailed,
)
from peridotwell.policy.placement.placement import placement_hint
from peridotwell.policy.retries.retry import RetryBudget, RetryPolicy, RetryStep
from peridotwell.policy.room.buffer_budget import BufferShare
from peridotwell.serving.event_stream import (
    StreamEvent,
    validated_events,
)
from peridotwell.serving.placer import PlacementRequest, Placer
from peridotwell.serving.request_parser import forwarded_headers
from peridotwell.serving.stream_head import StreamHead
from peridotwell.serving.target_client import ResponseTimeouts
from peridotwell.serving.target_monitor import TargetMonitor
from peridotwell.serving.target_response import TargetResponse

__all__ = ('BufferedResponse', 'RequestExecutor')

OK = 200
RETRY_AFTER_SECONDS = 2


@dataclass(frozen=True)
class BufferedResponse:
    """A complete response of a target.

    `placement_hint` identifies the target in later requests of the chat,
    `share` is the memory that the response takes.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    placement_hint: str
    share: BufferShare | None = None


class RequestExecutor:
    """Sends one request until a target responds or no retry is allowed.

    `was_dispatched` tells whether a target may have run the request.
    `placement_hint` identifies the target of the latest attempt.
    """

    def __init__(
        self,
        request: CallerRequest,
        cfg: Defaults,
        placer: Placer,
        monitor: TargetMonitor,
        budget: RetryBudget,
    ) -> None:
        budget.earn(cfg.retry_fraction)
        self.was_dispatched = False
        self.placement_hint = ''
        self._position = 0
        self._may_have_run = False
        self._request = request
        self._priority = cfg.priority
        self._timeouts = ResponseTimeouts(
            cfg.first_byte_seconds, cfg.silence_seconds
        )
        self._placer = placer
        self._monitor = monitor
        self._retries = RetryPolicy(budget, idempotent=request.is_idempotent)
        self._placement_request = PlacementRequest(
            request, is_suspect=monitor.is_suspect(request)
        )
        self._target: Target | None = None
        # Set when an event of the stream was received.
        self._head: StreamHead | None = None

    async def execute(self) -> BufferedResponse:
        """Return the complete response of a target.

        Raises NoTarget and Overloaded if the request was not run. If it may
        have run, raises TargetFailed for an idempotent request and
        OutcomeUnknown for any other.
        """
        while True:
            try:
                async with self._send_to_target(0) as response:
                    return await self._read_response(response)
            except AttemptError as exc:
                await self._prepare_retry(exc, 0)

    async def stream_events(
        self,
        received: int,
    ) -> AsyncGenerator[StreamEvent | BufferedResponse, None]:
        """Yield the events after token number `received`.

        After a failure, the stream is resumed after the last event received.
        A response with a status other than 200 is yielded as one
        BufferedResponse instead.
        """
        self._position = received
        while True:
            try:
                async with aclosing(self._stream_once()) as stream:
                    async for part in stream:
                        yield part
            except AttemptError as exc:
                await self._prepare_retry(exc, self._position)
            else:
                return

    async def _stream_once(
        self,
    ) -> AsyncGenerator[StreamEvent | BufferedResponse, None]:
        async with self._send_to_target(self._position) as response:
            if self._head is not None:
                self._head.check_continuation(response)
            if response.status != OK:
                yield await self._read_response(response)
                return
            async with aclosing(self._validated_events(response)) as events:
                async for event in events:
                    self._record_sign()
                    self._position = event.position or self._position
                    self._head = self._head or StreamHead.of(response)
                    yield event

    def _record_sign(self) -> None:
        if self._target is not None:
            self._monitor.record_sign(self._target)

    async def _read_response(
        self, response: TargetResponse
    ) -> BufferedResponse:
        buffered = BufferedResponse(
            response.status,
            forwarded_headers(response.fields),
            await response.read_body(),
            self.placement_hint,
            response.share,
        )
        response.share.keep_with(buffered)
        return buffered

    async def _validated_events(
        self, response: TargetResponse
    ) -> AsyncGenerator[StreamEvent, None]:
        request_id = self._request.request_id
        received = self._position
        async with (
            aclosing(response.split_events()) as raw_events,
            aclosing(
                validated_events(raw_events, received, request_id)
            ) as events,
        ):
            async for event in events:
                yield event

    @asynccontextmanager
    async def _send_to_target(
        self, received: int
    ) -> AsyncIterator[TargetResponse]:
        placement_request = self._placement_request
        target = await self._place(placement_request)
        self._target = target
        self.placement_hint = placement_hint(target)
        http_request = _build_http_request(
            self._request, target, received, self._priority
        )
        self.was_dispatched = True
        try:
            async with self._open_response(target, http_request) as response:
                self._monitor.record_sign(target)
                yield response
        finally:
            self._placer.release(placement_request, target)
        self._monitor.record_response(target, self._request)

    @asynccontextmanager
    async def _open_response(
        self, target: Target, http_request: httpcore.Request
    ) -> AsyncIterator[TargetResponse]:
        """Yield the response, unless the request is taken back before."""
        with self._monitor.outstanding.track(
            target,
            self._request.request_id,
            _kind(self._request),
        ) as outstanding:
            response_context = self._monitor.client(target).send(
                http_request,
                self._timeouts,
                new_connection=not self._request.is_idempotent,
                require_request_id=self._request.contract.echoes_request_id,
                before_send=partial(
                    self._monitor.begin_sending, target, outstanding
                ),
            )
            async with outstanding.open(response_context) as response:
                yield response

    async def _place(self, placement_request: PlacementRequest) -> Target:
        """Return a target. Raises RequestError.

        It says "not run" only if no earlier attempt may have run the request.
        """
        try:
            return await self._placer.place(placement_request)
        except RequestError as exc:
            if self._may_have_run:
                raise self._build_error(exc) from exc
            raise

    async def _prepare_retry(
        self, failure: AttemptError, received: int
    ) -> None:
        """Prepare the next attempt, or raise the error for the caller."""
        target = self._target
        if target is None:
            raise failure
        self._may_have_run = self._may_have_run or failure.may_have_run
        self.was_dispatched = self._may_have_run
        await self._record_failure(failure, target)
        step = self._retries.next_step(failure, received)
        if step is RetryStep.give_up:
            raise self._build_error(failure) from failure
        self._placement_request = replace(
            self._placement_request,
            preferred_target='',
            is_suspect=self._monitor.is_suspect(self._request),
        )
        if step is RetryStep.same_target:
            self._placement_request = replace(
                self._placement_request, preferred_target=target.name
            )
        else:
            excluded_targets = self._placement_request.excluded_targets | {
                target.name
            }
            self._placement_request = replace(
                self._placement_request, excluded_targets=excluded_targets
            )

    async def _record_failure(
        self, failure: AttemptError, target: Target
    ) -> None:
        match failure:
            case ConnectionFailed():
                self._monitor.record_connection_failure(target)
            case RefusedByTarget():
                self._monitor.record_refusal(target, str(failure))
            case ResponseLost() | ResponseTruncated():
                await self._monitor.check_for_loss(target, self._request)

    def _build_error(self, failure: PeridotwellError) -> RequestError:
        if not self._may_have_run:
            return NoTarget(
                'No target accepted the request: send it again later.',
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )
        if self._request.is_idempotent:
            return TargetFailed(
                f'Targets failed to respond ({failure.code}): send the '
                'request again.',
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )
        return OutcomeUnknown(
            f'The target failed and may have run the request ({failure.code}): '
            'check whether it took effect; it will not be run again.',
        )


def _kind(request: CallerRequest) -> str:
    """Return the kind of a request for the logs."""
    return 'idempotent' if request.is_idempotent else 'non_idempotent'


def _build_http_request(
    request: CallerRequest,
    target: Target,
    received: int,
    priority: int,
) -> httpcore.Request:
    headers = dict(request.headers)
    headers['host'] = target.address
    headers['x-request-id'] = request.request_id
    headers['x-priority'] = str(priority)
    headers['content-length'] = str(len(request.body))
    if received:
        headers['last-event-id'] = str(received)
    return httpcore.Request(
        request.method,
        f'http://{target.address}{request.path}',
        headers=[
            (name.encode('latin-1'), text.encode('latin-1'))
            for name, text in headers.items()
        ],
        content=request.body,
        # The URL lacks the question mark of an empty query.
        extensions={'target': request.path.encode('latin-1')},
    )
