"""Lends the credits of the targets that are assigned to this router."""

import math
from dataclasses import dataclass

from peridotwell.domain.target import Pool, Target, wire_id
from peridotwell.fleet.lending.lender_assignments import LenderReassignment
from peridotwell.fleet.lending.load_tracker import LoadTracker
from peridotwell.fleet.membership.target_membership import TargetMembership
from peridotwell.fleet.transport.frames import (
    CreditGrant,
    CreditRequest,
    CreditReturn,
    HoldingsPull,
    HoldingsReport,
)
from peridotwell.fleet.transport.peer_transport import PeerTransport
from peridotwell.fleet.transport.peers import Peers
from peridotwell.policy.room.credits import Holdings, Lender

__all__ = ('LenderService',)

# A grant sent longer ago than this has arrived or is lost.
GRANT_TRANSIT_SECONDS = 2
# A suspect request whose end is not reported counts as running for this time.
SUSPECT_TIMEOUT_SECONDS = 60


@dataclass
class _AnsweredRequest:
    """The last credit request of one borrower that was answered."""

    sequence: int = 0
    answered_at: float = -math.inf


class LenderService:
    """Answers credit requests and takes over targets from other lenders.

    A new lender of a target lends nothing until all live routers with the
    same view of the data centre have reported the credits that they hold.
    """

    def __init__(
        self,
        peers: Peers,
        membership: TargetMembership,
        loads: LoadTracker,
        transport: PeerTransport,
    ) -> None:
        self.lender = Lender()
        self._peers = peers
        self._membership = membership
        self._loads = loads
        self._transport = transport
        self._answered_requests: dict[int, _AnsweredRequest] = {}
        self._suspect_deadlines: dict[int, float] = {}

    def lend_to_self(
        self,
        target: Target,
        now: float,
        *,
        is_suspect: bool = False,
    ) -> int:
        """Lend one credit to this router itself; return 0 or 1."""
        cap = self._loads.target_caps(target.pool, now).get(target.name, 0)
        own = self._peers.own.sender
        return self._lend(target.wire_id, own, cap, now, is_suspect=is_suspect)

    def find_target_with_room(
        self,
        pool: Pool,
        now: float,
        *,
        is_suspect: bool = False,
    ) -> int:
        """Return the wire id of the target with most unused credits, or 0.

        Considers the targets that this router lends for. For a suspect
        request, excludes targets that run another suspect request.
        """
        best_target_id = 0
        most_room = 0
        for name, cap in self._loads.target_caps(pool, now).items():
            target_id = wire_id(name)
            room = cap - self.lender.lent(target_id)
            if is_suspect and self._runs_suspect(target_id, now):
                continue
            if self.lender.can_lend(target_id) and room > most_room:
                best_target_id = target_id
                most_room = room
        return best_target_id

    def handle_request(self, request: CreditRequest, now: float) -> None:
        """Lend to a peer up to the target's cap and send it the grant."""
        peer = self._peers.peer(request.sender)
        pool = self._membership.pool_by_id(request.pool_id)
        if peer is None or pool is None:
            return
        peer.pool_requests[request.pool_id] = request.outstanding
        target_id = request.target_id or self.find_target_with_room(
            pool,
            now,
            is_suspect=request.is_suspect,
        )
        target = self._membership.target_by_id(target_id)
        cap = 0
        if target is not None:
            cap = self._loads.target_caps(pool, now).get(target.name, 0)
        lent = self._lend(
            target_id,
            request.sender,
            cap,
            now,
            is_suspect=request.is_suspect,
        )
        answered_request = self._answered_requests.setdefault(
            request.sender, _AnsweredRequest()
        )
        answered_request.sequence = request.sequence
        answered_request.answered_at = now
        grant = CreditGrant(
            self._peers.own.sender,
            target_id,
            lent,
            request.sequence,
            self.lender.has_spare_credits(target_id, cap),
        )
        self._transport.send(peer.hello.peer_address, grant)

    def handle_return(self, credit_return: CreditReturn) -> None:
        """Record returned credits and suspect requests that have ended."""
        for target, returned in credit_return.credits:
            self.lender.record_return(target, credit_return.sender, returned)
        for target_id in credit_return.ended_suspects:
            self._suspect_deadlines.pop(target_id, None)

    def handle_report(self, report: HoldingsReport, now: float) -> None:
        """Record a borrower's holdings, unless a grant to it is in transit."""
        answered_request = self._answered_requests.setdefault(
            report.sender, _AnsweredRequest()
        )
        grant_in_transit = (
            report.answered_sequence != answered_request.sequence
            and now - answered_request.answered_at < GRANT_TRANSIT_SECONDS
        )
        if grant_in_transit:
            return
        view = self._peers.view_hash(self._peers.own.data_centre, now)
        self.lender.record_holdings(
            report.sender,
            dict(report.credits),
            completes=report.view_hash == view,
        )

    def apply_reassignment(
        self,
        reassignment: LenderReassignment,
        own_holdings: Holdings,
        now: float,
    ) -> None:
        """Start and stop lending for targets whose lender has changed."""
        live = {peer.wire_id for peer in self._peers.live_peers(now)}
        for target_id in reassignment.changed:
            self.lender.stop_lending(target_id)
        for gained in reassignment.gained:
            self.lender.await_reports(gained, live)
        own = self._peers.own.sender
        self.lender.record_holdings(own, own_holdings, completes=True)

    def pull_reports(self) -> None:
        """Request the holdings reports that are still missing."""
        pull = HoldingsPull(self._peers.own.sender)
        for router in self.lender.awaited_routers():
            peer = self._peers.peer(router)
            if peer is not None:
                self._transport.send(peer.hello.peer_address, pull)

    def remove_dead_borrowers(self, now: float) -> None:
        """Reclaim the credits of routers that are no longer live."""
        live = {peer.wire_id for peer in self._peers.live_peers(now)}
        self.lender.keep_only(live | {self._peers.own.sender})
        for dead_router in self._answered_requests.keys() - live:
            self._answered_requests.pop(dead_router)

    def _lend(
        self,
        target_id: int,
        borrower: int,
        cap: int,
        now: float,
        *,
        is_suspect: bool,
    ) -> int:
        if is_suspect and self._runs_suspect(target_id, now):
            return 0
        lent = self.lender.lend(target_id, borrower, 1, cap)
        if lent and is_suspect:
            self._suspect_deadlines[target_id] = now + SUSPECT_TIMEOUT_SECONDS
        return lent

    def _runs_suspect(self, target_id: int, now: float) -> bool:
        return self._suspect_deadlines.get(target_id, -math.inf) > now

    def stop_lending(self) -> None:
        """Stop lending for every target."""
        for target_id in self.lender.targets():
            self.lender.stop_lending(target_id)
        self._answered_requests.clear()
