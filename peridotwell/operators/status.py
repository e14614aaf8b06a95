"""The status that a router reports to operators."""

import trio

from peridotwell.domain.target import Target
from peridotwell.fleet.membership.gossip import SharedState
from peridotwell.fleet.transport.peer_transport import PeerTransport
from peridotwell.metrics import Metrics
from peridotwell.operators.messages import (
    RouterAddress,
    RouterStatus,
    TargetStatus,
)
from peridotwell.serving.placer import Placer
from peridotwell.serving.readiness import Readiness
from peridotwell.store.claims import ClaimStore
from peridotwell.store.http_store import HttpStore

__all__ = ('StatusReader',)


class StatusReader:
    """Collects the status of a router from its components."""

    def __init__(
        self,
        state: SharedState,
        readiness: Readiness,
        placer: Placer,
        claims: ClaimStore,
        transport: PeerTransport,
        store: HttpStore,
        metrics: Metrics,
    ) -> None:
        self.platform_reachable = False
        self._state = state
        self._readiness = readiness
        self._placer = placer
        self._claims = claims
        self._transport = transport
        self._store = store
        self._metrics = metrics
        self._started_at = trio.current_time()

    def read(self, now: float) -> RouterStatus:
        """Return the current status."""
        state = self._state
        own = state.peers.own
        obstacle = self._readiness.not_ready_reason(now)
        call_counts = self._store.counters
        return RouterStatus(
            name=own.name,
            data_centre=own.data_centre,
            operators=own.operator_address,
            version=state.configuration_store.current.version,
            ready=not obstacle,
            obstacle=obstacle,
            platform_reachable=self.platform_reachable,
            running_calls=state.loads.own_total_requests(),
            waiting_calls=self._placer.waiting_count(),
            unsettled_claims=self._claims.pending_count,
            quarantined=sum(
                bool(crash_record.lost_incarnations)
                for crash_record in state.quarantine.records()
            ),
            live_routers=tuple(
                RouterAddress(peer.hello.name, peer.hello.operator_address)
                for peer in state.peers.live_peers(now)
            ),
            control_bytes=self._transport.sent_bytes,
            control_frames=self._transport.sent_frames,
            platform_calls=call_counts.reads
            + call_counts.writes
            + call_counts.watches,
            uptime_seconds=now - self._started_at,
            targets=tuple(
                self._target_status(target)
                for target in state.membership.targets()
            ),
            counters=dict(self._metrics.counters),
        )

    def _target_status(self, target: Target) -> TargetStatus:
        return TargetStatus(
            name=target.name,
            data_centre=target.pool.data_centre,
            pool=target.pool.name,
            state='leaving' if target.leaving else 'live',
            slots=target.slots,
            own_calls=self._state.credit.spent(target),
            doubted=target.name in self._state.membership.doubted,
        )
