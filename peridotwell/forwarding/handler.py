"""Handling of callers' requests, from arrival to response."""

from functools import partial

import trio

from peridotwell.domain.bounds import DeploymentBounds
from peridotwell.domain.routing_table import RequestKind
from peridotwell.errors import (
    DeadlineExceeded,
    NotConfigured,
    RequestError,
    RunState,
    UnknownCredential,
    UnknownPath,
)
from peridotwell.fleet.relays.update_exchange import UpdateExchange
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.forwarding.adapters import RoutedRequest
from peridotwell.forwarding.answering.buffered_responses import (
    BufferedResponse,
    BufferedResponseForwarder,
)
from peridotwell.forwarding.answering.caller_response import (
    CallerResponse,
    HandoverResponse,
)
from peridotwell.forwarding.answering.refusal_log import (
    drop_log_fields,
    record_refusal,
    refusal_log_fields,
)
from peridotwell.forwarding.answering.response_recorder import (
    ResponseRecorder,
    ResponseSummary,
)
from peridotwell.forwarding.components import ForwardingComponents
from peridotwell.forwarding.lifecycle.planned_stop import PlannedStop
from peridotwell.forwarding.reading.request_reader import (
    NOT_READY_RETRY_AFTER_SECONDS,
    RequestReader,
    read_handed_over_request,
    read_request,
)
from peridotwell.forwarding.sending.retries import Attempts
from peridotwell.forwarding.streams.streams import StreamBroken, StreamForwarder
from peridotwell.logs import log_event, log_failure
from peridotwell.metrics import Metrics
from peridotwell.policy.retries.retry_window import RetryWindow
from peridotwell.serving.caller_disconnect import run_until_caller_disconnects
from peridotwell.serving.http_exchange import HttpExchange

__all__ = ('ForwardingHandler',)

# Right after a start, requests wait up to this long for the first read of the
# store.
STARTUP_WAIT_SECONDS = 0.5
# Longest time that requests with a prompt wait for the recovery of the cache
# index. It is shorter than an engine takes to prefill a long prompt again.
CACHE_RECOVERY_WAIT_SECONDS = 0.15


