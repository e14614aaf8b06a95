"""An HTTP client for one target, based on httpcore.

Errors are classified by what the target may have done: the request was not
sent, the target refused to run it, or its outcome is unknown.
"""

import math
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing, asynccontextmanager
from dataclasses import dataclass
from functools import partial

import httpcore
import msgspec
import trio

from peridotwell.attempt_errors import (
    AttemptError,
    ConnectionFailed,
    RefusedByTarget,
    ResponseLost,
    ResponseTimeout,
    ResponseTruncated,
    TargetReplaced,
)
from peridotwell.decoding import DECODING_ERRORS
from peridotwell.domain.target import Target
from peridotwell.policy.evidence.process_evidence import (
    ResponseTimes,
    TargetSign,
)
from peridotwell.policy.health.target_notices import NO_NOTICE, TargetNotice
from peridotwell.running_time import move_on_after_running
from peridotwell.serving.connection_pool import BEFORE_SEND, ConnectionPool
from peridotwell.serving.event_stream import EventLimit
from peridotwell.serving.response_buffers import ResponseBuffers
from peridotwell.serving.response_ownership import ResponseOwnership
from peridotwell.serving.target_presence import (
    Connections,
    ConnectionSource,
    EndCheck,
)
from peridotwell.serving.target_response import BodyEnd, TargetResponse
from peridotwell.serving.witness_keeper import WitnessKeeper

__all__ = (
    'ResponseTimeouts',
    'ClosedListener',
    'NoticeListener',
    'ResponseReader',
    'StandardResponseReader',
    'TargetHealth',
    'TargetClient',
)

# Called with a target, its notice, and when the request was sent that the
# response with the notice is for.
NoticeListener = Callable[[Target, TargetNotice, float], None]
# Called with a target that has ended all connections to it, and their number.
ClosedListener = Callable[[Target, int], None]
MAX_CONNECTIONS = 1024
IDLE_CONNECTION_SECONDS = 20
# TCP first retransmits a lost SYN packet after 1 s. The timeout is shorter, so
# that another target is tried before that.
CONNECT_TIMEOUT_SECONDS = 0.3
POOL_TIMEOUT_SECONDS = 1
HEALTH_TIMEOUT_SECONDS = 0.8
HEALTH_PATH = '/health'
REFUSED_STATUS = 503
REQUEST_ID_HEADER = 'x-request-id'


@dataclass(frozen=True)
class ResponseTimeouts:
    """Time limits for a target's response, in seconds.

    `first_byte_seconds` limits the wait for the complete response headers,
    once connected, `silence_seconds` the wait for each further part of the
    body. `event_limit` limits each event of a stream; by default, it is
    `silence_seconds` too.
    """

    first_byte_seconds: float
    silence_seconds: float
    event_limit: EventLimit | None = None


class TargetHealth(msgspec.Struct, frozen=True):
    """The body of a target's response to GET /health."""

    boot: str = ''
    leaving: bool = False
    slots: int = 0
    running: int = 0


class ResponseReader(ABC):
    """Interprets the header fields of targets' responses."""

    @abstractmethod
    def refusal_reason(self, response: TargetResponse) -> str:
        """Return why the target refused to run the request, else ''."""

    def is_target_replaced(self, response: TargetResponse) -> bool:
        """Whether the refusal came from a target that replaced this one."""
        return False

    def notice(self, response: TargetResponse) -> TargetNotice | None:
        """Return what the response says of the target itself.

        Returns None if it is not a response of this target.
        """
        return NO_NOTICE

    @abstractmethod
    def request_id(self, response: TargetResponse) -> str:
        """Return the id of the request that was served, else ''."""


class StandardResponseReader(ResponseReader):
    """Reads responses of targets that implement docs/interfaces.md."""

    def refusal_reason(self, response: TargetResponse) -> str:
        """Return why the target refused to run the request, else ''."""
        if response.status != REFUSED_STATUS:
            return ''
        return response.headers.get('x-refused', '')

    def request_id(self, response: TargetResponse) -> str:
        """Return the id of the request that was served, else ''."""
        return response.headers.get(REQUEST_ID_HEADER, '')


