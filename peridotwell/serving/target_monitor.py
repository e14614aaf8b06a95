"""What connections show about targets, and what follows from it."""

import time
from collections.abc import Callable

import trio

from peridotwell.attempt_errors import (
    AttemptError,
    ConnectionFailed,
    ResponseLost,
)
from peridotwell.domain.caller_request import CallerRequest
from peridotwell.domain.target import Target, wire_id
from peridotwell.fleet.frames import Observations
from peridotwell.fleet.target_membership import (
    TargetMembership,
    TargetObservation,
)
from peridotwell.logs import log_event
from peridotwell.metrics import Metrics
from peridotwell.policy.quarantine import Quarantine, request_fingerprint
from peridotwell.serving.target_client import TargetClient, TargetHealth
from peridotwell.store.configuration import ConfigurationStore

__all__ = ('TargetMonitor',)

LOSS_PROBES = 5
LOSS_PROBE_SECONDS = 0.1


class TargetMonitor:
    """The links to all targets, and the news that they bring.

    `spread` sends news to the other routers; it is set by the fleet.
    """

    def __init__(
        self,
        membership: TargetMembership,
        quarantine: Quarantine,
        metrics: Metrics,
        spread: Callable[[Observations], None],
        sender: int,
        book: ConfigurationStore,
    ) -> None:
        self._book = book
        self._membership = membership
        self._quarantine = quarantine
        self._metrics = metrics
        self._spread = spread
        self._sender = sender
        self._links: dict[tuple[str, str], TargetClient] = {}

    def client(self, target: Target) -> TargetClient:
        """Return the link to a target, opening it if needed."""
        identity = (target.name, target.address)
        found = self._links.get(identity)
        if found is None:
            found = TargetClient(target)
            self._links[identity] = found
        return found

    async def close_unused_clients(self) -> None:
        """Close the links to targets that are no longer known."""
        known = {
            (target.name, target.address)
            for target in self._membership.targets()
        }
        for identity in self._links.keys() - known:
            await self._links.pop(identity).aclose()

    def is_suspect(self, call: CallerRequest) -> bool:
        """Whether the call was in flight on a target that was lost."""
        mark = request_fingerprint(call.path, call.body)
        return self._quarantine.is_suspect(mark, time.time())

    def answered(self, target: Target, call: CallerRequest) -> None:
        """Book a whole answer."""
        self._membership.record_connection_success(target.name)
        mark = request_fingerprint(call.path, call.body)
        verdict = self._quarantine.clear_suspect(mark, time.time())
        if verdict is not None:
            self._spread(Observations(self._sender, crash_records=(verdict,)))

    def unreachable(self, target: Target) -> None:
        """Book that no connection could be made."""
        self._metrics.count('target.unreachable')
        self._membership.record_connection_failure(
            target.name, trio.current_time()
        )

    def refused(self, target: Target, reason: str) -> None:
        """Book a refusal, which is a sign of leaving if it says so."""
        self._metrics.count('target.refused')
        if reason == 'leaving':
            self._sign(target, target.incarnation, leaving=True)

    async def check_lost(self, target: Target, call: CallerRequest) -> None:
        """Find out whether a broken connection means a lost target."""
        if await self._is_lost(target):
            self._book_loss(target, call)

    async def _is_lost(self, target: Target) -> bool:
        """Whether no connection can be made, or another incarnation answers.

        A process that is ending still takes connections and resets them, so
        a probe that is answered by a reset is repeated.
        """
        for _ in range(LOSS_PROBES):
            try:
                health = await self.client(target).check_health()
            except ConnectionFailed:
                self.unreachable(target)
                return True
            except ResponseLost:
                await trio.sleep(LOSS_PROBE_SECONDS)
            except AttemptError:
                return False
            else:
                known = target.incarnation
                return bool(known) and health.boot != known
        return True

    async def probe(self, target: Target) -> None:
        """Ask a target for its health and spread what is new."""
        try:
            health = await self.client(target).check_health()
        except ConnectionFailed:
            self.unreachable(target)
        except AttemptError:
            self._metrics.count('target.probe_failed')
        else:
            self._membership.record_connection_success(target.name)
            self._learn_health(target, health)

    def _learn_health(self, target: Target, health: TargetHealth) -> None:
        self._sign(
            target,
            health.boot,
            leaving=health.leaving,
            slots=health.slots,
        )

    def _sign(
        self,
        target: Target,
        incarnation: str,
        *,
        leaving: bool,
        slots: int = 0,
    ) -> None:
        sign = TargetObservation(
            target.wire_id,
            leaving,
            time.time(),
            incarnation,
            slots or target.slots,
        )
        if self._membership.apply_observation(sign):
            log_event(
                'target.changed',
                target=target.name,
                leaving=leaving,
                incarnation=incarnation,
            )
            self._spread(Observations(self._sender, targets=(sign,)))

    def _book_loss(self, target: Target, call: CallerRequest) -> None:
        self._metrics.count('target.lost')
        cfg = self._book.current.for_request(
            call.customer,
            call.contract.pool,
            call.priority_class,
        )
        verdict = self._quarantine.record_loss(
            request_fingerprint(call.path, call.body),
            wire_id(f'{target.name}/{target.incarnation}'),
            time.time(),
            cfg.quarantine_seconds,
        )
        log_event(
            'request.suspected',
            fingerprint=f'{verdict.fingerprint:016x}',
            target=target.name,
            lost=len(verdict.lost_incarnations),
        )
        self._spread(Observations(self._sender, crash_records=(verdict,)))