class ForwardingHandler:
    """Responds to callers' requests."""

    def __init__(
        self,
        directory: ServiceDirectory,
        components: ForwardingComponents,
        bounds: DeploymentBounds,
        update_exchange: UpdateExchange,
        metrics: Metrics,
    ) -> None:
        self.planned_stop = PlannedStop()
        self.running = 0
        self._directory = directory
        self._components = components
        self._bounds = bounds
        self._update_exchange = update_exchange
        self._metrics = metrics
        self._recorder = ResponseRecorder(metrics, update_exchange.update_delay)
        self._windows: dict[str, RetryWindow] = {}

    def set_bounds(self, bounds: DeploymentBounds) -> None:
        """Use these bounds from now on."""
        self._bounds = bounds
        for window in self._windows.values():
            window.set_bounds(bounds.retry_ratio, bounds.retry_slack)

    async def handle(self, exchange: HttpExchange) -> None:
        """Respond to a caller's request. No exception leaves this method."""
        response = CallerResponse(exchange)
        await self._handle_safely(exchange, response, read_request)

    async def handle_handover(self, exchange: HttpExchange) -> None:
        """Respond to a request of another router, which serves its caller.

        No exception leaves this method.
        """
        response = HandoverResponse(exchange)
        await self._handle_safely(exchange, response, read_handed_over_request)

    async def _handle_safely(
        self,
        exchange: HttpExchange,
        caller_response: CallerResponse,
        read: RequestReader,
    ) -> None:
        self.running += 1
        try:
            await self._handle(exchange, caller_response, read)
        except (trio.ClosedResourceError, trio.BrokenResourceError):
            self._record_caller_left(exchange)
        except Exception as exc:
            # The connection closes without a response; others are unaffected.
            self._metrics.count('request.internal_error')
            log_failure(
                'request.internal_error',
                request=self._request_id(exchange),
                error=repr(exc),
            )
        finally:
            self.running -= 1

    async def _handle(
        self,
        exchange: HttpExchange,
        caller_response: CallerResponse,
        read: RequestReader,
    ) -> None:
        now = trio.current_time()
        with trio.move_on_after(STARTUP_WAIT_SECONDS):
            await self._directory.ready.wait()
        try:
            await self._require_settled()
            request = await self._read(exchange, read, now)
            self.planned_stop.check(request.deadline_at, trio.current_time())
        except RequestError as exc:
            await self._refuse_unread(exchange, caller_response, exc, now)
            return
        work = partial(self._serve, caller_response, request)
        if not await run_until_caller_disconnects(exchange, work):
            self._record_caller_left(exchange)

    async def _refuse_unread(
        self,
        exchange: HttpExchange,
        caller_response: CallerResponse,
        reason: RequestError,
        arrived_at: float,
    ) -> None:
        """Refuse a request before its route and customer are known."""
        now = trio.current_time()
        error = self._unless_outdated(reason, now)
        context = (exchange, self._components.caller_adapter, self._directory)
        record_refusal(error, *context, now)
        await self._refuse(
            caller_response,
            error,
            self._request_id(exchange),
            arrived_at,
            drop_log_fields(reason, *context, now),
        )

    async def _read(
        self, exchange: HttpExchange, read: RequestReader, now: float
    ) -> RoutedRequest:
        """Read a request, and again if the store has a newer table.

        It is asked for one before a path or a key counts as unknown.
        """
        adapter = self._components.caller_adapter
        table = self._directory.table
        try:
            return await read(exchange, adapter, table, now)
        except (UnknownPath, UnknownCredential):
            await self._components.table_check.confirm(trio.current_time())
            if self._directory.table is table:
                raise
        return await read(exchange, adapter, self._directory.table, now)

    def _request_id(self, exchange: HttpExchange) -> str:
        return self._components.caller_adapter.request_id(exchange)

    def _record_caller_left(self, exchange: HttpExchange) -> None:
        """Record that a caller disconnected before its request had ended.

        A target may have run it, so it has a line like all others.
        """
        self._metrics.count('request.caller_left')
        log_event(
            'request.caller_left',
            request=self._request_id(exchange),
            begun=bool(exchange.status),
        )

    async def _require_settled(self) -> None:
        """Let this router ask the store first if its belief is old.

        Raises NotConfigured if the store has not answered yet: this router may
        lack a change that forbids the request.
        """
        if not await self._directory.belief.settle(trio.current_time()):
            raise NotConfigured(
                'This instance may lack the latest configuration: send the '
                'request again.',
                retry_after_seconds=NOT_READY_RETRY_AFTER_SECONDS,
            )

    def _unless_outdated(self, error: RequestError, now: float) -> RequestError:
        """Return an error, or one that lets the caller try another router.

        A path or a key may be unknown only because this router does not have
        the configuration in force: it has not heard of the latest one, or that
        one could not be taken, or only another router goes by it.
        """
        may_be_outdated = isinstance(error, UnknownPath | UnknownCredential)
        is_latest = (
            self._directory.belief.is_current(now)
            and not self._directory.table_in_force.behind()
            and not self._update_exchange.entry_sync.hears_higher_version(now)
        )
        if is_latest or not may_be_outdated:
            return error
        return NotConfigured(
            f'{error} This instance may lack the latest configuration: send '
            'the request again.',
            retry_after_seconds=NOT_READY_RETRY_AFTER_SECONDS,
        )

    async def _serve(
        self, caller_response: CallerResponse, request: RoutedRequest
    ) -> None:
        window = self._window(request.service)
        now = trio.current_time()
        if not request.is_handed_over:
            window.record_request(now)
        attempts = Attempts(
            request, window, self._update_exchange.router_count()
        )
        try:
            response = await self._run(caller_response, request, attempts)
            # The deadline does not limit the sending of a complete response.
            if response is not None:
                caller_response.hold(response.share)
                await caller_response.send_whole(
                    response.status,
                    response.fields,
                    response.body,
                    is_end_marked=response.is_end_marked,
                )
        except trio.TooSlowError:
            error = _deadline_error(attempts)
            await self._refuse(
                caller_response, error, request.request_id, request.arrived_at
            )
        except RequestError as exc:
            await self._refuse(
                caller_response, exc, request.request_id, request.arrived_at
            )

    async def _run(
        self,
        caller_response: CallerResponse,
        request: RoutedRequest,
        attempts: Attempts,
    ) -> BufferedResponse | None:
        """Return the response to send, or None if a stream was forwarded.

        Raises trio.TooSlowError if there is none in time.
        """
        if request.route.kind is not RequestKind.streaming:
            return await self._get_buffered(request, attempts)
        components = self._components
        stream = StreamForwarder(
            request,
            caller_response,
            attempts,
            components.dispatcher,
            components.waiting_room,
            components.target_adapter,
            components.stream_affinity,
        )
        with self.planned_stop.limit(request.deadline_at):
            await self._wait_for_caches(request)
            error_response = await stream.run()
        self._recorder.record(
            request,
            attempts.number,
            ResponseSummary(
                stream.status,
                stream.choice,
                stream.first_part_at,
                stream.origin,
                stream.body_bytes,
                stream.end,
            ),
        )
        return error_response

    async def _get_buffered(
        self, request: RoutedRequest, attempts: Attempts
    ) -> BufferedResponse:
        components = self._components
        forwarder = BufferedResponseForwarder(
            components.dispatcher,
            components.waiting_room,
            components.target_adapter,
        )
        try:
            with self.planned_stop.limit(request.deadline_at):
                await self._wait_for_caches(request)
                response = await forwarder.get(request, attempts)
        except trio.TooSlowError:
            if forwarder.held is None:
                raise
            response = forwarder.held
        self._recorder.record(
            request,
            attempts.number,
            ResponseSummary(
                response.status,
                response.choice,
                trio.current_time(),
                response.origin,
                len(response.body),
            ),
        )
        return response

    async def _wait_for_caches(self, request: RoutedRequest) -> None:
        if request.prompt is not None:
            with trio.move_on_after(CACHE_RECOVERY_WAIT_SECONDS):
                await self._update_exchange.cache_sync.is_ready.wait()

    def _window(self, service: str) -> RetryWindow:
        window = self._windows.get(service)
        if window is None:
            window = RetryWindow(
                self._bounds.retry_ratio,
                self._bounds.retry_slack,
                self._bounds.retry_window_seconds,
            )
            self._windows[service] = window
        return window

    async def _refuse(
        self,
        caller_response: CallerResponse,
        error: RequestError,
        request_id: str,
        arrived_at: float,
        dropped: dict[str, object] | None = None,
    ) -> None:
        self._metrics.count(f'request.{error.code}')
        now = trio.current_time()
        log_failure(
            'request.refused',
            request=request_id,
            code=error.code,
            **refusal_log_fields(
                error,
                self._update_exchange.knowledge_log_fields(now),
                dropped=dropped,
                after_seconds=now - arrived_at,
                has_begun=caller_response.has_begun,
            ),
        )
        if caller_response.has_begun or isinstance(error, StreamBroken):
            return
        await caller_response.send_error(error, request_id)


def _deadline_error(attempts: Attempts) -> DeadlineExceeded:
    was_sent = bool(attempts.number)
    return DeadlineExceeded(
        'The deadline passed before the response was ready: allow more time.',
        run_state=RunState.unknown if was_sent else RunState.not_run,
    )
