"""Requests with a whole answer: sent, judged, sent again where allowed."""

from dataclasses import dataclass

import trio

from peridotwell.attempt_errors import AttemptError
from peridotwell.errors import NoTarget, RequestError, TargetFailed
from peridotwell.forwarding.adapters import (
    HeaderFields,
    RoutedRequest,
    TargetAdapter,
)
from peridotwell.forwarding.dispatch import (
    SERVER_ERRORS,
    Attempt,
    Dispatcher,
)
from peridotwell.forwarding.retries import Attempts, RetryDecision
from peridotwell.forwarding.target_selection import TargetSelector
from peridotwell.policy.choice import Choice
from peridotwell.serving.target_client import TargetResponse

__all__ = (
    'SUCCESSES',
    'BufferedResponse',
    'ResponseUnusable',
    'BufferedResponseForwarder',
    'check_answer',
    'give_up',
)

FIRST_SUCCESS, FIRST_REDIRECT = 200, 300
SUCCESSES = range(FIRST_SUCCESS, FIRST_REDIRECT)
REFUSED_RETRY_SECONDS = 0.3


@dataclass(frozen=True)
class BufferedResponse:
    """A whole answer of a target, ready for the caller."""

    status: int
    fields: HeaderFields
    body: bytes
    choice: Choice

    @property
    def is_failure(self) -> bool:
        """Whether the target failed to do the work."""
        return self.status >= SERVER_ERRORS


class ResponseUnusable(AttemptError):
    """The target answered what may not be handed on."""

    code = 'answer_unusable'


class BufferedResponseForwarder:
    """Gets whole answers."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        placement: TargetSelector,
        adapter: TargetAdapter,
    ) -> None:
        self._dispatcher = dispatcher
        self._placement = placement
        self._adapter = adapter

    async def get(
        self, call: RoutedRequest, attempts: Attempts
    ) -> BufferedResponse:
        """Return the best answer. Raises RequestError."""
        failed: BufferedResponse | None = None
        while True:
            try:
                outcome = await self._next(call, attempts)
            except NoTarget as exc:
                return _best(failed, exc)
            if isinstance(outcome, BufferedResponse):
                if not outcome.is_failure:
                    return outcome
                failed = outcome
            if _verdict(attempts, outcome) is RetryDecision.give_up:
                return _best(failed, give_up(outcome, attempts))

    async def _next(
        self,
        call: RoutedRequest,
        attempts: Attempts,
    ) -> BufferedResponse | AttemptError:
        now = trio.current_time()
        choice = self._placement.choose(call, attempts.tried, now)
        number = attempts.begin(choice.target.name)
        try:
            return await self._try(Attempt(call, choice, number))
        except AttemptError as exc:
            return exc

    async def _try(self, sending: Attempt) -> BufferedResponse:
        async with self._dispatcher.send(sending) as answer:
            check_answer(answer, self._adapter)
            body = await answer.read_body(require_end_marker=False)
            reply = BufferedResponse(
                answer.status,
                self._adapter.caller_fields(answer),
                body,
                sending.choice,
            )
        self._dispatcher.record_completion(sending, reply.status)
        return reply


def check_answer(answer: TargetResponse, adapter: TargetAdapter) -> None:
    """Raise Unusable for an answer that may not reach a caller."""
    if answer.status in SUCCESSES and not adapter.has_receipt(answer):
        raise ResponseUnusable('A success without the proof of the target.')
    if not adapter.may_forward(answer):
        raise ResponseUnusable(
            f'Status {answer.status} after the work may have run.'
        )


def give_up(failure: object, attempts: Attempts) -> RequestError:
    """Return the error that the caller gets after the last attempt."""
    if attempts.may_have_run:
        return TargetFailed(
            f'The target gave no whole answer ({failure}): check what it did '
            'before sending again.',
        )
    return NoTarget(
        f'No target took the request ({failure}): send it again later.',
        retry_after_seconds=REFUSED_RETRY_SECONDS,
    )


def _best(
    failed: BufferedResponse | None, error: RequestError
) -> BufferedResponse:
    """Return a target's own failure if there is one, else raise `error`."""
    if failed is None:
        raise error
    return failed


def _verdict(
    attempts: Attempts, outcome: BufferedResponse | AttemptError
) -> RetryDecision:
    now = trio.current_time()
    if isinstance(outcome, BufferedResponse):
        return attempts.after_run(now)
    return attempts.after_failure(outcome, now)
