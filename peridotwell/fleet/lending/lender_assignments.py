"""Assigns each target the router that lends its credits."""

import math
from dataclasses import dataclass

from peridotwell.fleet.membership.target_membership import TargetMembership
from peridotwell.fleet.transport.peers import Peers, choose_lender

__all__ = ('LenderAssignments', 'LenderReassignment')


@dataclass(frozen=True)
class LenderReassignment:
    """Wire ids of targets gained by this router, and of all that changed."""

    gained: frozenset[int]
    changed: frozenset[int]


class LenderAssignments:
    """The lender of each target, as seen by this router.

    Recomputed when live routers or targets change.
    """

    def __init__(self, peers: Peers, membership: TargetMembership) -> None:
        self.changed_at = -math.inf
        self._peers = peers
        self._membership = membership
        self._lender_of: dict[int, int] = {}
        self._basis: object = None

    def lender(self, target_id: int) -> int | None:
        """Return the wire id of a target's lender; None if it has none."""
        return self._lender_of.get(target_id)

    def is_own(self, target_id: int) -> bool:
        """Return whether this router lends the credits of a target."""
        return self._lender_of.get(target_id) == self._peers.own.sender

    def clear(self) -> None:
        """Remove all assignments; the next refresh recomputes them."""
        self._lender_of = {}
        self._basis = None

    def refresh(self, now: float) -> LenderReassignment | None:
        """Recompute the lenders; return None if no router or target changed."""
        basis = (
            self._peers.live_identities(now),
            self._peers.own_is_leaving,
            self._membership.target_names(),
        )
        if basis == self._basis:
            return None
        self._basis = basis
        self.changed_at = now
        previous = self._lender_of
        self._lender_of = self._compute(now)
        changed = frozenset(
            target_id
            for target_id in previous.keys() | self._lender_of.keys()
            if previous.get(target_id) != self._lender_of.get(target_id)
        )
        return LenderReassignment(
            frozenset(
                target_id for target_id in changed if self.is_own(target_id)
            ),
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
