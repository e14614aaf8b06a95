"""The load bound: every dispatch spends one of a limited number of credits.

For each target one router of the target's data centre, the lender, counts
the credits lent out and never lends more than the target's cap, which is the
configured multiple of the mean load. The other routers borrow. A bound kept
by reports alone fails, because reports lag and every router acts on the same
ones (docs/design/load-bound.md).
"""

import itertools
import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from peridotwell.domain.target import Target

__all__ = ('load_caps', 'Lender', 'Borrower', 'Holdings')

# Up to this part of the cap, borrowers may keep idle credits.
PLENTY_FRACTION = 0.5
# How long a scarce credit may lie idle until a waiting call takes it.
HANDOVER_SECONDS = 0.1

Holdings = Mapping[int, int]


def load_caps(
    targets: Sequence[Target],
    outstanding: int,
    bound: float,
) -> dict[str, int]:
    """Return the most work each target may hold, by target name.

    `outstanding` counts the pool's work without the call to be placed. The
    cap is `bound` times the target's weighted share of the work, rounded
    down, but never less than the share's next whole number: the caps of a
    pool then always leave room for one more call. The target's own slots
    limit it further.
    """
    weights = math.fsum(target.weight for target in targets)
    caps = {}
    for target in targets:
        mean = (outstanding + 1) * target.weight / weights
        cap = max(math.floor(bound * mean), math.floor(mean) + 1)
        caps[target.name] = min(cap, target.slots or cap)
    return caps


class Lender:
    """Credits that this router has lent, for each target and borrower.

    A router that becomes a target's lender first learns what the others
    hold (`await_reports`, `report`), and lends nothing for it until then.
    """

    def __init__(self) -> None:
        self._lent: dict[int, dict[int, int]] = {}
        self._awaited: dict[int, set[int]] = {}

    def lent(self, target: int) -> int:
        """Return the credits of `target` that are lent out."""
        return sum(self._lent.get(target, {}).values())

    def await_reports(self, target: int, members: set[int]) -> None:
        """Lend nothing for `target` until every member has reported."""
        self._lent[target] = {}
        self._awaited[target] = set(members)

    def awaited_routers(self) -> set[int]:
        """Return the routers whose reports a census waits for."""
        return set().union(*self._awaited.values())

    def can_lend(self, target: int) -> bool:
        """Whether this router knows enough to lend for `target`."""
        return target in self._lent and not self._awaited.get(target)

    def stop_lending(self, target: int) -> None:
        """Stop lending for `target`; another router lends for it now."""
        self._lent.pop(target, None)
        self._awaited.pop(target, None)

    def targets(self) -> tuple[int, ...]:
        """Return the targets that this router lends for."""
        return tuple(self._lent)

    def lend(self, target: int, borrower: int, wanted: int, cap: int) -> int:
        """Lend up to `wanted` credits without passing `cap` in total."""
        if not self.can_lend(target):
            return 0
        lent = max(0, min(wanted, cap - self.lent(target)))
        held = self._lent[target]
        held[borrower] = held.get(borrower, 0) + lent
        return lent

    def has_spare_credits(self, target: int, cap: int) -> bool:
        """Whether borrowers may keep idle credits for a while."""
        return self.lent(target) <= cap * PLENTY_FRACTION

    def record_return(self, target: int, borrower: int, returned: int) -> None:
        """Book credits that `borrower` has returned."""
        held = self._lent.get(target, {})
        held[borrower] = max(0, held.get(borrower, 0) - returned)

    def record_holdings(
        self,
        borrower: int,
        holdings: Holdings,
        *,
        completes: bool,
    ) -> None:
        """Replace what is known about `borrower` by its own account.

        `completes` tells whether the report counts for a running census.
        """
        for target, held in self._lent.items():
            held[borrower] = holdings.get(target, 0)
        if completes:
            for awaited in self._awaited.values():
                awaited.discard(borrower)

    def keep_only(self, borrowers: set[int]) -> None:
        """Take back everything from routers that are gone."""
        for held in self._lent.values():
            for gone in held.keys() - borrowers:
                held.pop(gone)
        for awaited in self._awaited.values():
            awaited.intersection_update(borrowers)


@dataclass
class _Account:
    """Credits of one target: held in all, spent, and idle since when.

    `may_keep` is the lender's last word on keeping idle credits.
    """

    held: int = 0
    spent: int = 0
    may_keep: bool = False
    idle_since: list[float] = field(default_factory=list)


class Borrower:
    """Credits that this router holds, for each target.

    While a target has credits to spare, the credit of an ended call stays
    for `keep_seconds`, because another call for the same target may follow.
    Otherwise it is returned to the lender at once.
    """

    def __init__(self, keep_seconds: float) -> None:
        self.keep_seconds = keep_seconds
        self._accounts: dict[int, _Account] = {}

    def spent(self, target: int) -> int:
        """Return this router's outstanding calls on `target`."""
        return self._account(target).spent

    def holdings(self) -> dict[int, int]:
        """Return the credits held for each target."""
        return {
            target: account.held
            for target, account in self._accounts.items()
            if account.held
        }

    def add(
        self,
        target: int,
        lent: int,
        now: float,
        *,
        may_keep: bool = False,
    ) -> None:
        """Book credits that the lender has granted."""
        account = self._account(target)
        account.may_keep = may_keep
        account.held += lent
        account.idle_since.extend(itertools.repeat(now, lent))

    def spend(self, target: int) -> bool:
        """Spend a free credit on a call; False when there is none."""
        account = self._account(target)
        if not account.idle_since:
            return False
        account.idle_since.pop()
        account.spent += 1
        return True

    def release(
        self,
        target: int,
        now: float,
        *,
        is_awaited: bool = False,
    ) -> int:
        """Free the credit of a call that has ended.

        Returns the number of credits to return to the lender at once, which
        is none if a call of this router waits for one (`is_awaited`).
        """
        account = self._account(target)
        account.spent -= 1
        if account.may_keep or is_awaited:
            account.idle_since.append(now)
            return 0
        account.held -= 1
        self._drop_empty((target,))
        return 1

    def return_idle(self, now: float) -> dict[int, int]:
        """Remove and return credits idle too long, for each target."""
        returned = {}
        for target, account in self._accounts.items():
            patience = HANDOVER_SECONDS
            if account.may_keep:
                patience = self.keep_seconds
            kept = [
                since for since in account.idle_since if now - since < patience
            ]
            surplus = len(account.idle_since) - len(kept)
            if surplus:
                account.idle_since = kept
                account.held -= surplus
                returned[target] = surplus
        self._drop_empty(returned)
        return returned

    def drop_idle(self, targets: Iterable[int] | None = None) -> None:
        """Forget free credits that their lender no longer counts.

        Without `targets`, of every target.
        """
        chosen = tuple(self._accounts if targets is None else targets)
        for target in chosen:
            account = self._account(target)
            account.held = account.spent
            account.idle_since.clear()
        self._drop_empty(chosen)

    def _account(self, target: int) -> _Account:
        return self._accounts.setdefault(target, _Account())

    def _drop_empty(self, targets: Iterable[int]) -> None:
        for target in targets:
            if not self._account(target).held:
                self._accounts.pop(target)
