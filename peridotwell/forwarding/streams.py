"""Event streams: passed on as they come, resumed where that is allowed."""

from collections.abc import AsyncIterator
from contextlib import aclosing

import trio

from peridotwell.attempt_errors import AttemptError, ResponseTruncated
from peridotwell.errors import RequestError, RunState
from peridotwell.forwarding.adapters import RoutedRequest, TargetAdapter
from peridotwell.forwarding.buffered_responses import (
    SUCCESSES,
    BufferedResponse,
    ResponseUnusable,
    check_answer,
    give_up,
)
from peridotwell.forwarding.caller_response import CallerResponse
from peridotwell.forwarding.dispatch import Attempt, Dispatcher
from peridotwell.forwarding.retries import Attempts, RetryDecision
from peridotwell.forwarding.target_selection import TargetSelector
from peridotwell.policy.choice import Choice
from peridotwell.serving.event_stream import split_events
from peridotwell.serving.target_client import TargetResponse

__all__ = ('StreamBroken', 'StreamForwarder')

ID_FIELD = b'id:'


class StreamBroken(RequestError):
    """A stream ended early after the caller had its beginning.

    The connection is closed without the end of the body, so that the stream
    does not look whole.
    """

    code = 'stream_broken'
    status = 502
    default_run_state = RunState.unknown


class StreamForwarder:
    """One stream from its first attempt to its end."""

    def __init__(
        self,
        call: RoutedRequest,
        reply: CallerResponse,
        attempts: Attempts,
        dispatcher: Dispatcher,
        placement: TargetSelector,
        adapter: TargetAdapter,
    ) -> None:
        self.choice: Choice | None = None
        self.status = 0
        self.first_part_at = float(0)
        self._call = call
        self._reply = reply
        self._attempts = attempts
        self._dispatcher = dispatcher
        self._placement = placement
        self._adapter = adapter
        self._last_id = ''

    async def run(self) -> BufferedResponse | None:
        """Pass the stream on to its end.

        Returns the target's answer if that is no stream but a failure, which
        is still to be sent to the caller. Raises RequestError.
        """
        while True:
            now = trio.current_time()
            choice = self._placement.choose(
                self._call,
                self._attempts.tried,
                now,
            )
            number = self._attempts.begin(choice.target.name)
            self.choice = choice
            sending = Attempt(self._call, choice, number, self._last_id)
            try:
                return await self._try(sending)
            except AttemptError as exc:
                self._decide(exc, trio.current_time())

    def _decide(self, failure: AttemptError, now: float) -> None:
        """Return if the stream goes on elsewhere. Raises RequestError."""
        verdict = self._attempts.after_failure(failure, now)
        if verdict is RetryDecision.elsewhere:
            return
        if self._reply.has_begun:
            raise StreamBroken(f'The stream was cut: {failure}') from failure
        raise give_up(failure, self._attempts) from failure

    async def _try(self, sending: Attempt) -> BufferedResponse | None:
        async with self._dispatcher.send(sending) as answer:
            check_answer(answer, self._adapter)
            self.status = answer.status
            if answer.status not in SUCCESSES:
                return await self._failure(answer, sending)
            await self._pass_events(answer, sending)
        self._dispatcher.record_completion(sending, self.status)
        await self._reply.end()
        return None

    async def _failure(
        self,
        answer: TargetResponse,
        sending: Attempt,
    ) -> BufferedResponse:
        if self._reply.has_begun:
            raise ResponseUnusable(
                f'Status {answer.status} instead of a stream.'
            )
        body = await answer.read_body(require_end_marker=False)
        self.first_part_at = trio.current_time()
        self._dispatcher.record_completion(sending, answer.status)
        fields = self._adapter.caller_fields(answer)
        return BufferedResponse(answer.status, fields, body, sending.choice)

    async def _pass_events(
        self,
        answer: TargetResponse,
        sending: Attempt,
    ) -> None:
        chunks = answer.body_chunks()
        if self._call.route.resumable:
            chunks = self._new_events(chunks)
        async with aclosing(chunks):
            async for chunk in chunks:
                if not self._reply.has_begun:
                    self.first_part_at = trio.current_time()
                    await self._reply.begin(
                        answer.status,
                        self._adapter.caller_fields(answer),
                    )
                self._dispatcher.record_activity(sending)
                await self._reply.send_part(chunk)
        if not self._reply.has_begun:
            raise ResponseTruncated('The stream ended before its first event.')

    async def _new_events(
        self,
        parts: AsyncIterator[bytes],
    ) -> AsyncIterator[bytes]:
        """Yield whole events that the caller does not have yet."""
        async for event in split_events(parts, yield_remainder=True):
            event_id = _event_id(event)
            if event_id and not _is_after(event_id, self._last_id):
                continue
            if event_id:
                self._last_id = event_id
            yield event


def _event_id(event: bytes) -> str:
    for line in event.split(b'\n'):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode('latin-1')
    return ''


def _is_after(event_id: str, last_id: str) -> bool:
    """Whether an event is newer; ids that are no numbers always are."""
    if event_id.isdigit() and last_id.isdigit():
        return int(event_id) > int(last_id)
    return True
