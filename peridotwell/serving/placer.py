"""Chooses a target for one attempt of a request, within the load bound."""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice

import trio

from peridotwell.domain.caller_request import CallerRequest
from peridotwell.domain.configuration import Defaults
from peridotwell.domain.target import Pool, Target
from peridotwell.errors import NoTarget
from peridotwell.fleet.lending.credit_exchange import CreditExchange
from peridotwell.fleet.lending.load_tracker import LoadTracker
from peridotwell.fleet.membership.target_membership import TargetMembership
from peridotwell.fleet.transport.peers import Peers
from peridotwell.policy.placement.placement import (
    HintedPlacement,
    placement_hint,
)
from peridotwell.policy.room.admission import AdmissionQueue, QueuedRequest
from peridotwell.serving.fair_shares import FairShares
from peridotwell.store.configuration import ConfigurationStore

__all__ = ('Placer', 'PlacementRequest')

# Targets tried in the order that the placement policy gives for the chat;
# after them, any target with a free credit is taken.
MAX_PREFERRED_TARGETS = 3
# Waiting requests of each pool that are woken at a heartbeat, because other
# routers may have released credits.
REQUESTS_WOKEN_PER_HEARTBEAT = 2
RETRY_AFTER_SECONDS = 2
# Time in which the end of a chat's previous turn reaches the lender of its
# engine.
TURN_END_SECONDS = 0.03


@dataclass(frozen=True)
class PlacementRequest:
    """The constraints on the target of one attempt.

    Targets in `excluded_targets` are used only if no other is usable.
    `preferred_target` is tried first, if it is not empty. `is_suspect` marks
    a request that was running on a target when that target was lost; it is
    placed apart from other requests.
    """

    request: CallerRequest
    excluded_targets: frozenset[str] = frozenset()
    preferred_target: str = ''
    is_suspect: bool = False


