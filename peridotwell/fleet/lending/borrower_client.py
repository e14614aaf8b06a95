"""Borrows credits for targets from the routers that lend them."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import TypeVar

import trio
from msgspec.structs import replace

from peridotwell.domain.target import Pool, Target
from peridotwell.fleet.lending.lender_assignments import LenderAssignments
from peridotwell.fleet.transport.frames import (
    CreditGrant,
    CreditRequest,
    CreditReturn,
    HoldingsPull,
    HoldingsReport,
)
from peridotwell.fleet.transport.peer_transport import PeerTransport
from peridotwell.fleet.transport.peers import Peer, Peers
from peridotwell.policy.room.credits import Borrower

__all__ = ('BorrowerClient', 'CreditRequestCounters')

REQUEST_TIMEOUT_SECONDS = 0.15
# A lender that did not answer in time gets no further requests for this time.
UNRESPONSIVE_LENDER_SECONDS = 0.3
# After a refusal, no credit of the target is requested for this time.
REFUSAL_BACKOFF_SECONDS = 0.2
# How long a borrower may keep an idle credit of a target with spare credits.
IDLE_CREDIT_SECONDS = 1
REPORT_PERIOD_SECONDS = 5

# Pairs of a target's wire id and a number of credits.
Pairs = list[tuple[int, int]]
Key = TypeVar('Key')


@dataclass
class CreditRequestCounters:
    """Numbers of credit requests sent, and of those without an answer."""

    asked: int = 0
    unanswered: int = 0


@dataclass
class _PendingRequest:
    """A credit request that waits for its grant."""

    answered: trio.Event = field(default_factory=trio.Event)
    grant: CreditGrant | None = None


class BorrowerClient:
    """Requests credits, returns idle ones and reports the credits held."""

    def __init__(
        self,
        peers: Peers,
        assignments: LenderAssignments,
        transport: PeerTransport,
    ) -> None:
        self.counters = CreditRequestCounters()
        self.borrower = Borrower(IDLE_CREDIT_SECONDS)
        self._peers = peers
        self._assignments = assignments
        self._transport = transport
        self._pending: dict[tuple[int, int], _PendingRequest] = {}
        self._sent_sequences: dict[int, int] = {}
        self._answered_sequences: dict[int, int] = {}
        self._unresponsive_until: dict[int, float] = {}
        # By target, and by lender and pool for requests for any target.
        self._target_refused_until: dict[int, float] = {}
        self._pool_refused_until: dict[tuple[int, int], float] = {}
        self._reported_at: dict[int, float] = {}

    async def request_credit(
        self,
        target: Target,
        outstanding: int,
        now: float,
        *,
        is_suspect: bool = False,
    ) -> bool:
        """Request a credit from the target's lender; return True if lent.

        `outstanding` is this router's number of requests for the target's pool.
        """
        target_id = target.wire_id
        lender = self._assignments.lender(target_id)
        refused_until = self._target_refused_until.get(target_id, 0)
        if lender is None or refused_until > now:
            return False
        request = self._make_request(
            lender, target_id, target.pool, outstanding
        )
        request = replace(request, is_suspect=is_suspect)
        grant = await self._send_request(lender, request, now)
        return grant is not None and grant.lent > 0

    def forget_refusal(self, target: Target) -> None:
        """Do not wait before the next request for a credit of a target."""
        self._target_refused_until.pop(target.wire_id, None)

    async def request_any_credit(
        self,
        lender: int,
        pool: Pool,
        outstanding: int,
        now: float,
        *,
        is_suspect: bool = False,
    ) -> int:
        """Request a credit for any target of a pool from one lender.

        Returns the wire id of the target, or 0 if no credit was lent.
        """
        key = (lender, pool.wire_id)
        if self._pool_refused_until.get(key, 0) > now:
            return 0
        request = self._make_request(lender, 0, pool, outstanding)
        request = replace(request, is_suspect=is_suspect)
        grant = await self._send_request(lender, request, now)
        if grant is None or not grant.lent:
            self._pool_refused_until[key] = now + REFUSAL_BACKOFF_SECONDS
            return 0
        return grant.target_id

    def handle_grant(self, grant: CreditGrant, now: float) -> None:
        """Record a grant and wake the task that waits for it."""
        self._answered_sequences[grant.sender] = grant.sequence
        if grant.target_id and not grant.lent:
            refused_until = now + REFUSAL_BACKOFF_SECONDS
            self._target_refused_until[grant.target_id] = refused_until
        self.borrower.add(
            grant.target_id,
            grant.lent,
            now,
            may_keep=grant.may_keep,
        )
        pending = self._pending.pop((grant.sender, grant.sequence), None)
        if pending is not None:
            pending.grant = grant
            pending.answered.set()

    def return_credits(self, returns: Mapping[int, int]) -> CreditReturn:
        """Send credits back to their lenders.

        Returns the part that this router has lent to itself.
        """
        own = self._peers.own.sender
        by_lender: dict[int, Pairs] = {own: []}
        for target, returned in returns.items():
            lender = self._assignments.lender(target) or own
            by_lender.setdefault(lender, []).append((target, returned))
        own_return = CreditReturn(own, tuple(by_lender.pop(own)))
        for lender, pairs in by_lender.items():
            peer = self._peers.peer(lender)
            if peer is not None:
                frame = CreditReturn(own, tuple(pairs))
                self._transport.send(peer.hello.peer_address, frame)
        return own_return

    def report_suspect_ended(self, target_id: int) -> CreditReturn:
        """Notify a target's lender that a suspect request on it has ended.

        Returns the message, which the caller handles itself in case this
        router is the lender.
        """
        own = self._peers.own.sender
        credit_return = CreditReturn(own, (), (target_id,))
        lender = self._assignments.lender(target_id)
        peer = lender and self._peers.peer(lender)
        if peer:
            self._transport.send(peer.hello.peer_address, credit_return)
        return credit_return

    def send_due_reports(self, now: float) -> None:
        """Report the credits held to each lender whose report is due."""
        self._target_refused_until = _unexpired(self._target_refused_until, now)
        self._pool_refused_until = _unexpired(self._pool_refused_until, now)
        self._unresponsive_until = _unexpired(self._unresponsive_until, now)
        for peer in self._peers.live_peers(now):
            if self._is_report_due(peer, now):
                self._report_to(peer, now)

    def handle_pull(self, pull: HoldingsPull, now: float) -> None:
        """Report to a lender that has requested a report."""
        peer = self._peers.peer(pull.sender)
        if peer is not None:
            self._report_to(peer, now)

    def drop_idle(self, targets: Iterable[int] | None = None) -> None:
        """Drop the idle credits of `targets`, whose lender has changed.

        If `targets` is None, drops the idle credits of all targets.
        """
        self.borrower.drop_idle(targets)

    def _is_report_due(self, peer: Peer, now: float) -> bool:
        """Return whether a report to the peer is due.

        A report is due when both routers see the same live lenders again
        after a change. Periodic reports correct the lender's count after
        grants or returns were lost.
        """
        reported_at = self._reported_at.get(peer.wire_id, -math.inf)
        if now - reported_at >= REPORT_PERIOD_SECONDS:
            return True
        views_agree = peer.view_hash == self._peers.view_hash(
            peer.hello.data_centre, now
        )
        return views_agree and reported_at <= max(
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
            self._answered_sequences.get(peer.wire_id, 0),
            holdings,
        )
        if self._transport.send(peer.hello.peer_address, report):
            self._reported_at[peer.wire_id] = now

    def _make_request(
        self,
        lender: int,
        target_id: int,
        pool: Pool,
        outstanding: int,
    ) -> CreditRequest:
        self._sent_sequences[lender] = self._sent_sequences.get(lender, 0) + 1
        return CreditRequest(
            sender=self._peers.own.sender,
            target_id=target_id,
            pool_id=pool.wire_id,
            outstanding=outstanding,
            sequence=self._sent_sequences[lender],
        )

    async def _send_request(
        self,
        lender: int,
        request: CreditRequest,
        now: float,
    ) -> CreditGrant | None:
        peer = self._peers.peer(lender)
        if peer is None or self._unresponsive_until.get(lender, 0) > now:
            return None
        self.counters.asked += 1
        pending = _PendingRequest()
        self._pending[lender, request.sequence] = pending
        if self._transport.send(peer.hello.peer_address, request):
            with trio.move_on_after(REQUEST_TIMEOUT_SECONDS):
                await pending.answered.wait()
        if pending.grant is None:
            self._pending.pop((lender, request.sequence), None)
            self.counters.unanswered += 1
            self._unresponsive_until[lender] = now + UNRESPONSIVE_LENDER_SECONDS
        return pending.grant


def _unexpired(deadlines: dict[Key, float], now: float) -> dict[Key, float]:
    return {
        key: deadline for key, deadline in deadlines.items() if deadline > now
    }
