"""The requests that are outstanding at each process of a target.

A process is one incarnation of a target at one address. Both the requests that
wait for their response and those whose response has begun are outstanding.
"""

from collections import Counter
from collections.abc import AsyncIterator, Iterable, Iterator
from contextlib import (
    AbstractAsyncContextManager,
    AsyncExitStack,
    asynccontextmanager,
    contextmanager,
)
from dataclasses import dataclass, field

import trio

from peridotwell.attempt_errors import RequestTakenBack
from peridotwell.domain.target import Target
from peridotwell.logs import log_event
from peridotwell.policy.health.unread_requests import (
    RequestProgress,
    is_read,
    seconds_between,
)
from peridotwell.serving.target_response import TargetResponse

__all__ = (
    'OutstandingRequest',
    'OutstandingRequests',
    'TargetProcess',
    'TargetRequests',
)


@dataclass(frozen=True)
class TargetProcess:
    """One process of a target: its incarnation at an address."""

    name: str
    incarnation: str
    address: str


@dataclass(eq=False)
class OutstandingRequest:
    """One attempt of a request at a target.

    `kind` names the kind of request in the logs. `number` is that of the
    attempt. A request is taken back by `take_back`.
    """

    request_id: str
    kind: str
    number: int
    requests: 'TargetRequests'
    sent_at: float | None = None
    has_begun: bool = False
    is_taken_back: bool = False
    _scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    @property
    def progress(self) -> RequestProgress:
        """How far the request has come."""
        return RequestProgress(
            self.sent_at, self.requests.last_sign_at, self.has_begun
        )

    def record_sent(self, now: float) -> None:
        """Record that there is a connection and the request is sent now."""
        self.sent_at = now

    def take_back(self) -> None:
        """Reset the connection; `open` raises RequestTakenBack."""
        self.is_taken_back = True
        self._scope.cancel()

    @asynccontextmanager
    async def open(
        self, response_context: AbstractAsyncContextManager[TargetResponse]
    ) -> AsyncIterator[TargetResponse]:
        """Yield a response whose head arrives before it is taken back.

        The context must hold no cancel scope open while the response is used.
        """
        async with AsyncExitStack() as stack:
            with self._scope:
                response = await stack.enter_async_context(response_context)
            if self._scope.cancelled_caught:
                raise RequestTakenBack(
                    'The target has left and shown no sign of life since.'
                )
            self.has_begun = True
            yield response


@dataclass(eq=False)
class TargetRequests:
    """The outstanding requests of one process.

    `left_at` is when it was found to have left, None while it is listed;
    `is_doubted` tells whether its removal was deferred when it was looked at.
    """

    target: Target
    requests: set[OutstandingRequest] = field(default_factory=set)
    last_sign_at: float | None = None
    left_at: float | None = None
    is_doubted: bool = False
    taken_back: int = 0

    def unread(self) -> Iterable[OutstandingRequest]:
        """Yield the requests that the target may not have read."""
        return (
            request
            for request in self.requests
            if not is_read(request.progress)
        )

    def count_kinds(self) -> str:
        """Return the number of requests of each kind for the logs."""
        kinds = Counter(request.kind for request in self.requests)
        return ','.join(f'{kind}:{kinds[kind]}' for kind in sorted(kinds))


class OutstandingRequests:
    """The outstanding requests at all targets, by process."""

    def __init__(self) -> None:
        self._by_process: dict[TargetProcess, TargetRequests] = {}
        self._has_requests = trio.Event()

    @contextmanager
    def track(
        self, target: Target, request_id: str, kind: str, number: int = 1
    ) -> Iterator[OutstandingRequest]:
        """Track a request until the block ends."""
        process = _process(target)
        requests = self._by_process.get(process)
        if requests is None:
            requests = self._by_process[process] = TargetRequests(target)
            self._has_requests.set()
        request = OutstandingRequest(request_id, kind, number, requests)
        requests.requests.add(request)
        try:
            yield request
        finally:
            self._end(process, request, trio.current_time())

    def record_sign(self, target: Target, now: float) -> None:
        """Record that data arrived from a target on any connection."""
        requests = self._by_process.get(_process(target))
        if requests is not None:
            requests.last_sign_at = max(requests.last_sign_at or now, now)

    def all_targets(self) -> tuple[TargetRequests, ...]:
        """Return the requests of all targets that have any."""
        return tuple(self._by_process.values())

    async def wait_for_any(self) -> None:
        """Wait until there is an outstanding request."""
        while not self._by_process:
            self._has_requests = trio.Event()
            await self._has_requests.wait()

    def _end(
        self, process: TargetProcess, request: OutstandingRequest, now: float
    ) -> None:
        requests = request.requests
        requests.requests.discard(request)
        if requests.left_at is not None:
            _log_end(request, now)
        if requests.requests:
            return
        self._by_process.pop(process, None)
        if requests.left_at is not None:
            log_event(
                'target.leaving.ended',
                target=process.name,
                seconds=seconds_between(requests.left_at, now),
                taken_back=requests.taken_back,
            )


def _process(target: Target) -> TargetProcess:
    return TargetProcess(target.name, target.incarnation, target.address)


def _log_end(request: OutstandingRequest, now: float) -> None:
    """Log the end of a request at a target that has left."""
    progress = request.progress
    log_event(
        'attempt.at_left_target',
        request=request.request_id,
        target=request.requests.target.name,
        taken_back=request.is_taken_back,
        sent_ago=seconds_between(request.sent_at, now),
        silent=seconds_between(progress.last_sign_at, now),
        sign_since_sent=progress.has_sign_since_sent,
        begun=request.has_begun,
        kind=request.kind,
        attempt=request.number,
    )
