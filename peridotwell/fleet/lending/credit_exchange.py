"""Borrows and lends credits, and follows changes of the lenders."""

import math
from collections.abc import Iterable, Mapping

from peridotwell.domain.target import Pool, Target
from peridotwell.fleet.lending.borrower_client import BorrowerClient
from peridotwell.fleet.lending.lender_assignments import LenderAssignments
from peridotwell.fleet.lending.lender_service import LenderService
from peridotwell.fleet.lending.load_tracker import LoadTracker
from peridotwell.fleet.membership.target_membership import TargetMembership
from peridotwell.fleet.transport.frames import (
    CreditGrant,
    CreditRequest,
    CreditReturn,
    Frame,
    HoldingsPull,
    HoldingsReport,
)
from peridotwell.fleet.transport.peer_transport import PeerTransport
from peridotwell.fleet.transport.peers import Peers

__all__ = ('CreditExchange',)

# Number of lenders that are asked for a credit of any target of a pool before a
# request waits.
MAX_LENDERS_ASKED = 3


class CreditExchange:
    """Acquires and releases the credits that bound the load of targets."""

    def __init__(
        self,
        peers: Peers,
        membership: TargetMembership,
        loads: LoadTracker,
        transport: PeerTransport,
    ) -> None:
        self._peers = peers
        self._membership = membership
        self._loads = loads
        self._next_lender = 0
        self._assignments = LenderAssignments(peers, membership)
        self._lending = LenderService(peers, membership, loads, transport)
        self._borrowing = BorrowerClient(peers, self._assignments, transport)
        self._ticked_at = math.inf
        self._settled_at = math.inf
        self.counters = self._borrowing.counters

    def is_lender(self, target: Target) -> bool:
        """Return whether this router lends the credits of `target`."""
        return self._assignments.is_own(target.wire_id)

    def spent(self, target: Target) -> int:
        """Return this router's outstanding requests on `target`."""
        return self._borrowing.borrower.spent(target.wire_id)

    async def acquire(
        self,
        target: Target,
        now: float,
        *,
        is_suspect: bool = False,
    ) -> bool:
        """Spend a credit on `target`, borrowing one if needed.

        For a suspect request the lender grants one only if the target runs
        no other suspect request.
        """
        self._check_suspension(now)
        borrower = self._borrowing.borrower
        target_id = target.wire_id
        if not is_suspect and borrower.spend(target_id):
            return True
        if self._assignments.is_own(target_id):
            lent = self._lending.lend_to_self(
                target,
                now,
                is_suspect=is_suspect,
            )
            borrower.add(target_id, lent, now)
            return lent > 0 and borrower.spend(target_id)
        outstanding = self._loads.own_requests(target.pool, now)
        granted = await self._borrowing.request_credit(
            target,
            outstanding,
            now,
            is_suspect=is_suspect,
        )
        may_spend = granted or not is_suspect
        return may_spend and borrower.spend(target_id)

    def forget_refusal(self, target: Target) -> None:
        """Let the next request for a credit of a target be sent at once."""
        self._borrowing.forget_refusal(target)

    async def acquire_any(
        self,
        pool: Pool,
        now: float,
        *,
        is_suspect: bool = False,
    ) -> Target | None:
        """Spend a credit on any target of a pool, or return None.

        Tries the targets that this router lends for, then other lenders.
        """
        self._check_suspension(now)
        target_id = self._lending.find_target_with_room(
            pool, now, is_suspect=is_suspect
        )
        target = self._membership.target_by_id(target_id)
        if target is not None and await self.acquire(
            target,
            now,
            is_suspect=is_suspect,
        ):
            return target
        lenders = self._peers.lenders(pool.data_centre, now).keys()
        others = sorted(lenders - {self._peers.own.sender})
        self._next_lender += 1
        for offset in range(min(len(others), MAX_LENDERS_ASKED)):
            lender = others[(self._next_lender + offset) % len(others)]
            target_id = await self._borrowing.request_any_credit(
                lender,
                pool,
                self._loads.own_requests(pool, now),
                now,
                is_suspect=is_suspect,
            )
            if target_id and self._borrowing.borrower.spend(target_id):
                return self._membership.target_by_id(target_id)
        return None

    def spend_idle(self, targets: Iterable[Target]) -> Target | None:
        """Spend an idle credit of this router on one of `targets`."""
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
        """Free the credit of a request on `target` that has ended.

        This router keeps the credit for a short time if another of its
        requests waits for one or if the lender allows it.
        """
        target_id = target.wire_id
        if is_suspect:
            ended = self._borrowing.report_suspect_ended(target_id)
            self._lending.handle_return(ended)
        returned = self._borrowing.borrower.release(
            target_id,
            now,
            is_awaited=is_awaited,
        )
        if returned:
            self._return_credits({target_id: returned})

    def receive(self, frame: Frame, now: float) -> None:
        """Handle a message of the credit protocol."""
        self._check_suspension(now)
        match frame:
            case CreditRequest():
                self._lending.handle_request(frame, now)
            case CreditGrant():
                self._borrowing.handle_grant(frame, now)
            case CreditReturn():
                self._lending.handle_return(frame)
            case HoldingsReport():
                self._lending.handle_report(frame, now)
            case HoldingsPull():
                self._borrowing.handle_pull(frame, now)

    def tick(self, now: float) -> None:
        """Apply changes of lenders, return idle credits, report holdings.

        Called with each heartbeat.
        """
        self._check_suspension(now)
        if self._settled_at == math.inf:
            self._settled_at = now + self._peers.dead_after_seconds
        self._ticked_at = now
        if now >= self._settled_at:
            self._apply_reassignment(now)
        self._lending.remove_dead_borrowers(now)
        self._lending.pull_reports()
        self._return_credits(self._borrowing.borrower.return_idle(now))
        self._borrowing.send_due_reports(now)

    def is_settled(self, now: float) -> bool:
        """Return whether this router had time to hear from all live peers."""
        return now >= self._settled_at

    def _apply_reassignment(self, now: float) -> None:
        reassignment = self._assignments.refresh(now)
        if reassignment is not None:
            self._borrowing.drop_idle(reassignment.changed)
            holdings = self._borrowing.borrower.holdings()
            self._lending.apply_reassignment(reassignment, holdings, now)

    def _return_credits(self, returns: Mapping[int, int]) -> None:
        self._lending.handle_return(self._borrowing.return_credits(returns))

    def _check_suspension(self, now: float) -> None:
        """Drop lent and idle credits after this process was suspended.

        The other routers regarded this router as dead and reassigned its
        targets. Until it has had time to hear from them, it neither lends
        nor borrows.
        """
        if now - self._ticked_at > self._peers.dead_after_seconds:
            self._lending.stop_lending()
            self._borrowing.drop_idle()
            self._assignments.clear()
            self._ticked_at = now
            self._settled_at = now + self._peers.dead_after_seconds
