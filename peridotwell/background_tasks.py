"""The tasks that keep a router's knowledge fresh, each written straight down.

Every task survives the platform's outages: it counts the error and goes on
with what is known.
"""

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
import trio

from peridotwell.domain.target import Target
from peridotwell.errors import StoreError
from peridotwell.fleet.gossip import Gossip, SharedState
from peridotwell.fleet.peer_transport import ZmqPeerTransport
from peridotwell.fleet.router_registry import RouterRegistry
from peridotwell.fleet.target_membership import decode_listing
from peridotwell.logs import log_event
from peridotwell.metrics import Metrics
from peridotwell.operators.status import StatusReader
from peridotwell.serving.placer import Placer
from peridotwell.serving.target_monitor import TargetMonitor
from peridotwell.settings import Settings
from peridotwell.store.claims import ClaimStore
from peridotwell.store.http_store import HttpStore

__all__ = ('BackgroundTasks',)

WATCH_SECONDS = 10
POLL_SECONDS = 15
SETTLE_SECONDS = 0.5
PEERS_SECONDS = 2
# Routers of a data centre that hold a watch; the others hear from them.
WATCHERS = 2
# Bytes of one health probe, headers included, and the budget for them.
PROBE_BYTES = 350
PROBE_BYTES_PER_SECOND = 700
LEASE_RENEWALS = 3


@dataclass(frozen=True)
class BackgroundTasks:
    """The background tasks of one router."""

    settings: Settings
    state: SharedState
    gossip: Gossip
    bus: ZmqPeerTransport
    store: HttpStore
    registry: RouterRegistry
    watch: TargetMonitor
    placer: Placer
    claims: ClaimStore
    status: StatusReader
    metrics: Metrics

    def start(self, nursery: trio.Nursery) -> None:
        """Start every task."""
        platform = self.settings.platform
        nursery.start_soon(self._receive)
        nursery.start_soon(self._beat)
        nursery.start_soon(self._probe)
        nursery.start_soon(self._follow_configuration)
        lease = platform.lease_seconds / LEASE_RENEWALS
        for period, step in (
            (lease, self.registry.renew),
            (PEERS_SECONDS, self._find_peers),
            (platform.list_seconds, self._read_list),
            (SETTLE_SECONDS, self.claims.settle_pending),
        ):
            nursery.start_soon(self._repeat, period, step)

    async def _repeat(
        self,
        period_seconds: float,
        step: Callable[[], Awaitable[None]],
    ) -> None:
        """Run a step that asks the platform, again and again."""
        while True:
            try:
                await step()
            except StoreError as exc:
                self._note_platform(exc.code)
            await trio.sleep(period_seconds)

    async def _receive(self) -> None:
        async for content in self.bus.received_frames():
            self.gossip.receive(content, trio.current_time(), time.time())

    async def _beat(self) -> None:
        while True:
            now = trio.current_time()
            self.state.credit.tick(now)
            self.gossip.discovery.greet_seeds(self.settings.fleet.seeds, now)
            self.gossip.send_heartbeat(
                now, leaving=self.state.peers.own_is_leaving
            )
            self.state.quarantine.expire(time.time())
            self.placer.call_waiting()
            self._report_gauges()
            await trio.sleep(self.settings.fleet.heartbeat_seconds)

    async def _find_peers(self) -> None:
        listed = await self.registry.other_routers()
        self.gossip.discovery.meet(listed)
        self.gossip.discovery.forget_gone(listed, trio.current_time())

    async def _read_list(self) -> None:
        listing = await self.store.list_instances()
        try:
            listed = decode_listing(listing)
        except msgspec.DecodeError:
            self.metrics.count('platform.garbage')
            return
        self._note_platform('')
        membership = self.state.membership
        before = membership.doubted
        membership.apply_listing(listed)
        if membership.doubted != before:
            log_event('list.doubted', targets=sorted(membership.doubted))
        self.gossip.listing = listing
        await self.watch.close_unused()

    async def _follow_configuration(self) -> None:
        """Watch if this router is one of the watchers, else poll slowly."""
        while True:
            try:
                changed = await self._look_for_change()
            except StoreError as exc:
                self._note_platform(exc.code)
                await trio.sleep(1)
                continue
            except msgspec.DecodeError:
                self.metrics.count('platform.garbage')
                await trio.sleep(POLL_SECONDS)
                continue
            if changed:
                version = self.state.configuration_store.current.version
                log_event('configuration.changed', version=version)
                self.gossip.broadcast_configuration()

    async def _look_for_change(self) -> bool:
        """Read the store, then watch it or wait; True if it has changed."""
        book = self.state.configuration_store
        if await book.refresh():
            return True
        if self._is_watcher():
            return await book.watch(WATCH_SECONDS)
        await trio.sleep(POLL_SECONDS)
        return False

    def _is_watcher(self) -> bool:
        """Whether this router is among the first of its data centre."""
        own = self.state.peers.own
        lenders = self.state.peers.lenders(
            own.data_centre,
            trio.current_time(),
        )
        return own.sender in sorted(lenders)[:WATCHERS]

    async def _probe(self) -> None:
        """Ask the targets that this router lends for, within a budget."""
        while True:
            for target in self._own_targets():
                await self.watch.probe(target)
                await trio.sleep(PROBE_BYTES / PROBE_BYTES_PER_SECOND)
            await trio.sleep(PROBE_BYTES / PROBE_BYTES_PER_SECOND)

    def _own_targets(self) -> list[Target]:
        return [
            target
            for target in self.state.membership.targets()
            if self.state.credit.is_lender(target)
        ]

    def _report_gauges(self) -> None:
        self.metrics.gauge('calls.running', self.state.loads.own_total_calls())
        self.metrics.gauge('calls.waiting', self.placer.waiting())
        self.metrics.gauge('control.sent_bytes', self.bus.sent_bytes)

    def _note_platform(self, problem: str) -> None:
        if problem:
            self.metrics.count('platform.errors')
        if self.status.platform_reachable != (not problem):
            self.status.platform_reachable = not problem
            log_event('platform.changed', problem=problem)
