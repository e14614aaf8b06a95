"""Calls that must not run twice: claimed first, then sent once.

The work goes on when the caller leaves, so that the caller's resend with the
same key gets the answer.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from peridotwell.domain.caller_request import CallerRequest
from peridotwell.domain.idempotency_key import check_idempotency_key
from peridotwell.errors import (
    DeadlineExceeded,
    IdempotencyKeyMissing,
    OutcomeUnknown,
    RequestError,
    RunState,
)
from peridotwell.serving.request_executor import (
    BufferedResponse,
    RequestExecutor,
)
from peridotwell.store.claims import (
    Claim,
    ClaimState,
    ClaimStore,
    StoredResponse,
)

__all__ = ('AtMostOnceExecutor', 'require_idempotency_key')

MAX_KEPT_BYTES = 65_536
# How much longer than its deadline a resend is told that the work runs.
CLAIM_MARGIN_SECONDS = 5
RETRY_AFTER_SECONDS = 2


def require_idempotency_key(
    call: CallerRequest, window_seconds: float, wall: float
) -> None:
    """Refuse a call without a usable idempotency key."""
    if not call.idempotency_key:
        raise IdempotencyKeyMissing(
            f'{call.method} {call.contract.prefix} must not run twice: send '
            'an Idempotency-Key header, best a UUID of version 7.',
        )
    check_idempotency_key(call.idempotency_key, window_seconds, wall)


@dataclass
class _Work:
    """The work for one call, and its end."""

    call: CallerRequest
    attempts: RequestExecutor
    check: Callable[[], None]
    ended: trio.Event = field(default_factory=trio.Event)
    answer: BufferedResponse | None = None
    error: RequestError | None = None


class AtMostOnceExecutor:
    """Runs bookings in `nursery`, apart from their callers' connections."""

    def __init__(self, claims: ClaimStore, nursery: trio.Nursery) -> None:
        self._claims = claims
        self._nursery = nursery

    async def run(
        self,
        call: CallerRequest,
        attempts: RequestExecutor,
        wall: float,
        check: Callable[[], None],
    ) -> BufferedResponse:
        """Run a call at most once and return its answer.

        `wall` is the present time in seconds since the epoch. `check` may
        refuse the call; it is asked after the claim, so that a resend of
        work that ran is never told that it did not. Raises a RequestError whose
        run state tells whether a target ran the call.
        """
        work = _Work(call, attempts, check)
        self._nursery.start_soon(self._work, work, wall)
        await work.ended.wait()
        if work.answer is None:
            raise work.error or OutcomeUnknown('The work ended early.')
        return work.answer

    async def _work(self, work: _Work, wall: float) -> None:
        try:
            work.answer = await self._claim_and_run(work, wall)
        except RequestError as exc:
            work.error = exc
        finally:
            work.ended.set()

    async def _claim_and_run(
        self, work: _Work, wall: float
    ) -> BufferedResponse:
        call = work.call
        remaining = call.deadline_at - trio.current_time()
        ends_by = wall + remaining + CLAIM_MARGIN_SECONDS
        claim = await self._claims.claim(call, ends_by, wall)
        if isinstance(claim, StoredResponse):
            return _again(claim)
        try:
            work.check()
            with trio.fail_at(call.deadline_at):
                answer = await work.attempts.execute()
        except RequestError as exc:
            await self._settle_failure(claim, exc.run_state)
            raise
        except trio.TooSlowError:
            error = _late(work.attempts)
            await self._settle_failure(claim, error.run_state)
            raise error from None
        await self._claims.settle(claim, ClaimState.done, _kept(answer))
        return answer

    async def _settle_failure(self, claim: Claim, ran: RunState) -> None:
        state = ClaimState.unknown
        if ran is RunState.not_run:
            state = ClaimState.not_run
        await self._claims.settle(claim, state)


def _late(attempts: RequestExecutor) -> RequestError:
    if attempts.was_dispatched:
        return OutcomeUnknown(
            'The target did not answer before the deadline and may have run '
            'the request: check the books; it will not be run again.',
        )
    return DeadlineExceeded(
        'The deadline passed before a target took the request: send it again '
        'with the same key and allow more time.',
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )


def _kept(answer: BufferedResponse) -> StoredResponse:
    body = answer.body if len(answer.body) <= MAX_KEPT_BYTES else None
    return StoredResponse(answer.status, answer.headers, body)


def _again(kept: StoredResponse) -> BufferedResponse:
    if kept.body is None:
        raise OutcomeUnknown(
            'The request ran; its answer was too large to keep: look the '
            'result up in the books.',
            run_state=RunState.ran,
        )
    return BufferedResponse(kept.status, kept.headers, kept.body, '')
