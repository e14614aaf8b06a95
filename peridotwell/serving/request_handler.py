"""Handles HTTP requests of callers and of the platform's load balancer."""

import time
from functools import partial

import trio

from peridotwell.domain.caller_request import CallerRequest
from peridotwell.domain.configuration import Defaults
from peridotwell.errors import (
    DeadlineExceeded,
    InstanceStopping,
    RequestError,
    RequestQuarantined,
    RunState,
)
from peridotwell.metrics import Measure, Metrics, Series
from peridotwell.policy.crashes.quarantine import (
    Quarantine,
    request_fingerprint,
)
from peridotwell.policy.retries.retry import RetryBudget
from peridotwell.serving.at_most_once import (
    AtMostOnceExecutor,
    require_idempotency_key,
)
from peridotwell.serving.caller_disconnect import run_until_caller_disconnects
from peridotwell.serving.http_exchange import HttpExchange
from peridotwell.serving.idempotent_requests import serve_response, serve_stream
from peridotwell.serving.placer import Placer
from peridotwell.serving.readiness import Readiness
from peridotwell.serving.request_executor import RequestExecutor
from peridotwell.serving.request_parser import parse_request
from peridotwell.serving.responses import write_error, write_response
from peridotwell.serving.target_monitor import TargetMonitor
from peridotwell.store.configuration import ConfigurationStore

__all__ = ('RequestHandler',)

HEALTH_PATH = '/health'
READY_PATH = '/ready'
OK = 200
NOT_READY_STATUS = 503
RETRY_AFTER_SECONDS = 2
UNPARSED_REQUEST_ID = 'none'


class RequestHandler:
    """Responds to callers and to health and readiness checks."""

    def __init__(
        self,
        placer: Placer,
        monitor: TargetMonitor,
        quarantine: Quarantine,
        at_most_once: AtMostOnceExecutor,
        readiness: Readiness,
        metrics: Metrics,
        configuration: ConfigurationStore,
    ) -> None:
        self._configuration = configuration
        self._placer = placer
        self._monitor = monitor
        self._quarantine = quarantine
        self._at_most_once = at_most_once
        self._readiness = readiness
        self._metrics = metrics
        self._budget = RetryBudget()

    async def handle(self, exchange: HttpExchange) -> None:
        """Handle one HTTP exchange."""
        if exchange.path == HEALTH_PATH:
            await exchange.respond_json({'health': 'live'})
        elif exchange.path == READY_PATH:
            await self._respond_readiness(exchange)
        else:
            await self._serve(exchange)

    async def _respond_readiness(self, exchange: HttpExchange) -> None:
        reason = self._readiness.not_ready_reason(trio.current_time())
        status = NOT_READY_STATUS if reason else OK
        await exchange.respond_json(
            {'ready': not reason, 'why': reason}, status
        )

    async def _serve(self, exchange: HttpExchange) -> None:
        request_id = UNPARSED_REQUEST_ID
        try:
            request = await self._parse(exchange)
            request_id = request.request_id
            await self._run_until_disconnect(exchange, request)
        except RequestError as exc:
            self._metrics.count(f'call.{exc.code}')
            if exchange.status:
                raise
            await write_error(exchange, exc, request_id)
        except trio.ClosedResourceError:
            self._metrics.count('call.caller_left')

    async def _parse(self, exchange: HttpExchange) -> CallerRequest:
        body = await exchange.body()
        now = trio.current_time()
        reason = self._readiness.cannot_serve_reason(now)
        if reason:
            raise InstanceStopping(
                f'This instance cannot serve requests now ({reason}): send the '
                'request again.',
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )
        return parse_request(
            exchange.method,
            exchange.raw_target.decode('latin-1'),
            exchange.headers,
            body,
            self._configuration.current,
            now,
        )

    async def _run_until_disconnect(
        self,
        exchange: HttpExchange,
        request: CallerRequest,
    ) -> None:
        """Run a request until its end or until the caller disconnects.

        An idempotent request is cancelled when the caller disconnects; any
        other request continues to run.
        """
        func = partial(self._execute, exchange, request)
        if not await run_until_caller_disconnects(exchange, func):
            self._metrics.count('call.caller_left')

    async def _execute(
        self, exchange: HttpExchange, request: CallerRequest
    ) -> None:
        cfg = self._configuration.current.for_request(
            request.customer,
            request.contract.pool,
            request.priority_class,
        )
        executor = RequestExecutor(
            request,
            cfg,
            self._placer,
            self._monitor,
            self._budget,
        )
        started_at = trio.current_time()
        if request.is_idempotent:
            self._check_quarantine(request, cfg)
            await self._execute_idempotent(exchange, request, executor)
        else:
            wall_time = time.time()
            require_idempotency_key(
                request, cfg.claim_window_seconds, wall_time
            )
            response = await self._at_most_once.run(
                request,
                executor,
                wall_time,
                partial(self._check_quarantine, request, cfg),
            )
            await write_response(exchange, response, request.request_id)
        series = Series(
            request.customer,
            request.priority_class,
            Measure.whole_answer,
        )
        self._metrics.sketch(series).add(trio.current_time() - started_at)
        self._metrics.count('call.served')

    async def _execute_idempotent(
        self,
        exchange: HttpExchange,
        request: CallerRequest,
        executor: RequestExecutor,
    ) -> None:
        try:
            with trio.fail_at(request.deadline_at):
                if request.is_streamed:
                    await serve_stream(
                        exchange,
                        request,
                        executor,
                        self._metrics,
                    )
                else:
                    await serve_response(exchange, request, executor)
        except trio.TooSlowError:
            raise DeadlineExceeded(
                'The deadline passed before the response was complete: allow '
                'more time.',
                run_state=(
                    RunState.unknown
                    if executor.was_dispatched
                    else RunState.not_run
                ),
            ) from None

    def _check_quarantine(self, request: CallerRequest, cfg: Defaults) -> None:
        fingerprint = request_fingerprint(request.path, request.body)
        if self._quarantine.is_refused(
            fingerprint, cfg.crash_limit, time.time()
        ):
            raise RequestQuarantined(
                'Targets that ran this request were lost '
                f'({fingerprint:016x}): '
                'change it, or ask an operator to lift the quarantine.',
            )
