"""Observes targets through their connections and reports changes."""

import time
from collections.abc import Callable

import trio

from peridotwell.attempt_errors import (
    AttemptError,
    ConnectionFailed,
    ResponseLost,
    TargetLeft,
)
from peridotwell.domain.caller_request import CallerRequest
from peridotwell.domain.target import Target, wire_id
from peridotwell.fleet.membership.target_membership import (
    TargetMembership,
    TargetObservation,
)
from peridotwell.fleet.transport.frames import Observations
from peridotwell.logs import log_event
from peridotwell.metrics import Metrics
from peridotwell.policy.crashes.quarantine import (
    Quarantine,
    request_fingerprint,
)
from peridotwell.serving.outstanding_requests import (
    OutstandingRequest,
    OutstandingRequests,
)
from peridotwell.serving.response_buffers import (
    BudgetRecorder,
    ResponseBuffers,
)
from peridotwell.serving.target_client import TargetClient, TargetHealth
from peridotwell.store.configuration import ConfigurationStore

__all__ = ('TargetMonitor',)

MAX_LOSS_PROBES = 5
LOSS_PROBE_INTERVAL_SECONDS = 0.1


class TargetMonitor:
    """Keeps the clients of all targets and records what they observe.

    `publish` sends observations to the other routers. `outstanding` has the
    requests that are outstanding at each target.
    """

    def __init__(
        self,
        membership: TargetMembership,
        quarantine: Quarantine,
        metrics: Metrics,
        publish: Callable[[Observations], None],
        sender: int,
        configuration: ConfigurationStore,
    ) -> None:
        self.outstanding = OutstandingRequests()
        self._configuration = configuration
        self._membership = membership
        self._quarantine = quarantine
        self._metrics = metrics
        self._publish = publish
        self._sender = sender
        self._buffers = ResponseBuffers(observer=BudgetRecorder(metrics))
        self._clients: dict[tuple[str, str], TargetClient] = {}

    def client(self, target: Target) -> TargetClient:
        """Return the client of a target, creating it if needed."""
        client_key = (target.name, target.address)
        client = self._clients.get(client_key)
        if client is None:
            client = TargetClient(target, buffers=self._buffers)
            self._clients[client_key] = client
        return client

    def begin_sending(
        self, target: Target, outstanding: OutstandingRequest
    ) -> None:
        """Raise TargetLeft if a target has left since it was chosen."""
        known = self._membership.target(target.name)
        if known is None or known.leaving:
            raise TargetLeft(f'{target.name} has left: choose another target.')
        outstanding.record_sent(trio.current_time())

    def record_sign(self, target: Target) -> None:
        """Record that data arrived from a target."""
        self.outstanding.record_sign(target, trio.current_time())

    async def close_unused_clients(self) -> None:
        """Close the clients of targets that are no longer known."""
        known = {
            (target.name, target.address)
            for target in self._membership.targets()
        }
        for client_key in self._clients.keys() - known:
            await self._clients.pop(client_key).aclose()

    def is_suspect(self, request: CallerRequest) -> bool:
        """Whether the request was running on a target that was lost."""
        fingerprint = request_fingerprint(request.path, request.body)
        return self._quarantine.is_suspect(fingerprint, time.time())

    def record_response(self, target: Target, request: CallerRequest) -> None:
        """Record that a target returned a complete response."""
        self._membership.record_connection_success(target.name)
        fingerprint = request_fingerprint(request.path, request.body)
        crash_record = self._quarantine.clear_suspect(fingerprint, time.time())
        if crash_record is not None:
            self._publish(
                Observations(self._sender, crash_records=(crash_record,))
            )

    def record_connection_failure(self, target: Target) -> None:
        """Record that no connection to the target could be made."""
        self._metrics.count('target.unreachable')
        self._membership.record_connection_failure(
            target.name, trio.current_time()
        )

    def record_refusal(self, target: Target, reason: str) -> None:
        """Record a refusal; reason 'leaving' marks the target as leaving."""
        self._metrics.count('target.refused')
        self.record_sign(target)
        if reason == 'leaving':
            self._record_observation(target, target.incarnation, leaving=True)

    async def check_for_loss(
        self, target: Target, request: CallerRequest
    ) -> None:
        """Check whether a target was lost after a connection to it failed."""
        if await self._is_lost(target):
            self._record_loss(target, request)

    async def _is_lost(self, target: Target) -> bool:
        """Whether no connection can be made, or another incarnation responds.

        A terminating process may still accept connections and reset them,
        so a probe whose connection is reset is repeated.
        """
        for _ in range(MAX_LOSS_PROBES):
            try:
                health = await self.client(target).check_health()
            except ConnectionFailed:
                self.record_connection_failure(target)
                return True
            except ResponseLost:
                await trio.sleep(LOSS_PROBE_INTERVAL_SECONDS)
            except AttemptError:
                return False
            else:
                known = target.incarnation
                return bool(known) and health.boot != known
        return True

    async def probe(self, target: Target) -> None:
        """Request a target's health and publish what has changed."""
        try:
            health = await self.client(target).check_health()
        except ConnectionFailed:
            self.record_connection_failure(target)
        except AttemptError:
            self._metrics.count('target.probe_failed')
        else:
            self._membership.record_connection_success(target.name)
            self.record_sign(target)
            self._record_health(target, health)

    def _record_health(self, target: Target, health: TargetHealth) -> None:
        self._record_observation(
            target,
            health.boot,
            leaving=health.leaving,
            slots=health.slots,
        )

    def _record_observation(
        self,
        target: Target,
        incarnation: str,
        *,
        leaving: bool,
        slots: int = 0,
    ) -> None:
        observation = TargetObservation(
            target.wire_id,
            leaving,
            time.time(),
            incarnation,
            slots or target.slots,
        )
        if self._membership.apply_observation(observation):
            log_event(
                'target.changed',
                target=target.name,
                leaving=leaving,
                incarnation=incarnation,
            )
            self._publish(Observations(self._sender, targets=(observation,)))

    def _record_loss(self, target: Target, request: CallerRequest) -> None:
        self._metrics.count('target.lost')
        cfg = self._configuration.current.for_request(
            request.customer,
            request.contract.pool,
            request.priority_class,
        )
        crash_record = self._quarantine.record_loss(
            request_fingerprint(request.path, request.body),
            wire_id(f'{target.name}/{target.incarnation}'),
            time.time(),
            cfg.quarantine_seconds,
        )
        log_event(
            'request.suspected',
            fingerprint=f'{crash_record.fingerprint:016x}',
            target=target.name,
            lost=len(crash_record.lost_incarnations),
        )
        self._publish(Observations(self._sender, crash_records=(crash_record,)))