class Placer:
    """Places requests on targets and queues those that must wait, by pool."""

    def __init__(
        self,
        peers: Peers,
        membership: TargetMembership,
        loads: LoadTracker,
        credit: CreditExchange,
        configuration: ConfigurationStore,
    ) -> None:
        self._configuration = configuration
        self._own_data_centre = peers.own.data_centre
        self._membership = membership
        self._loads = loads
        self._credit = credit
        self._placement = HintedPlacement()
        self._shares = FairShares(self._own_data_centre, membership, loads)
        self._queues: dict[str, AdmissionQueue] = {}

    async def place(self, placement_request: PlacementRequest) -> Target:
        """Return a target after spending a credit for it.

        The caller must call `release` when the attempt has ended. Raises
        NoTarget or Overloaded immediately when waiting would not help.
        """
        request = placement_request.request
        cfg = self._configuration.current.for_request(
            request.customer,
            request.contract.pool,
            request.priority_class,
        )
        queue = self._queues.setdefault(request.contract.pool, AdmissionQueue())
        arrival = queue.next_arrival_number()
        enqueued_at = trio.current_time()
        must_wait = self._must_wait(request, cfg, queue, enqueued_at)
        is_woken = False
        while True:
            if not must_wait:
                if is_woken:
                    target = await self._acquire_after_wait(placement_request)
                else:
                    target = await self._acquire(placement_request, cfg)
                if target is not None:
                    self._record_start(placement_request, target)
                    return target
            now = trio.current_time()
            self._check_servable(placement_request, now)
            queued_request = QueuedRequest(
                priority=cfg.priority,
                fair_order=self._shares.usage_ratio(request, cfg, now),
                arrival=arrival,
                deadline_at=_wait_deadline(placement_request, cfg, enqueued_at),
            )
            self._loads.record_wait_start(request.customer)
            try:
                await queue.wait(queued_request, cfg.queue_limit, now)
            finally:
                self._loads.record_wait_end(request.customer)
            now = trio.current_time()
            must_wait = self._shares.is_over_share(request, cfg, now)
            is_woken = True

    def release(
        self, placement_request: PlacementRequest, target: Target
    ) -> None:
        """Release the credit of an ended attempt and wake a waiting request."""
        request = placement_request.request
        self._loads.record_request_end(target, request.customer)
        queue = self._queues[request.contract.pool]
        self._credit.release(
            target,
            trio.current_time(),
            is_awaited=len(queue) > 0,
            is_suspect=placement_request.is_suspect,
        )
        queue.wake_next()

    def wake_waiting_requests(self) -> None:
        """Let waiting requests retry, because credits may be available now."""
        for queue in self._queues.values():
            queue.wake_next(REQUESTS_WOKEN_PER_HEARTBEAT)

    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(queue) for queue in self._queues.values())

    async def _acquire(
        self, placement_request: PlacementRequest, cfg: Defaults
    ) -> Target | None:
        """Spend a credit on a preferred target, else on any target."""
        for pool in self._nearest_pools_first(
            placement_request.request.contract.pool
        ):
            candidates = self._candidates(placement_request, cfg, pool)
            for target in islice(candidates, MAX_PREFERRED_TARGETS):
                if await self._acquire_target(placement_request, cfg, target):
                    return target
            found = await self._acquire_any(placement_request, pool)
            if found is not None:
                return found
        return None

    async def _acquire_target(
        self, placement_request: PlacementRequest, cfg: Defaults, target: Target
    ) -> bool:
        """Spend a credit on one target.

        The engine of a chat's previous turn is tried again after a short time
        if it seems full with one request: that may be the previous turn,
        which has ended, but its lender does not know it yet.
        """
        is_suspect = placement_request.is_suspect
        now = trio.current_time()
        if await self._credit.acquire(target, now, is_suspect=is_suspect):
            return True
        hint = placement_request.request.placement_hint
        is_hinted = cfg.follow_hints and placement_hint(target) == hint
        caps = self._loads.target_caps(target.pool, now)
        if not is_hinted or caps.get(target.name) != 1:
            return False
        await trio.sleep(TURN_END_SECONDS)
        self._credit.forget_refusal(target)
        return await self._credit.acquire(
            target, trio.current_time(), is_suspect=is_suspect
        )

    async def _acquire_after_wait(
        self, placement_request: PlacementRequest
    ) -> Target | None:
        """Spend a credit that an ended request released, else any credit."""
        for pool in self._nearest_pools_first(
            placement_request.request.contract.pool
        ):
            usable = self._usable_targets(
                placement_request, pool, trio.current_time()
            )
            target = None
            if not placement_request.is_suspect:
                target = self._credit.spend_idle(usable)
            target = target or await self._acquire_any(placement_request, pool)
            if target is not None:
                return target
        return None

    async def _acquire_any(
        self, placement_request: PlacementRequest, pool: Pool
    ) -> Target | None:
        now = trio.current_time()
        target = await self._credit.acquire_any(
            pool,
            now,
            is_suspect=placement_request.is_suspect,
        )
        if target is None or target in self._usable_targets(
            placement_request, pool, now
        ):
            return target
        self._credit.release(
            target,
            trio.current_time(),
            is_suspect=placement_request.is_suspect,
        )
        return None

    def _candidates(
        self,
        placement_request: PlacementRequest,
        cfg: Defaults,
        pool: Pool,
    ) -> Iterator[Target]:
        """Yield the targets of a pool in descending order of preference."""
        request = placement_request.request
        usable = self._usable_targets(
            placement_request, pool, trio.current_time()
        )
        for target in usable:
            if target.name == placement_request.preferred_target:
                yield target
        chat = request.chat or request.request_id
        hint = request.placement_hint if cfg.follow_hints else ''
        yield from self._placement.order(chat, usable, hint)

    def _nearest_pools_first(self, name: str) -> tuple[Pool, ...]:
        pools = self._membership.pools_named(name)
        own_data_centre = self._own_data_centre
        return tuple(
            sorted(pools, key=lambda pool: pool.data_centre != own_data_centre)
        )

    def _usable_targets(
        self, placement_request: PlacementRequest, pool: Pool, now: float
    ) -> list[Target]:
        """Return a pool's usable targets.

        Targets that the request excludes are returned only if no other
        target is usable.
        """
        usable = list(self._membership.usable_targets(pool, now))
        others = [
            target
            for target in usable
            if target.name not in placement_request.excluded_targets
        ]
        return others or usable

    def _record_start(
        self, placement_request: PlacementRequest, target: Target
    ) -> None:
        self._loads.record_request_start(
            target, placement_request.request.customer
        )

    def _must_wait(
        self,
        request: CallerRequest,
        cfg: Defaults,
        queue: AdmissionQueue,
        now: float,
    ) -> bool:
        """Whether the request must queue before it may take a credit.

        It must wait if the pool is nearly full and the customer has used its
        fair share, or if the pool is full and other requests wait for it.
        """
        if self._shares.is_over_share(request, cfg, now):
            return True
        return self._shares.is_full(request, now) and len(queue) > 0

    def _check_servable(
        self, placement_request: PlacementRequest, now: float
    ) -> None:
        name = placement_request.request.contract.pool
        pools = self._nearest_pools_first(name)
        if not pools:
            raise NoTarget(
                f'No target serves {name}: check the name of the model or '
                'service.',
            )
        if not any(
            self._membership.usable_targets(pool, now) for pool in pools
        ):
            raise NoTarget(
                f'No live target serves {name} now: send the request again.',
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )


def _wait_deadline(
    placement_request: PlacementRequest, cfg: Defaults, enqueued_at: float
) -> float:
    """Return the time until which a request may wait.

    A suspect request may wait until its deadline, because it has already run.
    """
    if placement_request.is_suspect:
        return placement_request.request.deadline_at
    return min(
        placement_request.request.deadline_at, enqueued_at + cfg.queue_seconds
    )
