"""The attempts of one call on its targets, with their failures."""

from collections.abc import AsyncIterator
from contextlib import aclosing, asynccontextmanager
from dataclasses import dataclass, replace

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
from peridotwell.errors import NoTarget, OutcomeUnknown, TargetFailed
from peridotwell.policy.placement import placement_hint
from peridotwell.policy.retry import RetryBudget, RetryPolicy, RetryStep
from peridotwell.serving.event_stream import (
    StreamEvent,
    split_events,
    validated_events,
)
from peridotwell.serving.placer import PlacementRequest, Placer
from peridotwell.serving.request_parser import forwarded_headers
from peridotwell.serving.target_client import ResponseTimeouts, TargetResponse
from peridotwell.serving.target_monitor import TargetMonitor

__all__ = ('BufferedResponse', 'RequestExecutor')

OK = 200
RETRY_AFTER_SECONDS = 2


@dataclass(frozen=True)
class BufferedResponse:
    """A complete answer of a target, and the target's number for hints."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    placement_hint: str


class RequestExecutor:
    """Sends one call until it is answered or given up.

    `was_dispatched` tells whether any target may have seen the call.
    """

    def __init__(
        self,
        call: CallerRequest,
        cfg: Defaults,
        placer: Placer,
        watch: TargetMonitor,
        budget: RetryBudget,
    ) -> None:
        budget.earn(cfg.retry_fraction)
        self.was_dispatched = False
        self.placement_hint = ''
        self._position = 0
        self._may_have_run = False
        self._call = call
        self._priority = cfg.priority
        self._patience = ResponseTimeouts(
            cfg.first_byte_seconds, cfg.silence_seconds
        )
        self._placer = placer
        self._watch = watch
        self._retries = RetryPolicy(budget, idempotent=call.is_idempotent)
        self._wish = PlacementRequest(call, is_suspect=watch.is_suspect(call))
        self._target: Target | None = None

    async def execute(self) -> BufferedResponse:
        """Return a complete answer.

        Raises NoTarget and Overloaded (not run), OutcomeUnknown for calls
        that are not idempotent, and TargetFailed for those that are.
        """
        while True:
            try:
                async with self._dispatch(0) as answer:
                    return await self._read_whole(answer)
            except AttemptError as exc:
                await self._decide(exc, 0)

    async def stream_events(
        self,
        received: int,
    ) -> AsyncIterator[StreamEvent | BufferedResponse]:
        """Yield the events after token `received`, resuming on failures.

        An answer with another status than 200 is yielded whole instead.
        """
        self._position = received
        while True:
            try:
                async with aclosing(self._one_stream()) as stream:
                    async for part in stream:
                        yield part
            except AttemptError as exc:
                await self._decide(exc, self._position)
            else:
                return

    async def _one_stream(
        self,
    ) -> AsyncIterator[StreamEvent | BufferedResponse]:
        async with self._dispatch(self._position) as answer:
            if answer.status != OK:
                yield await self._read_whole(answer)
                return
            async with aclosing(self._checked(answer)) as checked:
                async for event in checked:
                    self._position = event.position or self._position
                    yield event

    async def _read_whole(self, answer: TargetResponse) -> BufferedResponse:
        return BufferedResponse(
            answer.status,
            forwarded_headers(answer.fields),
            await answer.read_body(),
            self.placement_hint,
        )

    async def _checked(
        self, answer: TargetResponse
    ) -> AsyncIterator[StreamEvent]:
        request_id = self._call.request_id
        received = self._position
        async with (
            aclosing(answer.body_chunks()) as parts,
            aclosing(split_events(parts)) as raw,
            aclosing(validated_events(raw, received, request_id)) as events,
        ):
            async for event in events:
                yield event

    @asynccontextmanager
    async def _dispatch(self, received: int) -> AsyncIterator[TargetResponse]:
        wish = self._wish
        target = await self._placer.place(wish)
        self._target = target
        self.placement_hint = placement_hint(target)
        request = _make_request(self._call, target, received, self._priority)
        link = self._watch.client(target)
        sending = link.send(
            request,
            self._patience,
            new_connection=not self._call.is_idempotent,
            require_request_id=self._call.contract.echoes_request_id,
        )
        self.was_dispatched = True
        try:
            async with sending as answer:
                yield answer
        finally:
            self._placer.release(wish, target)
        self._watch.answered(target, self._call)

    async def _decide(self, failure: AttemptError, received: int) -> None:
        """Prepare the next attempt, or raise what the caller is told."""
        target = self._target
        self._may_have_run = self._may_have_run or failure.may_have_run
        self.was_dispatched = self._may_have_run
        await self._note(failure, target)
        step = self._retries.next_step(failure, received)
        if step is RetryStep.give_up:
            raise self._final_error(failure) from failure
        self._wish = replace(
            self._wish,
            preferred_target='',
            is_suspect=self._watch.is_suspect(self._call),
        )
        if step is RetryStep.same_target:
            self._wish = replace(self._wish, preferred_target=target.name)
        else:
            excluded_targets = self._wish.excluded_targets | {target.name}
            self._wish = replace(self._wish, excluded_targets=excluded_targets)

    async def _note(self, failure: AttemptError, target: Target) -> None:
        match failure:
            case ConnectionFailed():
                self._watch.unreachable(target)
            case RefusedByTarget():
                self._watch.refused(target, str(failure))
            case ResponseLost() | ResponseTruncated():
                await self._watch.check_lost(target, self._call)

    def _final_error(self, failure: AttemptError) -> Exception:
        if not failure.may_have_run:
            return NoTarget(
                'No target took the request: send it again later.',
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )
        if self._call.is_idempotent:
            return TargetFailed(
                f'Targets failed to answer ({failure.code}): send the '
                'request again.',
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )
        return OutcomeUnknown(
            f'The target failed while it may have run the request '
            f'({failure.code}): check the books; it will not be run again.',
        )


def _make_request(
    call: CallerRequest,
    target: Target,
    received: int,
    priority: int,
) -> httpcore.Request:
    headers = dict(call.headers)
    headers['host'] = target.address
    headers['x-request-id'] = call.request_id
    headers['x-priority'] = str(priority)
    headers['content-length'] = str(len(call.body))
    if received:
        headers['last-event-id'] = str(received)
    return httpcore.Request(
        call.method,
        f'http://{target.address}{call.path}',
        headers=[
            (name.encode('latin-1'), text.encode('latin-1'))
            for name, text in headers.items()
        ],
        content=call.body,
    )
