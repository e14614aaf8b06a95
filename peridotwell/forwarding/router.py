"""The life of a forwarding router, from start to stop."""

import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import trio

from peridotwell.errors import StoreError
from peridotwell.fleet.bus import SocketBus
from peridotwell.fleet.directory import Directory
from peridotwell.fleet.follower import Follower
from peridotwell.fleet.frames import Hello
from peridotwell.fleet.peers import Peers, make_hello
from peridotwell.fleet.registry import Registration
from peridotwell.fleet.sharing import Knowledge, Sharing
from peridotwell.forwarding.dialect import (
    CallerDialect,
    EntryDecoder,
    TargetDialect,
)
from peridotwell.forwarding.dispatch import Dispatcher
from peridotwell.forwarding.front import ForwardingFront
from peridotwell.forwarding.links import Links
from peridotwell.forwarding.parts import ForwardingParts
from peridotwell.forwarding.placement import Placement
from peridotwell.forwarding.recovery import CacheRecovery
from peridotwell.forwarding.suspects import Suspects
from peridotwell.forwarding.target_book import TargetBook
from peridotwell.logs import log_event, log_failure
from peridotwell.metrics import Metrics, render_metrics
from peridotwell.policy.cache_map import CacheMap
from peridotwell.policy.ejection import Ejection
from peridotwell.policy.fleet_load import FleetLoad
from peridotwell.policy.quarantine import Quarantine
from peridotwell.serving.asgi import Exchange, HttpServer
from peridotwell.store.feed import FollowedStore
from peridotwell.world.bounds import Bounds

__all__ = ('ForwardingSettings', 'Dialects', 'ForwardingRouter')

OK = 200
NOT_READY = 503
TEXT_TYPE = ('content-type', 'text/plain; charset=utf-8')
# The balancer asks every second and wants two misses.
STOP_DELAY_SECONDS = 2.6
# Time to end what still runs before the kill.
STOP_MARGIN_SECONDS = 0.4
SETTLE_SECONDS = 0.5
UPDATE_SECONDS = 0.03
DEAD_AFTER_SECONDS = 2.0
LEASE_RENEWALS = 3
MILLISECONDS = 1000
EXIT_POLL_SECONDS = 0.02


@dataclass(frozen=True)
class ForwardingSettings:
    """Who this router is, where it listens, and what it has to keep.

    `metrics` is the address of the counters and histograms, or empty.
    """

    name: str
    data_centre: str
    callers: str
    readiness: str
    peers: str
    metrics: str
    bounds: Bounds


@dataclass(frozen=True)
class Dialects:
    """What a deployment's header fields and entries mean."""

    callers: CallerDialect
    targets: TargetDialect
    entries: EntryDecoder


