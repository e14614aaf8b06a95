"""The load bound: each request that is sent spends one of a target's credits.

For each target one router of the target's data centre, the lender, counts
the credits lent out and never lends more than the target's cap, which is the
configured multiple of the mean load. The other routers borrow credits. Load
reports alone cannot keep the bound, because they lag and all routers act on
the same reports (docs/design/load-bound.md).
"""

import itertools
import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from peridotwell.domain.target import Target

__all__ = ('load_caps', 'Lender', 'Borrower', 'Holdings')

# Borrowers may keep idle credits while at most this fraction of a cap is lent.
SPARE_CREDITS_FRACTION = 0.5
# A scarce credit may be idle for this time so that a waiting request can take
# it before it is returned to the lender.
SCARCE_CREDIT_IDLE_SECONDS = 0.1

Holdings = Mapping[int, int]


def load_caps(
    targets: Sequence[Target],
    outstanding: int,
    bound: float,
) -> dict[str, int]:
    """Return the highest number of requests of each target, by target name.

    `outstanding` counts the pool's requests without the one to be placed. The
    cap is `bound` times the target's weighted share of the requests, rounded
    down, but at least the next whole number above the share, so that the caps
    of a pool always leave room for one more request. A target's slots, if
    they are known, limit its cap further.
    """
    total_weight = math.fsum(target.weight for target in targets)
    caps = {}
    for target in targets:
        mean = (outstanding + 1) * target.weight / total_weight
        cap = max(math.floor(bound * mean), math.floor(mean) + 1)
        caps[target.name] = min(cap, target.slots or cap)
    return caps


class Lender:
    """Credits that this router has lent, by target and borrower.

    A router that becomes the lender of a target first collects the holdings
    of the other routers (`await_reports`, `record_holdings`) and lends no
    credits of the target until all have reported.
    """

    def __init__(self) -> None:
        self._lent: dict[int, dict[int, int]] = {}
        self._awaited: dict[int, set[int]] = {}

    def lent(self, target: int) -> int:
        """Return the number of credits of `target` that are lent."""
        return sum(self._lent.get(target, {}).values())

    def await_reports(self, target: int, members: set[int]) -> None:
        """Lend no credits of `target` until all `members` have reported."""
        self._lent[target] = {}
        self._awaited[target] = set(members)

    def awaited_routers(self) -> set[int]:
        """Return the routers whose reports of holdings are awaited."""
        return set().union(*self._awaited.values())

    def can_lend(self, target: int) -> bool:
        """Return whether this router may lend credits of `target` now."""
        return target in self._lent and not self._awaited.get(target)

    def stop_lending(self, target: int) -> None:
        """Stop lending credits of `target`, which has another lender now."""
        self._lent.pop(target, None)
        self._awaited.pop(target, None)

    def targets(self) -> tuple[int, ...]:
        """Return the targets that this router lends for."""
        return tuple(self._lent)

    def lend(self, target: int, borrower: int, wanted: int, cap: int) -> int:
        """Lend up to `wanted` credits and at most `cap` in total.

        Returns the number of credits lent.
        """
        if not self.can_lend(target):
            return 0
        lent = max(0, min(wanted, cap - self.lent(target)))
        held = self._lent[target]
        held[borrower] = held.get(borrower, 0) + lent
        return lent

    def has_spare_credits(self, target: int, cap: int) -> bool:
        """Return whether borrowers of `target` may keep idle credits."""
        return self.lent(target) <= cap * SPARE_CREDITS_FRACTION

    def record_return(self, target: int, borrower: int, returned: int) -> None:
        """Record credits that `borrower` has returned."""
        held = self._lent.get(target, {})
        held[borrower] = max(0, held.get(borrower, 0) - returned)

    def record_holdings(
        self,
        borrower: int,
        holdings: Holdings,
        *,
        completes: bool,
    ) -> None:
        """Replace the recorded credits of `borrower` by those it reports.

        `completes` tells whether the report ends the wait for this borrower.
        """
        for target, held in self._lent.items():
            held[borrower] = holdings.get(target, 0)
        if completes:
            for awaited in self._awaited.values():
                awaited.discard(borrower)

    def keep_only(self, borrowers: set[int]) -> None:
        """Take back all credits of routers that are not in `borrowers`."""
        for held in self._lent.values():
            for gone in held.keys() - borrowers:
                held.pop(gone)
        for awaited in self._awaited.values():
            awaited.intersection_update(borrowers)


@dataclass
class _Account:
    """Credits of one target that this router holds.

    `held` counts all of them and `spent` those in use. `idle_since` has the
    time from which each of the others is idle. `may_keep` is the latest
    statement of the lender whether idle credits may be kept.
    """

    held: int = 0
    spent: int = 0
    may_keep: bool = False
    idle_since: list[float] = field(default_factory=list)


class Borrower:
    """Credits that this router holds, by target.

    While a target has credits to spare, the credit of an ended request is
    kept for `keep_seconds`, because another request for the same target may
    follow. Otherwise it is returned to the lender at once.
    """

    def __init__(self, keep_seconds: float) -> None:
        self.keep_seconds = keep_seconds
        self._accounts: dict[int, _Account] = {}

    def spent(self, target: int) -> int:
        """Return the number of outstanding requests on `target`."""
        return self._account(target).spent

    def holdings(self) -> dict[int, int]:
        """Return the number of credits held of each target that has any."""
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
        """Record credits that the lender has granted."""
        account = self._account(target)
        account.may_keep = may_keep
        account.held += lent
        account.idle_since.extend(itertools.repeat(now, lent))

    def spend(self, target: int) -> bool:
        """Spend an idle credit on a request; return False if there is none."""
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
        """Release the credit of a request that has ended.

        Returns the number of credits to return to the lender at once. It is 0
        if idle credits may be kept, or if a request of this router waits for
        the credit (`is_awaited`).
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
        """Remove credits that were idle too long; return them by target."""
        returned = {}
        for target, account in self._accounts.items():
            idle_limit = SCARCE_CREDIT_IDLE_SECONDS
            if account.may_keep:
                idle_limit = self.keep_seconds
            kept = [
                since
                for since in account.idle_since
                if now - since < idle_limit
            ]
            expired = len(account.idle_since) - len(kept)
            if expired:
                account.idle_since = kept
                account.held -= expired
                returned[target] = expired
        self._drop_empty(returned)
        return returned

    def drop_idle(self, targets: Iterable[int] | None = None) -> None:
        """Discard idle credits that their lender does not count any more.

        Only those of `targets`, or those of all targets if it is None.
        """
        dropped_targets = tuple(self._accounts if targets is None else targets)
        for target in dropped_targets:
            account = self._account(target)
            account.held = account.spent
            account.idle_since.clear()
        self._drop_empty(dropped_targets)

    def _account(self, target: int) -> _Account:
        return self._accounts.setdefault(target, _Account())

    def _drop_empty(self, targets: Iterable[int]) -> None:
        for target in targets:
            if not self._account(target).held:
                self._accounts.pop(target)
