"""Choosing a target for one attempt of a call, within the load bound."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice

import trio

from peridotwell.errors import NoTarget
from peridotwell.fleet.credit_exchange import CreditExchange
from peridotwell.fleet.loads import LoadBook
from peridotwell.fleet.membership import Membership
from peridotwell.fleet.peers import Peers
from peridotwell.policy.admission import Demand, WaitingRoom, fair_share
from peridotwell.policy.placement import HintedPlacement
from peridotwell.store.configuration import ConfigurationBook
from peridotwell.world.call import Call
from peridotwell.world.configuration import Defaults
from peridotwell.world.target import Pool, Target

__all__ = ('Placer', 'Wish')

# Targets asked for a credit before the call waits.
MAX_ASKED = 8
RETRY_AFTER_SECONDS = 2


@dataclass(frozen=True)
class Wish:
    """What an attempt asks for: targets to avoid, or one to return to.

    A call under suspicion of losing its targets is kept apart from others.
    """

    call: Call
    avoided: frozenset[str] = frozenset()
    preferred: str = ''
    is_suspect: bool = False


class Placer:
    """Places calls on targets and keeps the waiting rooms of the pools."""

    def __init__(
        self,
        peers: Peers,
        membership: Membership,
        loads: LoadBook,
        credit: CreditExchange,
        book: ConfigurationBook,
    ) -> None:
        self._book = book
        self._own_data_centre = peers.own.data_centre
        self._membership = membership
        self._loads = loads
        self._credit = credit
        self._placement = HintedPlacement()
        self._rooms: dict[str, WaitingRoom] = {}
        self._suspects_on: Counter[str] = Counter()

    async def place(self, wish: Wish) -> Target:
        """Return a target with a credit spent on it; see `release`.

        Raises NoTarget or Overloaded at once when waiting would not help.
        """
        call = wish.call
        cfg = self._book.current.for_call(
            call.customer,
            call.contract.pool,
            call.priority_class,
        )
        room = self._rooms.setdefault(call.contract.pool, WaitingRoom())
        arrival = room.next_arrival()
        entered = trio.current_time()
        must_wait = self._must_wait(call, cfg, room, entered)
        while True:
            if not must_wait:
                target = await self._acquire(wish, cfg)
                if target is not None:
                    self._enter(wish, target)
                    return target
            now = trio.current_time()
            self._check_servable(wish, now)
            demand = Demand(
                priority=cfg.priority,
                overuse=self._overuse(call, cfg, now),
                arrival=arrival,
                until=min(call.deadline_at, entered + cfg.queue_seconds),
            )
            await room.wait(demand, cfg.queue_limit, now)
            must_wait = False

    def release(self, wish: Wish, target: Target) -> None:
        """End an attempt: free its credit and call the next who waits."""
        call = wish.call
        self._loads.leave(target.pool, call.customer)
        self._credit.release(target, trio.current_time())
        if wish.is_suspect:
            self._suspects_on[target.name] -= 1
        self._rooms[call.contract.pool].call_next()

    def call_waiting(self) -> None:
        """Let waiting calls try again, because credits may be free now."""
        for room in self._rooms.values():
            room.call_next()

    def waiting(self) -> int:
        """Return the number of calls that wait."""
        return sum(len(room) for room in self._rooms.values())

    async def _acquire(self, wish: Wish, cfg: Defaults) -> Target | None:
        now = trio.current_time()
        for target in islice(self._candidates(wish, cfg, now), MAX_ASKED):
            if await self._credit.acquire(target, trio.current_time()):
                return target
        return None

    def _candidates(
        self,
        wish: Wish,
        cfg: Defaults,
        now: float,
    ) -> Iterator[Target]:
        """Yield targets best first: this data centre's, then others'."""
        call = wish.call
        preferred = self._membership.target(wish.preferred)
        if preferred is not None and not preferred.leaving:
            yield preferred
        chat = call.chat or call.request_id
        hint = call.hint if cfg.follow_hints else ''
        for pool in self._pools(call.contract.pool):
            usable = self._usable(wish, pool, now)
            yield from self._placement.order(chat, usable, hint)

    def _pools(self, name: str) -> tuple[Pool, ...]:
        pools = self._membership.pools(name)
        own = self._own_data_centre
        return tuple(sorted(pools, key=lambda pool: pool.data_centre != own))

    def _usable(self, wish: Wish, pool: Pool, now: float) -> list[Target]:
        """Return a pool's usable targets; avoided ones only if no other is."""
        usable = [
            target
            for target in self._membership.usable(pool, now)
            if not (wish.is_suspect and self._suspects_on[target.name])
        ]
        others = [
            target for target in usable if target.name not in wish.avoided
        ]
        return others or usable

    def _enter(self, wish: Wish, target: Target) -> None:
        self._loads.enter(target.pool, wish.call.customer)
        if wish.is_suspect:
            self._suspects_on[target.name] += 1

    def _must_wait(
        self,
        call: Call,
        cfg: Defaults,
        room: WaitingRoom,
        now: float,
    ) -> bool:
        """Whether others go first.

        They do when the pool is full, and either calls wait already or the
        customer has its fair share.
        """
        capacity = self._capacity(call.contract.pool, now)
        if not capacity or self._outstanding(call, now) < capacity:
            return False
        return len(room) > 0 or self._overuse(call, cfg, now) > 1

    def _overuse(self, call: Call, cfg: Defaults, now: float) -> float:
        """Return the customer's outstanding calls over its fair share."""
        demand = {call.customer: float(0), **self._loads.demand(now)}
        capacity = self._capacity(call.contract.pool, now)
        share = fair_share(
            capacity or sum(demand.values()) + 1,
            demand,
            {call.customer: cfg.share},
            call.customer,
        )
        return (demand[call.customer] + 1) / max(share, 1)

    def _capacity(self, pool_name: str, now: float) -> int:
        """Return the slots of this data centre's targets (0: unlimited)."""
        pool = Pool(self._own_data_centre, pool_name)
        slots = [target.slots for target in self._membership.usable(pool, now)]
        return sum(slots) if all(slots) else 0

    def _outstanding(self, call: Call, now: float) -> int:
        pool = Pool(self._own_data_centre, call.contract.pool)
        return self._loads.outstanding(pool, now)

    def _check_servable(self, wish: Wish, now: float) -> None:
        name = wish.call.contract.pool
        pools = self._pools(name)
        if not pools:
            raise NoTarget(
                f'No target serves {name}: check the name of the model or '
                'service.',
            )
        if not any(self._membership.usable(pool, now) for pool in pools):
            raise NoTarget(
                f'No live target serves {name} now: try again.',
                retry_after=RETRY_AFTER_SECONDS,
            )