class TargetClient(ConnectionSource):
    """The connections from this router to one target.

    A request that must not run twice is sent on a new connection: after a
    failure on a reused connection, it would be unknown whether the target
    received the request. So is one whose id was the last one on a connection: a
    late copy of the response then could not be told from its own.
    """

    def __init__(
        self,
        target: Target,
        reader: ResponseReader | None = None,
        on_notice: NoticeListener | None = None,
        buffers: ResponseBuffers | None = None,
        find_status_path: Callable[[Target], str] | None = None,
        on_closed: ClosedListener | None = None,
        witness_keeper: WitnessKeeper | None = None,
    ) -> None:
        self.target = target
        self._on_closed = on_closed
        self._buffers = buffers or ResponseBuffers()
        self._on_notice = on_notice
        self._reader = reader or StandardResponseReader()
        self._find_status_path = find_status_path
        self._witness_keeper = witness_keeper
        self._end_check = EndCheck(target, self, CONNECT_TIMEOUT_SECONDS)
        self._ownership = ResponseOwnership()
        self._pool = ConnectionPool(
            MAX_CONNECTIONS,
            idle_seconds=IDLE_CONNECTION_SECONDS,
            on_ended=self._handle_ended,
        )
        self._single_use_pool = ConnectionPool(
            MAX_CONNECTIONS, keeps_idle=False
        )

    def is_busy(self) -> bool:
        """Whether a request still uses one of the connections."""
        return self._pool.is_busy or self._single_use_pool.is_busy

    def connections(self) -> Connections:
        """Return the connections that are not closed on this side."""
        return Connections(
            (*self._pool.used, *self._single_use_pool.used), self._pool.idle
        )

    async def close_unusable(self) -> None:
        """Close the idle connections that have expired or ended."""
        await self._pool.close_unusable()

    def is_connected(self, seen_at: float) -> bool:
        """Whether a connection is open at both ends, as far as is known.

        One that was opened later than a time at which the target was seen may
        lead to another process.
        """
        known = self.connections()
        return any(
            conn.opened_at <= seen_at and not conn.has_peer_ended()
            for conn in (*known.used, *known.idle)
        )

    def status_path(self) -> str:
        """Return the path of status checks."""
        if self._find_status_path is None:
            return HEALTH_PATH
        return self._find_status_path(self.target)

    async def process_sign(self, seen_at: float) -> TargetSign:
        """Return whether the process still serves that did at a time."""
        return await self._end_check.sign(seen_at)

    async def aclose(self) -> None:
        """Close idle connections; running requests keep theirs open."""
        await self._end_check.witness.aclose()
        await self._single_use_pool.aclose()
        await self._pool.aclose()

    @asynccontextmanager
    async def send(
        self,
        request: httpcore.Request,
        response_timeouts: ResponseTimeouts,
        *,
        new_connection: bool = False,
        require_request_id: bool = False,
        before_send: Callable[[], None] | None = None,
    ) -> AsyncIterator[TargetResponse]:
        """Send a request and yield the response once its headers arrived.

        `before_send` is called once there is a connection: it may raise an
        AttemptError, such as TargetLeft, in place of which nothing is sent.

        A response that carries another request's id always raises
        ResponseMismatch; so does a refusal that may be an earlier one, and with
        `require_request_id` any other response without an id.
        """
        timeouts = _make_timeouts(response_timeouts.first_byte_seconds)
        request.extensions['timeout'] = timeouts
        request.extensions[BEFORE_SEND] = before_send
        request_id = _request_id(request)
        pool = self._pool
        if new_connection or self._ownership.was_last(request_id):
            pool = self._single_use_pool
        sent_at = trio.current_time()
        # Without a limit on the whole head, a target could send bytes of it
        # now and then, and without end.
        with trio.move_on_after(
            CONNECT_TIMEOUT_SECONDS + response_timeouts.first_byte_seconds
        ) as scope:
            resp = await _send_request(pool, request)
        if scope.cancelled_caught:
            raise ResponseTimeout('The target sent no complete headers.')
        async with aclosing(resp):
            response = TargetResponse(
                resp,
                response_timeouts.event_limit
                or EventLimit(response_timeouts.silence_seconds),
                request.method,
                self._buffers,
                self.target.name,
            )
            times = ResponseTimes(sent_at, trio.current_time())
            self._prepare_check(response, request_id, times)
            response.earlier_ids = self._ownership.earlier_ids(resp)
            refusal = self._reader.refusal_reason(response)
            response.earlier_requests = self._ownership.check(
                resp,
                request_id,
                self._reader.request_id(response),
                is_refusal=bool(refusal),
                require_id=require_request_id,
            )
            # A response that may be for another request says nothing.
            self._handle_notice(response, sent_at)
            self._raise_if_refused(refusal, response)
            timeouts['read'] = _finite(response_timeouts.silence_seconds)
            try:
                yield response
            finally:
                response.share.release_unless_kept()

    def _prepare_check(
        self, response: TargetResponse, request_id: str, times: ResponseTimes
    ) -> None:
        """Let the process be watched whose end may cut a response."""
        response.check_end = partial(self._end_check.check, request_id, times)
        is_unmarked = response.body_end is BodyEnd.connection
        if is_unmarked and self._witness_keeper is not None:
            self._witness_keeper.need(self._end_check.witness, times.seen_at)

    def _handle_ended(self, ended: int, used_at: float) -> None:
        """Report that idle connections have ended, if no other one is open.

        `used_at` is when a request was last sent on one of them.
        """
        if self._on_closed is None or self.is_connected(used_at):
            return
        known = self.connections()
        count = ended + len(known.used) + len(known.idle)
        self._on_closed(self.target, count)

    def _handle_notice(self, response: TargetResponse, sent_at: float) -> None:
        if self._on_notice is None:
            return
        notice = self._reader.notice(response)
        if notice is not None:
            self._on_notice(self.target, notice, sent_at)

    def _raise_if_refused(self, refusal: str, response: TargetResponse) -> None:
        if refusal and self._reader.is_target_replaced(response):
            raise TargetReplaced(refusal)
        if refusal:
            raise RefusedByTarget(refusal)

    async def check_health(self) -> TargetHealth:
        """Request the target's health on a new connection.

        Raises ConnectionFailed when no connection can be made, and other
        AttemptErrors when no valid response arrives. Time in which this process
        stands still does not count.
        """
        content: bytes | None = None
        error: AttemptError | None = None
        async with move_on_after_running(HEALTH_TIMEOUT_SECONDS):
            try:
                content = await self._fetch_health()
            except AttemptError as exc:
                error = exc
        if error is not None:
            raise error
        if content is None:
            raise ResponseTimeout('The target sent no health in time.')
        try:
            return msgspec.json.decode(content, type=TargetHealth)
        except DECODING_ERRORS as exc:
            raise ResponseTruncated(
                f'The health response is invalid: {exc}'
            ) from exc

    async def _fetch_health(self) -> bytes:
        request = httpcore.Request(
            'GET',
            f'http://{self.target.address}{HEALTH_PATH}',
            headers=((b'host', self.target.address.encode()),),
        )
        unlimited = ResponseTimeouts(math.inf, math.inf)
        async with self.send(
            request, unlimited, new_connection=True
        ) as response:
            return await response.read_body()


async def _send_request(
    pool: ConnectionPool,
    request: httpcore.Request,
) -> httpcore.Response:
    try:
        return await pool.handle_async_request(request)
    except (
        httpcore.ConnectError,
        httpcore.ConnectTimeout,
        httpcore.PoolTimeout,
    ) as exc:
        raise ConnectionFailed(f'Cannot connect to the target: {exc}') from exc
    except httpcore.TimeoutException as exc:
        raise ResponseTimeout('The target did not respond in time.') from exc
    except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
        raise ResponseLost(
            f'The connection to the target failed: {exc}'
        ) from exc


def _request_id(request: httpcore.Request) -> str:
    fields = dict(request.headers)
    return fields.get(REQUEST_ID_HEADER.encode(), b'').decode('latin-1')


def _finite(seconds: float) -> float | None:
    """Return a time limit, or None for none."""
    return seconds if math.isfinite(seconds) else None


def _make_timeouts(seconds: float) -> dict[str, float | None]:
    return {
        'connect': min(seconds, CONNECT_TIMEOUT_SECONDS),
        'read': seconds,
        'write': seconds,
        'pool': POOL_TIMEOUT_SECONDS,
    }
