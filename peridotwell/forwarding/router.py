"""The life of a forwarding router, from start to stop."""

import socket
from dataclasses import replace

import trio

from peridotwell.forwarding.assembly import assemble
from peridotwell.forwarding.background_tasks import ForwardingBackgroundTasks
from peridotwell.forwarding.settings import Adapters, ForwardingSettings
from peridotwell.logs import log_event, log_failure
from peridotwell.metrics import Metrics, render_metrics
from peridotwell.serving.asgi import HttpExchange, HttpServer
from peridotwell.store.change_feed import ChangeFeedStore

__all__ = ('ForwardingRouter',)

OK = 200
NOT_READY = 503
TEXT_TYPE = ('content-type', 'text/plain; charset=utf-8')
# The balancer asks every second and wants two misses.
STOP_DELAY_SECONDS = 2.6
# Time to end what still runs before the kill.
STOP_MARGIN_SECONDS = 1.0
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
        """Build a router; `listener` is the callers' port if it is open."""
        self.settings = settings
        self.stop_requested = trio.Event()
        self._listener = listener
        self._parts = assemble(settings, adapters, store)
        self._callers = HttpServer(self._parts.front.handle)
        self._readiness = HttpServer(self._answer_ready)
        self._may_close = trio.Event()
        self._parts.directory.on_change(self._apply_changes)

    @property
    def metrics(self) -> Metrics:
        """Counters and histograms of this router."""
        return self._parts.metrics

    def obstacle(self) -> str:
        """Return why this router should get no new callers, or ''."""
        if self.stop_requested.is_set():
            return 'stopping'
        if self._parts.directory.table is None:
            return 'no configuration yet'
        if not self._parts.directory.is_loaded:
            return 'no list of targets yet'
        return ''

    def reload(self, settings: ForwardingSettings) -> None:
        """Take over changed bounds; addresses need a restart."""
        fixed = replace(settings, bounds=self.settings.bounds)
        log_event(
            'settings.reloaded',
            needs_restart=fixed != self.settings,
        )
        self.settings = replace(self.settings, bounds=settings.bounds)
        self._parts.front.set_bounds(settings.bounds)
        self._parts.forwarding.placement.set_bounds(settings.bounds)

    async def run(self) -> None:
        """Serve until `stop_requested`, then end what runs and return."""
        lease_seconds = self.settings.bounds.lease_seconds
        upkeep = ForwardingBackgroundTasks(self._parts, lease_seconds)
        try:
            async with trio.open_nursery() as nursery:
                upkeep.start(nursery)
                await nursery.start(self._serve_readiness)
                nursery.start_soon(self._serve_metrics)
                await self._serve_until_stopped()
                nursery.cancel_scope.cancel()
        finally:
            # An open socket would hold up the end of the process.
            self._parts.bus.close()
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
            log_event('router.stopping', running=self._parts.front.running)
            self._parts.front.is_stopping = True
            self._parts.sharing.peers.own_is_leaving = True
            await trio.sleep(STOP_DELAY_SECONDS)
            self._may_close.set()
            grace = self.settings.bounds.grace_seconds - STOP_MARGIN_SECONDS
            await self._wait_until_idle(stopped_at + grace)
            serving.cancel_scope.cancel()

    async def _wait_until_idle(self, until: float) -> None:
        while self._callers.open_connections and trio.current_time() < until:
            await trio.sleep(EXIT_POLL_SECONDS)
        if self._parts.front.running:
            log_event('router.cut', running=self._parts.front.running)

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

    async def _serve_metrics(self) -> None:
        """Serve metrics if they have an address; requests come first."""
        if not self.settings.metrics:
            return
        server = HttpServer(self._answer_metrics)
        try:
            await server.run(
                self.settings.metrics,
                shutdown=trio.sleep_forever,
            )
        except OSError as exc:
            log_failure('metrics.unavailable', error=str(exc))

    async def _answer_metrics(self, exchange: HttpExchange) -> None:
        text = '\n'.join(render_metrics(self.metrics))
        await exchange.respond(OK, f'{text}\n'.encode(), (TEXT_TYPE,))

    async def _answer_ready(self, exchange: HttpExchange) -> None:
        why = self.obstacle()
        document = {'ready': not why, 'why': why}
        await exchange.respond_json(document, NOT_READY if why else OK)

    def _apply_changes(self) -> None:
        directory = self._parts.directory
        if directory.table is not None:
            self._callers.set_idle_timeout(directory.table.limits.idle_seconds)
        self._parts.sharing.discovery.meet(directory.routers())
