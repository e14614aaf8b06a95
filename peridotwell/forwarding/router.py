"""A forwarding router from start to stop."""

import socket
from dataclasses import replace

import trio

from peridotwell.forwarding.assembly import build_components
from peridotwell.forwarding.lifecycle.background_tasks import (
    ForwardingBackgroundTasks,
)
from peridotwell.forwarding.settings import Adapters, ForwardingSettings
from peridotwell.logs import log_event, log_failure
from peridotwell.metrics import Metrics, render_metrics
from peridotwell.policy.room.body_budget import BodyBudget
from peridotwell.policy.room.buffer_budget import buffer_bytes
from peridotwell.serving.asgi import HttpServer
from peridotwell.serving.http_exchange import HttpExchange
from peridotwell.store.change_feed import ChangeFeedStore

__all__ = ('ForwardingRouter',)

OK = 200
NOT_READY = 503
TEXT_TYPE = ('content-type', 'text/plain; charset=utf-8')
# Time for which a stopping router still accepts requests. The load balancer
# probes readiness every second and stops using a router after two failed
# probes.
STOP_DELAY_SECONDS = 2.6
# Requests that still run are cancelled this long before the end of the grace
# period, when the process is killed.
STOP_MARGIN_SECONDS = 1.0
# Their callers are answered in this time before.
ANSWER_SECONDS = 0.2
EXIT_POLL_SECONDS = 0.02


class ForwardingRouter:
    """A router that forwards requests by host and path."""

    def __init__(
        self,
        settings: ForwardingSettings,
        adapters: Adapters,
        store: ChangeFeedStore,
        listener: socket.socket | None = None,
    ) -> None:
        """Build a router.

        `listener` is the socket of the callers' port if it is open already.
        """
        self.settings = settings
        self.stop_requested = trio.Event()
        self._listener = listener
        self._components = build_components(settings, adapters, store)
        bodies = BodyBudget(buffer_bytes(settings.memory_bytes))
        handler = self._components.handler
        self._callers = HttpServer(handler.handle, bodies)
        self._handovers = HttpServer(handler.handle_handover, bodies)
        self._readiness = HttpServer(self._respond_ready)
        self._may_close = trio.Event()
        self._components.directory.on_change(self._apply_changes)

    @property
    def metrics(self) -> Metrics:
        """The counters and histograms of this router."""
        return self._components.metrics

    def not_ready_reason(self) -> str:
        """Return why this router is not ready for callers, or ''."""
        if self.stop_requested.is_set():
            return 'stopping'
        if self._components.directory.table is None:
            return 'no configuration yet'
        if not self._components.directory.is_loaded:
            return 'no list of targets yet'
        return ''

    def reload(self, settings: ForwardingSettings) -> None:
        """Apply changed bounds. Other settings need a restart."""
        with_old_bounds = replace(settings, bounds=self.settings.bounds)
        log_event(
            'settings.reloaded',
            needs_restart=with_old_bounds != self.settings,
        )
        self.settings = replace(self.settings, bounds=settings.bounds)
        self._components.handler.set_bounds(settings.bounds)
        self._components.forwarding.selector.set_bounds(settings.bounds)

    async def run(self) -> None:
        """Serve until `stop_requested`; then finish running requests."""
        lease_seconds = self.settings.bounds.lease_seconds
        background_tasks = ForwardingBackgroundTasks(
            self._components, lease_seconds
        )
        try:
            async with trio.open_nursery() as nursery:
                background_tasks.start(nursery)
                await nursery.start(self._serve_readiness)
                nursery.start_soon(self._serve_metrics)
                nursery.start_soon(self._serve_handovers)
                await self._serve_until_stopped()
                nursery.cancel_scope.cancel()
        finally:
            # An open socket would delay the exit of the process.
            self._components.transport.close()
        log_event('router.stopped')

    async def _serve_until_stopped(self) -> None:
        async with trio.open_nursery() as serving:
            await serving.start(self._serve_callers)
            log_event(
                'router.started',
                callers=self.settings.callers,
            )
            await self.stop_requested.wait()
            stopped_at = trio.current_time()
            log_event(
                'router.stopping', running=self._components.handler.running
            )
            cut_at = (
                stopped_at
                + self.settings.bounds.grace_seconds
                - STOP_MARGIN_SECONDS
            )
            self._components.handler.planned_stop.begin(
                stopped_at + STOP_DELAY_SECONDS, cut_at - ANSWER_SECONDS
            )
            self._callers.begin_stop()
            self._components.update_exchange.peers.own_is_leaving = True
            await trio.sleep(STOP_DELAY_SECONDS)
            self._may_close.set()
            await self._wait_until_idle(cut_at)
            serving.cancel_scope.cancel()

    async def _wait_until_idle(self, until: float) -> None:
        while self._is_busy() and trio.current_time() < until:
            await trio.sleep(EXIT_POLL_SECONDS)
        if self._components.handler.running:
            log_event('router.cut', running=self._components.handler.running)

    def _is_busy(self) -> bool:
        has_callers = bool(self._callers.open_connections)
        return has_callers or bool(self._components.handler.running)

    async def _serve_callers(
        self,
        *,
        task_status: trio.TaskStatus[str],
    ) -> None:
        await self._callers.run(
            self.settings.callers,
            shutdown=self._may_close.wait,
            listener=self._listener,
            task_status=task_status,
        )

    async def _serve_readiness(
        self,
        *,
        task_status: trio.TaskStatus[str],
    ) -> None:
        await self._readiness.run(
            self.settings.readiness,
            shutdown=trio.sleep_forever,
            task_status=task_status,
        )

    async def _serve_handovers(self) -> None:
        """Serve other routers if they have an address for it.

        If the address is not available, the router runs without it.
        """
        if not self.settings.handover:
            return
        try:
            await self._handovers.run(
                self.settings.handover, shutdown=trio.sleep_forever
            )
        except OSError as exc:
            log_failure('handover.unavailable', error=str(exc))

    async def _serve_metrics(self) -> None:
        """Serve metrics if they have an address.

        If the address is not available, the router runs without them.
        """
        if not self.settings.metrics:
            return
        server = HttpServer(self._respond_metrics)
        try:
            await server.run(
                self.settings.metrics,
                shutdown=trio.sleep_forever,
            )
        except OSError as exc:
            log_failure('metrics.unavailable', error=str(exc))

    async def _respond_metrics(self, exchange: HttpExchange) -> None:
        text = '\n'.join(render_metrics(self.metrics))
        await exchange.respond(OK, f'{text}\n'.encode(), (TEXT_TYPE,))

    async def _respond_ready(self, exchange: HttpExchange) -> None:
        why = self.not_ready_reason()
        document = {'ready': not why, 'why': why}
        await exchange.respond_json(document, NOT_READY if why else OK)

    def _apply_changes(self) -> None:
        directory = self._components.directory
        if directory.table is not None:
            limits = directory.table.limits
            self._callers.set_idle_timeout(limits.idle_seconds)
            self._callers.set_header_limit(limits.header_bytes)
        self._components.update_exchange.discovery.add_peers(
            directory.routers()
        )
