"""The background tasks that keep the state of a router up to date.

Every task survives an outage of the platform: it counts the error and
continues with the last known state.
"""

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from peridotwell.decoding import DECODING_ERRORS
from peridotwell.domain.target import Target
from peridotwell.errors import StoreError
from peridotwell.fleet.membership.gossip import Gossip, SharedState
from peridotwell.fleet.membership.target_membership import decode_listing
from peridotwell.fleet.transport.peer_transport import ZmqPeerTransport
from peridotwell.fleet.transport.router_registry import RouterRegistry
from peridotwell.logs import log_event
from peridotwell.metrics import Metrics
from peridotwell.operators.status import StatusReader
from peridotwell.serving.placer import Placer
from peridotwell.serving.request_recall import RequestRecall
from peridotwell.serving.target_monitor import TargetMonitor
from peridotwell.settings import Settings
from peridotwell.store.claims import ClaimStore
from peridotwell.store.http_store import HttpStore

__all__ = ('BackgroundTasks',)

CONFIGURATION_WATCH_SECONDS = 10
CONFIGURATION_POLL_SECONDS = 15
CLAIM_SETTLE_PERIOD_SECONDS = 0.5
PEER_DISCOVERY_PERIOD_SECONDS = 2
# Routers of a data centre that watch the configuration in the store. They
# notify the others, which poll as a fallback.
WATCHERS_PER_DATA_CENTRE = 2
# Bytes that one health probe takes on the network, headers included.
PROBE_BYTES = 350
# Limit for the health probes of one router.
PROBE_BYTES_PER_SECOND = 700
RENEWALS_PER_LEASE = 3


@dataclass(frozen=True)
class BackgroundTasks:
    """The background tasks of one router."""

    settings: Settings
    state: SharedState
    gossip: Gossip
    transport: ZmqPeerTransport
    store: HttpStore
    registry: RouterRegistry
    target_monitor: TargetMonitor
    request_recall: RequestRecall
    placer: Placer
    claims: ClaimStore
    status_reader: StatusReader
    metrics: Metrics

    def start(self, nursery: trio.Nursery) -> None:
        """Start every task."""
        platform = self.settings.platform
        nursery.start_soon(self._receive_messages)
        nursery.start_soon(self._send_heartbeats)
        nursery.start_soon(self._probe_targets)
        nursery.start_soon(self.request_recall.run)
        nursery.start_soon(self._follow_configuration)
        renewal_period = platform.lease_seconds / RENEWALS_PER_LEASE
        for period, action in (
            (renewal_period, self.registry.renew),
            (PEER_DISCOVERY_PERIOD_SECONDS, self._discover_peers),
            (platform.list_seconds, self._update_targets),
            (CLAIM_SETTLE_PERIOD_SECONDS, self.claims.settle_pending),
        ):
            nursery.start_soon(self._repeat, period, action)

    async def _repeat(
        self,
        period_seconds: float,
        action: Callable[[], Awaitable[None]],
    ) -> None:
        """Call `action` periodically and count errors of the store."""
        while True:
            try:
                await action()
            except StoreError as exc:
                self._record_platform_state(exc.code)
            await trio.sleep(period_seconds)

    async def _receive_messages(self) -> None:
        async for content in self.transport.received_frames():
            self.gossip.receive(content, trio.current_time(), time.time())

    async def _send_heartbeats(self) -> None:
        while True:
            now = trio.current_time()
            self.state.credit.tick(now)
            self.gossip.discovery.contact_seeds(self.settings.fleet.seeds, now)
            self.gossip.send_heartbeat(
                now, leaving=self.state.peers.own_is_leaving
            )
            self.state.quarantine.expire(time.time())
            self.placer.wake_waiting_requests()
            self._report_gauges()
            await trio.sleep(self.settings.fleet.heartbeat_seconds)

    async def _discover_peers(self) -> None:
        listed = await self.registry.other_routers()
        self.gossip.discovery.add_peers(listed)
        self.gossip.discovery.remove_gone(listed, trio.current_time())

    async def _update_targets(self) -> None:
        listing = await self.store.list_instances()
        try:
            listed = decode_listing(listing)
        except DECODING_ERRORS:
            self.metrics.count('platform.garbage')
            return
        self._record_platform_state('')
        membership = self.state.membership
        previously_doubted = membership.doubted
        membership.apply_listing(listed)
        if membership.doubted != previously_doubted:
            log_event('list.doubted', targets=sorted(membership.doubted))
        self.gossip.listing = listing
        await self.target_monitor.close_unused_clients()

    async def _follow_configuration(self) -> None:
        """Watch the store if this router is a watcher, else poll it."""
        while True:
            try:
                changed = await self._wait_for_change()
            except StoreError as exc:
                self._record_platform_state(exc.code)
                await trio.sleep(1)
                continue
            except DECODING_ERRORS:
                self.metrics.count('platform.garbage')
                await trio.sleep(CONFIGURATION_POLL_SECONDS)
                continue
            if changed:
                version = self.state.configuration_store.current.version
                log_event('configuration.changed', version=version)
                self.gossip.broadcast_configuration()

    async def _wait_for_change(self) -> bool:
        """Read the store, then watch it or wait; return whether it changed."""
        configuration_store = self.state.configuration_store
        if await configuration_store.refresh():
            return True
        if self._is_watcher():
            return await configuration_store.watch(CONFIGURATION_WATCH_SECONDS)
        await trio.sleep(CONFIGURATION_POLL_SECONDS)
        return False

    def _is_watcher(self) -> bool:
        """Whether this router watches the store for its data centre."""
        own = self.state.peers.own
        lenders = self.state.peers.lenders(
            own.data_centre,
            trio.current_time(),
        )
        return own.sender in sorted(lenders)[:WATCHERS_PER_DATA_CENTRE]

    async def _probe_targets(self) -> None:
        """Probe the targets whose credit this router lends, one at a time."""
        while True:
            for target in self._lent_targets():
                await self.target_monitor.probe(target)
                await trio.sleep(PROBE_BYTES / PROBE_BYTES_PER_SECOND)
            await trio.sleep(PROBE_BYTES / PROBE_BYTES_PER_SECOND)

    def _lent_targets(self) -> list[Target]:
        """Return the targets of which this router is the lender."""
        return [
            target
            for target in self.state.membership.targets()
            if self.state.credit.is_lender(target)
        ]

    def _report_gauges(self) -> None:
        self.metrics.gauge(
            'calls.running', self.state.loads.own_total_requests()
        )
        self.metrics.gauge('calls.waiting', self.placer.waiting_count())
        self.metrics.gauge('control.sent_bytes', self.transport.sent_bytes)

    def _record_platform_state(self, problem: str) -> None:
        """Log when the platform becomes unreachable or reachable.

        `problem` is the code of the error of a call, or '' after a success.
        """
        if problem:
            self.metrics.count('platform.errors')
        if self.status_reader.platform_reachable != (not problem):
            self.status_reader.platform_reachable = not problem
            log_event('platform.changed', problem=problem)
