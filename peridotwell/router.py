"""The life of one router, from start to stop."""

import msgspec
import trio

from peridotwell.assembly import RouterComponents, build_components
from peridotwell.logs import log_event
from peridotwell.operators.api import OperatorsApi
from peridotwell.serving.asgi import HttpExchange, serve_http
from peridotwell.settings import Settings

__all__ = ('Router', 'RouterAddresses')

EXIT_POLL_SECONDS = 0.05
# How long a stop waits for the platform to record the ends of bookings.
SETTLE_BEFORE_EXIT_SECONDS = 10


class RouterAddresses(msgspec.Struct, frozen=True):
    """Where a running router listens."""

    callers: str
    operators: str
    peers: str


class Router:
    """A router built from its settings."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.stop_requested = trio.Event()
        self._may_close = trio.Event()
        self._desk: OperatorsApi | None = None

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[
            RouterAddresses
        ] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until `stop_requested`, then finish what is running."""
        async with trio.open_nursery() as nursery:
            operators = await nursery.start(
                serve_http,
                self._handle_operators,
                self.settings.listen.operators,
            )
            parts = build_components(self.settings, operators, nursery)
            self._desk = parts.desk
            parts.upkeep.start(nursery)
            async with trio.open_nursery() as serving:
                callers = await serving.start(self._serve_callers, parts)
                peers = parts.state.peers.own.peer_address
                task_status.started(RouterAddresses(callers, operators, peers))
                log_event('router.started', callers=callers)
                await self.stop_requested.wait()
                await self._leave(parts)
            await _finish(parts)
            log_event('router.stopped')
            nursery.cancel_scope.cancel()
        parts.bus.close()

    async def _handle_operators(self, exchange: HttpExchange) -> None:
        if self._desk is not None:
            await self._desk.handle(exchange)

    async def _serve_callers(
        self,
        parts: RouterComponents,
        *,
        task_status: trio.TaskStatus[str],
    ) -> None:
        await serve_http(
            parts.front.handle,
            self.settings.listen.callers,
            shutdown=self._may_close.wait,
            task_status=task_status,
        )

    async def _leave(self, parts: RouterComponents) -> None:
        """Become unready, tell the other routers, then close the listener.

        Until the balancer has noticed, new calls are still served.
        """
        log_event('router.stopping')
        parts.readiness.is_stopping = True
        parts.state.peers.own_is_leaving = True
        now = trio.current_time()
        parts.state.credit.tick(now)
        parts.gossip.send_heartbeat(now, leaving=True)
        await trio.sleep(self.settings.fleet.stop_delay_seconds)
        self._may_close.set()


async def _finish(parts: RouterComponents) -> None:
    """Wait for bookings whose callers left, and for their records."""
    while parts.state.loads.own_total_calls():
        await trio.sleep(EXIT_POLL_SECONDS)
    with trio.move_on_after(SETTLE_BEFORE_EXIT_SECONDS):
        while parts.claims.pending:
            await trio.sleep(EXIT_POLL_SECONDS)
