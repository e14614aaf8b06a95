"""Responses of targets and routers whose silence is limited."""

from collections.abc import AsyncIterator, Hashable
from contextlib import (
    AbstractAsyncContextManager,
    AsyncExitStack,
    asynccontextmanager,
)

from peridotwell.attempt_errors import ResponseTimeout
from peridotwell.forwarding.sending.attempt import Attempt
from peridotwell.forwarding.sending.silence_limits import SilenceLimits
from peridotwell.serving.target_response import TargetResponse

__all__ = ('limit_silence',)


@asynccontextmanager
async def limit_silence(
    limits: SilenceLimits,
    attempt: Attempt,
    response_context: AbstractAsyncContextManager[TargetResponse],
    source: Hashable,
    max_seconds: float,
) -> AsyncIterator[TargetResponse]:
    """Yield the response; leave a target that sends nothing if possible.

    Before the response, data from `source` count as a sign of life. Raises
    ResponseTimeout.
    """
    async with AsyncExitStack() as stack:
        with limits.limit(source, max_seconds, attempt.may_leave) as wait:
            response = await stack.enter_async_context(response_context)
        if wait.scope.cancelled_caught:
            raise ResponseTimeout('The target did not respond in time.')
        with limits.limit(attempt, max_seconds, attempt.may_leave) as wait:
            wait.after_read()
            response.observer = wait
            yield response
        if wait.scope.cancelled_caught:
            raise ResponseTimeout('The target stopped sending the body.')
