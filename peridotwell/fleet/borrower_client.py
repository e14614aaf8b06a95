"""This router as a borrower of credits from the targets' lenders."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import trio
from msgspec.structs import replace

from peridotwell.domain.target import Pool, Target
from peridotwell.fleet.frames import (
    CreditGrant,
    CreditRequest,
    CreditReturn,
    HoldingsPull,
    HoldingsReport,
)
from peridotwell.fleet.lender_assignments import LenderAssignments
from peridotwell.fleet.peer_transport import PeerTransport
from peridotwell.fleet.peers import Peer, Peers
from peridotwell.policy.credits import Borrower

__all__ = ('BorrowerClient', 'CreditRequestCounters')

ASK_SECONDS = 0.15
# A lender that did not answer is not asked again for this time.
SILENT_LENDER_SECONDS = 0.3
# A target whose lender refused a credit is not asked for again for this time.
FULL_SECONDS = 0.2
KEEP_SECONDS = 1
REPORT_SECONDS = 5

Pairs = list[tuple[int, int]]


@dataclass
class CreditRequestCounters:
    """Credits asked for, and asks without an answer."""

    asked: int = 0
    unanswered: int = 0


@dataclass
class _Question:
    """An ask that waits for its grant."""

    answered: trio.Event = field(default_factory=trio.Event)
    grant: CreditGrant | None = None


class BorrowerClient:
    """Asks lenders for credits, returns idle ones, reports what it holds."""

    def __init__(
        self,
        peers: Peers,
        assignments: LenderAssignments,
        bus: PeerTransport,
    ) -> None:
        self.counters = CreditRequestCounters()
        self.borrower = Borrower(KEEP_SECONDS)
        self._peers = peers
        self._assignments = assignments
        self._bus = bus
        self._questions: dict[tuple[int, int], _Question] = {}
        self._asked: dict[int, int] = {}
        self._answered: dict[int, int] = {}
        self._silent_until: dict[int, float] = {}
        self._full_until: dict[int, float] = {}
        self._reported_at: dict[int, float] = {}

    async def ask(
        self,
        target: Target,
        outstanding: int,
        now: float,
        *,
        is_suspect: bool = False,
    ) -> bool:
        """Ask the target's lender for a credit; True if it was lent.

        `outstanding` is this router's count of calls for the target's pool.
        """
        number = target.wire_id
        lender = self._assignments.lender(number)
        if lender is None or self._full_until.get(number, 0) > now:
            return False
        ask = self._make_ask(lender, number, target.pool, outstanding)
        ask = replace(ask, is_suspect=is_suspect)
        grant = await self._send_ask(lender, ask, now)
        return grant is not None and grant.lent > 0

    async def ask_any(
        self,
        lender: int,
        pool: Pool,
        outstanding: int,
        now: float,
        *,
        is_suspect: bool = False,
    ) -> int:
        """Ask a lender for a credit of any target of a pool.

        Returns the target's wire id, or 0.
        """
        key = lender ^ pool.wire_id
        if self._full_until.get(key, 0) > now:
            return 0
        ask = self._make_ask(lender, 0, pool, outstanding)
        ask = replace(ask, is_suspect=is_suspect)
        grant = await self._send_ask(lender, ask, now)
        if grant is None or not grant.lent:
            self._full_until[key] = now + FULL_SECONDS
            return 0
        return grant.target_id

    def take(self, grant: CreditGrant, now: float) -> None:
        """Book a grant and wake the call that asked for it."""
        self._answered[grant.sender] = grant.sequence
        if not grant.lent:
            self._full_until[grant.target_id] = now + FULL_SECONDS
        self.borrower.add(
            grant.target_id,
            grant.lent,
            now,
            may_keep=grant.may_keep,
        )
        question = self._questions.pop((grant.sender, grant.sequence), None)
        if question is not None:
            question.grant = grant
            question.answered.set()

    def give_back(self, returns: Mapping[int, int]) -> CreditReturn:
        """Return credits to their lenders.

        Gives the part that this router has lent to itself.
        """
        own = self._peers.own.sender
        by_lender: dict[int, Pairs] = {own: []}
        for target, returned in returns.items():
            lender = self._assignments.lender(target) or own
            by_lender.setdefault(lender, []).append((target, returned))
        to_self = CreditReturn(own, tuple(by_lender.pop(own)))
        for lender, pairs in by_lender.items():
            peer = self._peers.peer(lender)
            if peer is not None:
                frame = CreditReturn(own, tuple(pairs))
                self._bus.send(peer.hello.peer_address, frame)
        return to_self

    def clear_suspect(self, number: int) -> CreditReturn:
        """Tell a target's lender that its suspect has ended.

        Gives the frame, for a target that this router lends for itself.
        """
        own = self._peers.own.sender
        cleared = CreditReturn(own, (), (number,))
        lender = self._assignments.lender(number)
        peer = lender and self._peers.peer(lender)
        if peer:
            self._bus.send(peer.hello.peer_address, cleared)
        return cleared

    def report(self, now: float) -> None:
        """Tell each lender what is held of its targets, where it is due."""
        self._full_until = _not_over(self._full_until, now)
        self._silent_until = _not_over(self._silent_until, now)
        for peer in self._peers.live_peers(now):
            if self._is_report_due(peer, now):
                self._report_to(peer, now)

    def answer_pull(self, pull: HoldingsPull, now: float) -> None:
        """Report to a lender that asks for it."""
        peer = self._peers.peer(pull.sender)
        if peer is not None:
            self._report_to(peer, now)

    def drop(self, targets: Iterable[int] | None = None) -> None:
        """Forget free credits of targets whose lender has changed."""
        self.borrower.drop_idle(targets)

    def _is_report_due(self, peer: Peer, now: float) -> bool:
        """Whether the views agree again after a change, or time is up.

        Regular reports set lost grants and givebacks right.
        """
        reported_at = self._reported_at.get(peer.wire_id, -math.inf)
        if now - reported_at >= REPORT_SECONDS:
            return True
        agreed = peer.view_hash == self._peers.view_hash(
            peer.hello.data_centre, now
        )
        return agreed and reported_at <= max(
            peer.view_changed_at,
            self._assignments.changed_at,
        )

    def _report_to(self, peer: Peer, now: float) -> None:
        holdings = tuple(
            (target, held)
            for target, held in self.borrower.holdings().items()
            if self._assignments.lender(target) == peer.wire_id
        )
        report = HoldingsReport(
            self._peers.own.sender,
            self._peers.view_hash(peer.hello.data_centre, now),
            self._answered.get(peer.wire_id, 0),
            holdings,
        )
        if self._bus.send(peer.hello.peer_address, report):
            self._reported_at[peer.wire_id] = now

    def _make_ask(
        self,
        lender: int,
        number: int,
        pool: Pool,
        outstanding: int,
    ) -> CreditRequest:
        self._asked[lender] = self._asked.get(lender, 0) + 1
        return CreditRequest(
            sender=self._peers.own.sender,
            target_id=number,
            pool_id=pool.wire_id,
            outstanding=outstanding,
            sequence=self._asked[lender],
        )

    async def _send_ask(
        self,
        lender: int,
        ask: CreditRequest,
        now: float,
    ) -> CreditGrant | None:
        peer = self._peers.peer(lender)
        if peer is None or self._silent_until.get(lender, 0) > now:
            return None
        self.counters.asked += 1
        question = _Question()
        self._questions[lender, ask.sequence] = question
        if self._bus.send(peer.hello.peer_address, ask):
            with trio.move_on_after(ASK_SECONDS):
                await question.answered.wait()
        if question.grant is None:
            self._questions.pop((lender, ask.sequence), None)
            self.counters.unanswered += 1
            self._silent_until[lender] = now + SILENT_LENDER_SECONDS
        return question.grant


def _not_over(until: dict[int, float], now: float) -> dict[int, float]:
    return {number: end for number, end in until.items() if end > now}
