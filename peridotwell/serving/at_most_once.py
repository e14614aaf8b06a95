"""Runs requests that must not run twice: claims the key, then sends once.

A request continues to run when its caller disconnects, so that a resend with
the same idempotency key receives the response.
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

MAX_STORED_BYTES = 65_536
# For this time after a request's deadline, its claim still counts as running
# and a resend is refused with RequestInProgress.
CLAIM_MARGIN_SECONDS = 5
RETRY_AFTER_SECONDS = 2


def require_idempotency_key(
    request: CallerRequest, window_seconds: float, wall_time: float
) -> None:
    """Reject a request without a valid idempotency key."""
    if not request.idempotency_key:
        raise IdempotencyKeyMissing(
            f'{request.method} {request.contract.prefix} must not run '
            'twice: send an Idempotency-Key header, preferably a UUID of '
            'version 7.',
        )
    check_idempotency_key(request.idempotency_key, window_seconds, wall_time)


@dataclass
class _Execution:
    """One request being run, and its outcome once `ended` is set."""

    request: CallerRequest
    executor: RequestExecutor
    check: Callable[[], None]
    ended: trio.Event = field(default_factory=trio.Event)
    response: BufferedResponse | None = None
    error: RequestError | None = None


class AtMostOnceExecutor:
    """Runs requests in `nursery`, independently of callers' connections."""

    def __init__(self, claims: ClaimStore, nursery: trio.Nursery) -> None:
        self._claims = claims
        self._nursery = nursery

    async def run(
        self,
        request: CallerRequest,
        executor: RequestExecutor,
        wall_time: float,
        check: Callable[[], None],
    ) -> BufferedResponse:
        """Run a request at most once and return its response.

        `wall_time` is the current time in seconds since the epoch. `check`
        raises a RequestError to reject the request. It is called after the
        key was claimed, so that a resend of a request that has run is never
        reported as not run. Raises a RequestError whose run state tells
        whether a target ran the request.
        """
        execution = _Execution(request, executor, check)
        self._nursery.start_soon(self._execute, execution, wall_time)
        await execution.ended.wait()
        if execution.response is None:
            raise execution.error or OutcomeUnknown(
                'The request ended without a response.'
            )
        return execution.response

    async def _execute(self, execution: _Execution, wall_time: float) -> None:
        try:
            execution.response = await self._claim_and_run(execution, wall_time)
        except RequestError as exc:
            execution.error = exc
        finally:
            execution.ended.set()

    async def _claim_and_run(
        self, execution: _Execution, wall_time: float
    ) -> BufferedResponse:
        request = execution.request
        remaining = request.deadline_at - trio.current_time()
        ends_by = wall_time + remaining + CLAIM_MARGIN_SECONDS
        claim = await self._claims.claim(request, ends_by, wall_time)
        if isinstance(claim, StoredResponse):
            return _restore_response(claim)
        try:
            execution.check()
            with trio.fail_at(request.deadline_at):
                response = await execution.executor.execute()
        except RequestError as exc:
            await self._settle_failure(claim, exc.run_state)
            raise
        except trio.TooSlowError:
            error = _deadline_error(execution.executor)
            await self._settle_failure(claim, error.run_state)
            raise error from None
        await self._claims.settle(
            claim, ClaimState.done, _store_response(response)
        )
        return response

    async def _settle_failure(self, claim: Claim, run_state: RunState) -> None:
        state = ClaimState.unknown
        if run_state is RunState.not_run:
            state = ClaimState.not_run
        await self._claims.settle(claim, state)


def _deadline_error(executor: RequestExecutor) -> RequestError:
    if executor.was_dispatched:
        return OutcomeUnknown(
            'The target did not respond before the deadline and may have run '
            'the request: check whether it took effect; it will not be run '
            'again.',
        )
    return DeadlineExceeded(
        'The deadline passed before a target accepted the request: send it '
        'again with the same key and allow more time.',
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )


def _store_response(response: BufferedResponse) -> StoredResponse:
    body = response.body if len(response.body) <= MAX_STORED_BYTES else None
    return StoredResponse(response.status, response.headers, body)


def _restore_response(stored: StoredResponse) -> BufferedResponse:
    if stored.body is None:
        raise OutcomeUnknown(
            'The request ran, but its response was too large to store: look '
            'up its result in your own records.',
            run_state=RunState.ran,
        )
    return BufferedResponse(stored.status, stored.headers, stored.body, '')
