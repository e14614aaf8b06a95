"""This router as the lender of credits for some targets."""

import math
from dataclasses import dataclass

from peridotwell.domain.target import Pool, Target, wire_id
from peridotwell.fleet.frames import (
    CreditGrant,
    CreditRequest,
    CreditReturn,
    HoldingsPull,
    HoldingsReport,
)
from peridotwell.fleet.lender_assignments import LenderReassignment
from peridotwell.fleet.load_tracker import LoadTracker
from peridotwell.fleet.peer_transport import PeerTransport
from peridotwell.fleet.peers import Peers
from peridotwell.fleet.target_membership import TargetMembership
from peridotwell.policy.credits import Holdings, Lender

__all__ = ('LenderService',)

# After this time without a grant to a borrower none is on its way.
GRANT_FLIGHT_SECONDS = 2
# A suspect whose end was not reported occupies its target for so long.
SUSPECT_SECONDS = 60


@dataclass
class _Borrowing:
    """The last ask of one borrower that was answered."""

    answered: int = 0
    answered_at: float = -math.inf


class LenderService:
    """Answers asks, and takes lending over when the lender changes.

    A new lender lends nothing for a target until every live router that
    shares its view of the data centre has reported what it holds.
    """

    def __init__(
        self,
        peers: Peers,
        membership: TargetMembership,
        loads: LoadTracker,
        bus: PeerTransport,
    ) -> None:
        self.lender = Lender()
        self._peers = peers
        self._membership = membership
        self._loads = loads
        self._bus = bus
        self._borrowings: dict[int, _Borrowing] = {}
        self._suspects_until: dict[int, float] = {}

    def lend_to_self(
        self,
        target: Target,
        now: float,
        *,
        is_suspect: bool = False,
    ) -> int:
        """Lend one credit to this router's own calls; returns 0 or 1."""
        cap = self._loads.target_caps(target.pool, now).get(target.name, 0)
        own = self._peers.own.sender
        return self._lend(target.wire_id, own, cap, now, is_suspect=is_suspect)

    def find_room(
        self,
        pool: Pool,
        now: float,
        *,
        is_suspect: bool = False,
    ) -> int:
        """Return the target lent for here with the most room, or 0.

        For a suspect, only targets that run no other one.
        """
        best = 0
        most_room = 0
        for name, cap in self._loads.target_caps(pool, now).items():
            number = wire_id(name)
            room = cap - self.lender.lent(number)
            if is_suspect and self._runs_suspect(number, now):
                continue
            if self.lender.can_lend(number) and room > most_room:
                best = number
                most_room = room
        return best

    def answer(self, ask: CreditRequest, now: float) -> None:
        """Lend to a peer as far as the cap allows, and tell it."""
        peer = self._peers.peer(ask.sender)
        pool = self._membership.pool_by_id(ask.pool_id)
        if peer is None or pool is None:
            return
        peer.pool_calls[ask.pool_id] = ask.outstanding
        number = ask.target_id or self.find_room(
            pool,
            now,
            is_suspect=ask.is_suspect,
        )
        target = self._membership.target_by_id(number)
        cap = 0
        if target is not None:
            cap = self._loads.target_caps(pool, now).get(target.name, 0)
        lent = self._lend(
            number,
            ask.sender,
            cap,
            now,
            is_suspect=ask.is_suspect,
        )
        borrowing = self._borrowings.setdefault(ask.sender, _Borrowing())
        borrowing.answered = ask.sequence
        borrowing.answered_at = now
        grant = CreditGrant(
            self._peers.own.sender,
            number,
            lent,
            ask.sequence,
            self.lender.has_spare_credits(number, cap),
        )
        self._bus.send(peer.hello.peer_address, grant)

    def take_back(self, giveback: CreditReturn) -> None:
        """Book returned credits."""
        for target, returned in giveback.credits:
            self.lender.record_return(target, giveback.sender, returned)
        for cleared in giveback.suspects:
            self._suspects_until.pop(cleared, None)

    def learn_holdings(self, report: HoldingsReport, now: float) -> None:
        """Set what a borrower holds, unless a grant is still on its way."""
        borrowing = self._borrowings.setdefault(report.sender, _Borrowing())
        on_its_way = (
            report.answered_sequence != borrowing.answered
            and now - borrowing.answered_at < GRANT_FLIGHT_SECONDS
        )
        if on_its_way:
            return
        view = self._peers.view_hash(self._peers.own.data_centre, now)
        self.lender.record_holdings(
            report.sender,
            dict(report.credits),
            completes=report.view_hash == view,
        )

    def follow(
        self,
        reassignment: LenderReassignment,
        own_holdings: Holdings,
        now: float,
    ) -> None:
        """Start and stop lending after a change of lenders."""
        live = {peer.wire_id for peer in self._peers.live_peers(now)}
        for number in reassignment.changed:
            self.lender.stop_lending(number)
        for gained in reassignment.gained:
            self.lender.await_reports(gained, live)
        own = self._peers.own.sender
        self.lender.record_holdings(own, own_holdings, completes=True)

    def pull_reports(self) -> None:
        """Ask for the reports that a census waits for."""
        pull = HoldingsPull(self._peers.own.sender)
        for number in self.lender.awaited_routers():
            peer = self._peers.peer(number)
            if peer is not None:
                self._bus.send(peer.hello.peer_address, pull)

    def forget_dead(self, now: float) -> None:
        """Take back the credits of routers that are gone."""
        live = {peer.wire_id for peer in self._peers.live_peers(now)}
        self.lender.keep_only(live | {self._peers.own.sender})
        for gone in self._borrowings.keys() - live:
            self._borrowings.pop(gone)

    def _lend(
        self,
        number: int,
        borrower: int,
        cap: int,
        now: float,
        *,
        is_suspect: bool,
    ) -> int:
        if is_suspect and self._runs_suspect(number, now):
            return 0
        lent = self.lender.lend(number, borrower, 1, cap)
        if lent and is_suspect:
            self._suspects_until[number] = now + SUSPECT_SECONDS
        return lent

    def _runs_suspect(self, number: int, now: float) -> bool:
        return self._suspects_until.get(number, -math.inf) > now

    def close(self) -> None:
        """Stop lending for every target."""
        for number in self.lender.targets():
            self.lender.stop_lending(number)
        self._borrowings.clear()
