"""Which router lends credits for which target, as seen by this router."""

import math
from dataclasses import dataclass

from peridotwell.fleet.peers import Peers, choose_lender
from peridotwell.fleet.target_membership import TargetMembership

__all__ = ('LenderAssignments', 'LenderReassignment')


@dataclass(frozen=True)
class LenderReassignment:
    """Targets by wire id: now lent for by this router, and changed."""

    gained: frozenset[int]
    changed: frozenset[int]


class LenderAssignments:
    """The lender of each target, recomputed when routers or targets change."""

    def __init__(self, peers: Peers, membership: TargetMembership) -> None:
        self.changed_at = -math.inf
        self._peers = peers
        self._membership = membership
        self._lender_of: dict[int, int] = {}
        self._basis: object = None

    def lender(self, number: int) -> int | None:
        """Return the router that lends for a target, if any is live."""
        return self._lender_of.get(number)

    def is_own(self, number: int) -> bool:
        """Whether this router lends for a target."""
        return self._lender_of.get(number) == self._peers.own.sender

    def clear(self) -> None:
        """Forget everything, so that the next refresh starts anew."""
        self._lender_of = {}
        self._basis = None

    def refresh(self, now: float) -> LenderReassignment | None:
        """Recompute after a change; None when nothing has changed."""
        basis = (
            self._peers.live_identities(now),
            self._peers.own_is_leaving,
            self._membership.target_names(),
        )
        if basis == self._basis:
            return None
        self._basis = basis
        self.changed_at = now
        before = self._lender_of
        self._lender_of = self._compute(now)
        changed = frozenset(
            number
            for number in before.keys() | self._lender_of.keys()
            if before.get(number) != self._lender_of.get(number)
        )
        return LenderReassignment(
            frozenset(number for number in changed if self.is_own(number)),
            changed,
        )

    def _compute(self, now: float) -> dict[int, int]:
        lender_of = {}
        lenders_in = {
            data_centre: self._peers.lenders(data_centre, now)
            for data_centre in self._membership.data_centres()
        }
        for target in self._membership.targets():
            chosen = choose_lender(target, lenders_in[target.pool.data_centre])
            if chosen is not None:
                lender_of[target.wire_id] = chosen
        return lender_of