class ForwardingRouter:
    """A router that forwards requests by host and path."""

    def __init__(
        self,
        settings: ForwardingSettings,
        dialects: Dialects,
        store: FollowedStore,
        listener: socket.socket | None = None,
    ) -> None:
        """Build a router; `listener` is the callers' port if it is open."""
        self.settings = settings
        self._listener = listener
        self.stop_requested = trio.Event()
        self.metrics = Metrics('', 'peridotwell')
        self.directory = Directory(dialects.entries)
        self._bus = SocketBus(settings.peers)
        self._peers = Peers(_own_hello(settings), DEAD_AFTER_SECONDS)
        knowledge = Knowledge(
            self.directory,
            CacheMap(),
            FleetLoad(),
            FleetLoad(),
            Quarantine(),
        )
        self._sharing = Sharing(
            self._peers,
            self._bus,
            knowledge,
            self.metrics,
        )
        self._follower = Follower(store, self.directory, self.metrics)
        self._registration = Registration(
            store,
            self._peers.own,
            settings.bounds.lease_seconds,
        )
        self._links = Links(self.directory, dialects.targets)
        self._recovery = CacheRecovery(
            self.directory,
            self._sharing,
            knowledge.caches,
            self._links,
            dialects.targets,
        )
        self._front = self._make_front(settings, dialects, knowledge)
        self._callers = HttpServer(self._front.handle)
        self._readiness = HttpServer(self._answer_ready)
        self._may_close = trio.Event()
        self.directory.on_change(self._apply_changes)

    def obstacle(self) -> str:
        """Return why this router should get no new callers, or ''."""
        if self.stop_requested.is_set():
            return 'stopping'
        if self.directory.table is None:
            return 'no configuration yet'
        if not self.directory.is_listed:
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
        self._front.set_bounds(settings.bounds)
        self._placement.set_bounds(settings.bounds)

    async def run(self) -> None:
        """Serve until `stop_requested`, then end what runs and return."""
        try:
            async with trio.open_nursery() as nursery:
                self._start_upkeep(nursery)
                await nursery.start(self._serve_readiness)
                nursery.start_soon(self._serve_metrics)
                await self._serve_until_stopped()
                nursery.cancel_scope.cancel()
        finally:
            # An open socket would hold up the end of the process.
            self._bus.close()
        log_event('router.stopped')

    def _start_upkeep(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self._follower.run)
        nursery.start_soon(self._receive)
        nursery.start_soon(self._recovery.run)
        nursery.start_soon(self._suspects.run)
        renewal = self.settings.bounds.lease_seconds / LEASE_RENEWALS
        for period, step in (
            (UPDATE_SECONDS, self._update),
            (SETTLE_SECONDS, self._settle),
            (renewal, self._register),
        ):
            nursery.start_soon(self._repeat, period, step)

    async def _serve_until_stopped(self) -> None:
        async with trio.open_nursery() as serving:
            await serving.start(self._serve_callers)
            log_event(
                'router.started',
                callers=self.settings.callers,
            )
            await self.stop_requested.wait()
            stopped_at = trio.current_time()
            log_event('router.stopping', running=self._front.running)
            self._front.is_stopping = True
            self._peers.own_leaving = True
            await trio.sleep(STOP_DELAY_SECONDS)
            self._may_close.set()
            grace = self.settings.bounds.grace_seconds - STOP_MARGIN_SECONDS
            await self._wait_until_idle(stopped_at + grace)
            serving.cancel_scope.cancel()

    async def _wait_until_idle(self, until: float) -> None:
        while self._callers.connections and trio.current_time() < until:
            await trio.sleep(EXIT_POLL_SECONDS)
        if self._front.running:
            log_event('router.cut', running=self._front.running)

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

    async def _answer_metrics(self, exchange: Exchange) -> None:
        text = '\n'.join(render_metrics(self.metrics))
        await exchange.answer(OK, f'{text}\n'.encode(), (TEXT_TYPE,))

    async def _answer_ready(self, exchange: Exchange) -> None:
        why = self.obstacle()
        document = {'ready': not why, 'why': why}
        await exchange.answer_json(document, NOT_READY if why else OK)

    def _make_front(
        self,
        settings: ForwardingSettings,
        dialects: Dialects,
        knowledge: Knowledge,
    ) -> ForwardingFront:
        book = TargetBook(
            self.directory,
            Ejection(),
            self._sharing,
            knowledge,
        )
        self._suspects = Suspects(knowledge.quarantine, self._sharing)
        self._placement = Placement(
            book,
            knowledge.caches,
            settings.data_centre,
            settings.bounds,
        )
        dispatcher = Dispatcher(
            self._links,
            book,
            dialects.targets,
            self._suspects,
        )
        parts = ForwardingParts(
            dispatcher,
            self._placement,
            self._suspects,
            dialects.callers,
            dialects.targets,
        )
        return ForwardingFront(
            self.directory,
            parts,
            settings.bounds,
            self._sharing,
            self.metrics,
        )

    def _apply_changes(self) -> None:
        table = self.directory.table
        if table is not None:
            self._callers.keep_idle(table.limits.idle_seconds)
        listed = self.directory.routers()
        self._sharing.introductions.meet(listed)
        self._sharing.introductions.forget_gone(listed, trio.current_time())

    async def _receive(self) -> None:
        async for content in self._bus.contents():
            self._sharing.receive(content, trio.current_time(), time.time())

    async def _update(self) -> None:
        self._sharing.tick(trio.current_time())

    async def _register(self) -> None:
        try:
            await self._registration.renew()
        except StoreError as exc:
            self.metrics.count('store.errors')
            log_failure('registration.failed', code=exc.code, error=str(exc))

    async def _settle(self) -> None:
        self.directory.settle(trio.current_time())
        await self._links.close_gone()

    async def _repeat(
        self,
        period_seconds: float,
        step: Callable[[], Awaitable[None]],
    ) -> None:
        while True:
            await step()
            await trio.sleep(period_seconds)


def _own_hello(settings: ForwardingSettings) -> Hello:
    return make_hello(
        settings.name,
        settings.data_centre,
        settings.peers,
        '',
        int(time.time() * MILLISECONDS),
    )
