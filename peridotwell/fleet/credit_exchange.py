"""Credits between routers: borrowing, lending, and changes of lender."""

import math
from collections.abc import Iterable, Mapping

from peridotwell.domain.target import Pool, Target
from peridotwell.fleet.borrower_client import BorrowerClient
from peridotwell.fleet.frames import (
    CreditGrant,
    CreditRequest,
    CreditReturn,
    Frame,
    HoldingsPull,
    HoldingsReport,
)
from peridotwell.fleet.lender_assignments import LenderAssignments
from peridotwell.fleet.lender_service import LenderService
from peridotwell.fleet.load_tracker import LoadTracker
from peridotwell.fleet.peer_transport import PeerTransport
from peridotwell.fleet.peers import Peers
from peridotwell.fleet.target_membership import TargetMembership

__all__ = ('CreditExchange',)

# Lenders asked for any credit of a pool before a call waits.
MAX_LENDERS_ASKED = 3


class CreditExchange:
    """The load bound as the request path sees it: acquire and release."""

    def __init__(
        self,
        peers: Peers,
        membership: TargetMembership,
        loads: LoadTracker,
        bus: PeerTransport,
    ) -> None:
        self._peers = peers
        self._membership = membership
        self._loads = loads
        self._turn = 0
        self._assignments = LenderAssignments(peers, membership)
        self._lending = LenderService(peers, membership, loads, bus)
        self._borrowing = BorrowerClient(peers, self._assignments, bus)
        self._ticked_at = math.inf
        self._quiet_until = math.inf
        self.counters = self._borrowing.counters

    def is_lender(self, target: Target) -> bool:
        """Whether this router lends for `target`."""
        return self._assignments.is_own(target.wire_id)

    def spent(self, target: Target) -> int:
        """Return this router's outstanding calls on `target`."""
        return self._borrowing.borrower.spent(target.wire_id)

    async def acquire(
        self,
        target: Target,
        now: float,
        *,
        is_suspect: bool = False,
    ) -> bool:
        """Spend a credit on `target`, borrowing one if needed.

        A suspect gets one only if the target runs no other suspect, which
        its lender knows.
        """
        self._check_pulse(now)
        borrower = self._borrowing.borrower
        number = target.wire_id
        if not is_suspect and borrower.spend(number):
            return True
        if self._assignments.is_own(number):
            lent = self._lending.lend_to_self(
                target,
                now,
                is_suspect=is_suspect,
            )
            borrower.add(number, lent, now)
            return lent > 0 and borrower.spend(number)
        outstanding = self._loads.own_calls(target.pool, now)
        granted = await self._borrowing.ask(
            target,
            outstanding,
            now,
            is_suspect=is_suspect,
        )
        may_spend = granted or not is_suspect
        return may_spend and borrower.spend(number)

    async def acquire_any(
        self,
        pool: Pool,
        now: float,
        *,
        is_suspect: bool = False,
    ) -> Target | None:
        """Spend a credit on any target of a pool that has room."""
        self._check_pulse(now)
        number = self._lending.find_room(pool, now, is_suspect=is_suspect)
        target = self._membership.target_by_id(number)
        if target is not None and await self.acquire(
            target,
            now,
            is_suspect=is_suspect,
        ):
            return target
        lenders = self._peers.lenders(pool.data_centre, now).keys()
        others = sorted(lenders - {self._peers.own.sender})
        self._turn += 1
        for place in range(min(len(others), MAX_LENDERS_ASKED)):
            lender = others[(self._turn + place) % len(others)]
            number = await self._borrowing.ask_any(
                lender,
                pool,
                self._loads.own_calls(pool, now),
                now,
                is_suspect=is_suspect,
            )
            if number and self._borrowing.borrower.spend(number):
                return self._membership.target_by_id(number)
        return None

    def spend_idle(self, targets: Iterable[Target]) -> Target | None:
        """Spend a credit that lies idle here on one of `targets`."""
        for target in targets:
            if self._borrowing.borrower.spend(target.wire_id):
                return target
        return None

    def release(
        self,
        target: Target,
        now: float,
        *,
        is_awaited: bool = False,
        is_suspect: bool = False,
    ) -> None:
        """Free the credit of a call on `target` that has ended.

        It stays here for a moment if another call waits for one.
        """
        number = target.wire_id
        if is_suspect:
            cleared = self._borrowing.clear_suspect(number)
            self._lending.take_back(cleared)
        returned = self._borrowing.borrower.release(
            number,
            now,
            is_awaited=is_awaited,
        )
        if returned:
            self._give_back({number: returned})

    def receive(self, frame: Frame, now: float) -> None:
        """Act on a frame of the lending protocol."""
        self._check_pulse(now)
        match frame:
            case CreditRequest():
                self._lending.answer(frame, now)
            case CreditGrant():
                self._borrowing.take(frame, now)
            case CreditReturn():
                self._lending.take_back(frame)
            case HoldingsReport():
                self._lending.learn_holdings(frame, now)
            case HoldingsPull():
                self._borrowing.answer_pull(frame, now)

    def tick(self, now: float) -> None:
        """Follow changes of view, return idle credits, report holdings."""
        self._check_pulse(now)
        if self._quiet_until == math.inf:
            self._quiet_until = now + self._peers.dead_after_seconds
        self._ticked_at = now
        if now >= self._quiet_until:
            self._follow_changes(now)
        self._lending.forget_dead(now)
        self._lending.pull_reports()
        self._give_back(self._borrowing.borrower.return_idle(now))
        self._borrowing.report(now)

    def is_settled(self, now: float) -> bool:
        """Whether this router has had time to hear from all live peers."""
        return now >= self._quiet_until

    def _follow_changes(self, now: float) -> None:
        reassignment = self._assignments.refresh(now)
        if reassignment is not None:
            self._borrowing.drop(reassignment.changed)
            holdings = self._borrowing.borrower.holdings()
            self._lending.follow(reassignment, holdings, now)

    def _give_back(self, returns: Mapping[int, int]) -> None:
        self._lending.take_back(self._borrowing.give_back(returns))

    def _check_pulse(self, now: float) -> None:
        """Forget lent and free credits after a pause of this process.

        The others have taken this router for dead and lend anew. Until it
        has had time to hear from them, it neither lends nor borrows.
        """
        if now - self._ticked_at > self._peers.dead_after_seconds:
            self._lending.close()
            self._borrowing.drop()
            self._assignments.clear()
            self._ticked_at = now
            self._quiet_until = now + self._peers.dead_after_seconds
