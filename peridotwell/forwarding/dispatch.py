"""One request on one target, with what is learned from its outcome."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import httpcore
import trio

from peridotwell.attempt_errors import (
    AttemptError,
    ConnectionFailed,
    RefusedByTarget,
    ResponseLost,
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
from peridotwell.forwarding.crash_tracker import CrashTracker
from peridotwell.forwarding.links import Links
from peridotwell.forwarding.target_tracker import TargetTracker
from peridotwell.logs import log_event, log_failure
from peridotwell.policy.choice import Choice
from peridotwell.serving.target_client import ResponseTimeouts, TargetResponse

__all__ = ('SERVER_ERRORS', 'Dispatcher', 'Attempt', 'is_target_error')

BODILESS_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS', 'DELETE', 'TRACE'))
LEAST_PATIENCE_SECONDS = 0.01
SERVER_ERRORS = 500
GATEWAY_TIMEOUT = 504
# Repeatable work goes elsewhere after this multiple of its objective.
SILENT_OBJECTIVES = 2
STREAM_SILENT_OBJECTIVES = 3
LEAST_SILENT_SECONDS = 0.2


@dataclass(frozen=True)
class Attempt:
    """One attempt: `resume_after` names the last event the caller has."""

    call: RoutedRequest
    choice: Choice
    number: int
    resume_after: str = ''

    @property
    def target(self) -> Target:
        """The target that runs it."""
        return self.choice.target


class Dispatcher:
    """Sends requests to targets and judges the targets by the outcome."""

    def __init__(
        self,
        links: Links,
        book: TargetTracker,
        adapter: TargetAdapter,
        suspects: CrashTracker,
    ) -> None:
        self._suspects = suspects
        self._links = links
        self._book = book
        self._adapter = adapter

    @asynccontextmanager
    async def send(self, sending: Attempt) -> AsyncIterator[TargetResponse]:
        """Send and yield the answer. Raises AttemptError."""
        began_at = trio.current_time()
        call = sending.call
        choice = sending.choice
        self._book.record_start(call, choice, began_at)
        is_read = False
        try:
            async with self._answer(sending) as answer:
                is_read = True
                self._book.record_prefill_end(call, choice)
                self.record_activity(sending)
                seconds = trio.current_time() - began_at
                self._book.record_first_part(call, choice, seconds)
                yield answer
        except AttemptError as exc:
            self._note_failure(sending, exc)
            raise
        finally:
            if not is_read:
                self._book.record_prefill_end(call, choice)
            self._book.record_end(sending.target)

    def record_activity(self, sending: Attempt) -> None:
        """Book that a part of an answer has arrived."""
        self._book.record_activity(sending.target, trio.current_time())

    def record_completion(self, sending: Attempt, status: int) -> None:
        """Count a whole answer; errors of the target count against it."""
        self._suspects.clear(sending.call)
        name = sending.target.name
        if not is_target_error(status):
            self._book.ejection.record_success(name)
        elif self._book.ejection.record_error_response(
            name, trio.current_time()
        ):
            log_event('target.set_aside', target=name, code=f'status_{status}')

    @asynccontextmanager
    async def _answer(self, sending: Attempt) -> AsyncIterator[TargetResponse]:
        call = sending.call
        target = sending.target
        now = trio.current_time()
        request = httpcore.Request(
            call.method,
            httpcore.URL(
                scheme=b'http',
                host=target.address.rpartition(':')[0].encode(),
                port=int(target.address.rpartition(':')[2]),
                target=call.target_path,
            ),
            headers=(
                *self._adapter.request_fields(
                    TargetRequest(
                        call,
                        target,
                        now,
                        sending.resume_after,
                        sending.choice.fetch_from,
                    ),
                ),
                *_length_field(call),
            ),
            content=call.body,
        )
        link = self._links.link(target)
        async with link.send(
            request,
            _patience(call, now),
            new_connection=not self._book.may_reuse_connection(
                call, target, now
            ),
            require_request_id=True,
        ) as answer:
            reported = self._adapter.reported_load(answer)
            if reported is not None:
                self._book.record_report(
                    target,
                    reported,
                    trio.current_time(),
                )
            yield answer

    def _note_failure(self, sending: Attempt, exc: AttemptError) -> None:
        name = sending.target.name
        now = trio.current_time()
        self._suspects.schedule_check(sending.call, sending.target, exc)
        is_gone = isinstance(exc, ConnectionFailed | TargetReplaced)
        counts = is_gone or not isinstance(exc, RefusedByTarget)
        if counts and self._book.ejection.record_failure(
            name,
            now,
            is_unreachable=is_gone,
        ):
            log_event('target.set_aside', target=name, code=exc.code)
        if isinstance(exc, ConnectionFailed | ResponseLost | ResponseTruncated):
            self._note_broken(sending.target, exc, now)
        log_failure(
            'attempt.failed',
            request=sending.call.request_id,
            target=name,
            attempt=sending.number,
            code=exc.code,
            error=str(exc),
            may_have_run=exc.may_have_run,
        )

    def _note_broken(
        self,
        target: Target,
        exc: AttemptError,
        now: float,
    ) -> None:
        data_centre = target.pool.data_centre
        if self._book.data_centres.record_connection_failure(
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
    """Whether a status tells of a target's error, not of its deadline."""
    return status >= SERVER_ERRORS and status != GATEWAY_TIMEOUT


def _length_field(call: RoutedRequest) -> HeaderFields:
    if not call.body and call.method in BODILESS_METHODS:
        return ()
    return ((b'content-length', str(len(call.body)).encode()),)


def _patience(call: RoutedRequest, now: float) -> ResponseTimeouts:
    """Return how long to wait for an attempt's parts."""
    left = max(call.deadline_at - now, LEAST_PATIENCE_SECONDS)
    if not call.route.may_repeat:
        return ResponseTimeouts(left, left)
    is_stream = call.route.kind is RequestKind.streaming
    multiple = STREAM_SILENT_OBJECTIVES if is_stream else SILENT_OBJECTIVES
    silent = max(
        multiple * call.route.objective_seconds,
        LEAST_SILENT_SECONDS,
    )
    return ResponseTimeouts(min(left, silent), min(left, silent))
