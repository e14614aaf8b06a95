"""Starts a router, serves until a stop is requested, and shuts it down."""

import msgspec
import trio

from peridotwell.assembly import RouterComponents, build_components
from peridotwell.logs import log_event
from peridotwell.operators.api import OperatorsApi
from peridotwell.serving.asgi import HttpServer, serve_http
from peridotwell.serving.http_exchange import HttpExchange
from peridotwell.settings import Settings

__all__ = ('Router', 'RouterAddresses')

STOP_POLL_SECONDS = 0.05
# How long a stop waits for the store to confirm the outcomes of claims.
CLAIM_SETTLE_TIMEOUT_SECONDS = 10


class RouterAddresses(msgspec.Struct, frozen=True):
    """The addresses on which a running router listens."""

    callers: str
    operators: str
    peers: str


class Router:
    """A router built from its settings."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.stop_requested = trio.Event()
        self._may_close_listener = trio.Event()
        self._callers: HttpServer | None = None
        self._api: OperatorsApi | None = None

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[
            RouterAddresses
        ] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until `stop_requested` is set, then finish running requests."""
        async with trio.open_nursery() as nursery:
            operators = await nursery.start(
                serve_http,
                self._handle_operators,
                self.settings.listen.operators,
            )
            components = build_components(self.settings, operators, nursery)
            self._api = components.api
            components.background_tasks.start(nursery)
            async with trio.open_nursery() as serving:
                callers = await serving.start(self._serve_callers, components)
                peers = components.state.peers.own.peer_address
                task_status.started(RouterAddresses(callers, operators, peers))
                log_event('router.started', callers=callers)
                await self.stop_requested.wait()
                await self._drain(components)
            await _wait_for_unfinished_work(components)
            log_event('router.stopped')
            nursery.cancel_scope.cancel()
        components.transport.close()

    async def _handle_operators(self, exchange: HttpExchange) -> None:
        if self._api is not None:
            await self._api.handle(exchange)

    async def _serve_callers(
        self,
        components: RouterComponents,
        *,
        task_status: trio.TaskStatus[str],
    ) -> None:
        self._callers = HttpServer(components.request_handler.handle)
        await self._callers.run(
            self.settings.listen.callers,
            shutdown=self._may_close_listener.wait,
            task_status=task_status,
        )

    async def _drain(self, components: RouterComponents) -> None:
        """Become unready, notify the other routers, then close the listener.

        New requests are served during the stop delay, because the load
        balancer takes some time to notice that the router is not ready.
        """
        log_event('router.stopping')
        components.readiness.is_stopping = True
        if self._callers is not None:
            self._callers.begin_stop()
        components.state.peers.own_is_leaving = True
        now = trio.current_time()
        components.state.credit.tick(now)
        components.gossip.send_heartbeat(now, leaving=True)
        await trio.sleep(self.settings.fleet.stop_delay_seconds)
        self._may_close_listener.set()


async def _wait_for_unfinished_work(components: RouterComponents) -> None:
    """Wait for requests whose callers have disconnected, and for claims."""
    while components.state.loads.own_total_requests():
        await trio.sleep(STOP_POLL_SECONDS)
    with trio.move_on_after(CLAIM_SETTLE_TIMEOUT_SECONDS):
        while components.claims.pending_count:
            await trio.sleep(STOP_POLL_SECONDS)
