"""This router as the lender of credits for some targets."""

import math
from dataclasses import dataclass

from peridotwell.fleet.assignments import Reassignment
from peridotwell.fleet.bus import Bus
from peridotwell.fleet.frames import (
    Ask,
    Giveback,
    Grant,
    Report,
    ReportPull,
)
from peridotwell.fleet.loads import LoadBook
from peridotwell.fleet.membership import Membership
from peridotwell.fleet.peers import Peers
from peridotwell.policy.credits import Holdings, Lender
from peridotwell.world.target import Target

__all__ = ('LendingDesk',)

# After this time without a grant to a borrower none is on its way.
GRANT_FLIGHT_SECONDS = 2


@dataclass
class _Borrowing:
    """Grants sent to one borrower."""

    granted: int = 0
    granted_at: float = -math.inf


class LendingDesk:
    """Answers asks, and takes lending over when the lender changes.

    A new lender lends nothing for a target until every live router that
    shares its view of the data centre has reported what it holds.
    """

    def __init__(
        self,
        peers: Peers,
        membership: Membership,
        loads: LoadBook,
        bus: Bus,
    ) -> None:
        self.lender = Lender()
        self._peers = peers
        self._membership = membership
        self._loads = loads
        self._bus = bus
        self._borrowings: dict[int, _Borrowing] = {}

    def lend_to_self(self, target: Target, now: float) -> int:
        """Lend one credit to this router's own calls; returns 0 or 1."""
        return self.lender.lend(
            target.wire_id,
            self._peers.own.sender,
            1,
            self._loads.cap(target, now),
        )

    def answer(self, ask: Ask, now: float) -> None:
        """Lend to a peer as far as the cap allows, and tell it."""
        peer = self._peers.peer(ask.sender)
        target = self._membership.numbered(ask.target)
        if peer is None or target is None:
            return
        peer.loads[ask.pool] = ask.outstanding
        cap = self._loads.cap(target, now)
        lent = self.lender.lend(ask.target, ask.sender, ask.wanted, cap)
        borrowing = self._borrowings.setdefault(ask.sender, _Borrowing())
        borrowing.granted += 1
        borrowing.granted_at = now
        own = self._peers.own.sender
        grant = Grant(
            own,
            ask.target,
            lent,
            borrowing.granted,
            self.lender.has_plenty(ask.target, cap),
        )
        self._bus.send(peer.hello.peers, grant)

    def take_back(self, giveback: Giveback) -> None:
        """Book returned credits."""
        for target, returned in giveback.credits:
            self.lender.take_back(target, giveback.sender, returned)

    def learn_holdings(self, report: Report, now: float) -> None:
        """Set what a borrower holds, unless a grant is still on its way."""
        borrowing = self._borrowings.setdefault(report.sender, _Borrowing())
        on_its_way = (
            report.number != borrowing.granted
            and now - borrowing.granted_at < GRANT_FLIGHT_SECONDS
        )
        if on_its_way:
            return
        view = self._peers.view(self._peers.own.data_centre, now)
        self.lender.report(
            report.sender,
            dict(report.credits),
            completes=report.view == view,
        )

    def follow(
        self,
        reassignment: Reassignment,
        own_holdings: Holdings,
        now: float,
    ) -> None:
        """Start and stop lending after a change of lenders."""
        live = {peer.wire_id for peer in self._peers.live(now)}
        for number in reassignment.changed:
            self.lender.close(number)
        for gained in reassignment.gained:
            self.lender.begin_census(gained, live)
        own = self._peers.own.sender
        self.lender.report(own, own_holdings, completes=True)

    def pull_reports(self) -> None:
        """Ask for the reports that a census waits for."""
        pull = ReportPull(self._peers.own.sender)
        for number in self.lender.awaited():
            peer = self._peers.peer(number)
            if peer is not None:
                self._bus.send(peer.hello.peers, pull)

    def forget_dead(self, now: float) -> None:
        """Take back the credits of routers that are gone."""
        live = {peer.wire_id for peer in self._peers.live(now)}
        self.lender.keep_only(live | {self._peers.own.sender})
        for gone in self._borrowings.keys() - live:
            self._borrowings.pop(gone)

    def close(self) -> None:
        """Stop lending for every target."""
        for number in self.lender.targets():
            self.lender.close(number)
        self._borrowings.clear()
