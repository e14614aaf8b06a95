"""Which routers are in touch: they ran undisturbed, and so did the store."""

import math
from collections import defaultdict
from collections.abc import Iterable

from tests.soak.records import (
    Late,
    PathDisturbed,
    Record,
    RouterDisturbed,
    RouterStarted,
    StoreDisturbed,
    select,
)

__all__ = ('CONTACT_SECONDS', 'Touch')

CONTACT_SECONDS = 3.0
# A store that waits for a processor for longer is a store with a fault.
SLOW_STORE_SECONDS = 0.25


class Touch:
    """Answers from the records of a run whether faults excuse a router.

    A fault excuses until CONTACT_SECONDS after its end.
    """

    def __init__(self, records: Iterable[Record]) -> None:
        records = tuple(records)
        self._late = tuple(select(records, Late))
        self._store = (
            *select(records, StoreDisturbed),
            *(
                StoreDisturbed(late.at - late.seconds, late.at, False)
                for late in self._late
                if late.process.startswith('store')
                and late.seconds > SLOW_STORE_SECONDS
            ),
        )
        self._routers: dict[str, list[RouterDisturbed]] = defaultdict(list)
        for fault in select(records, RouterDisturbed):
            self._routers[fault.router].append(fault)
        self._starts: dict[str, list[float]] = defaultdict(list)
        for start in select(records, RouterStarted):
            fault = RouterDisturbed(start.at, start.at, start.router)
            self._routers[start.router].append(fault)
            self._starts[start.router].append(start.at)
        self._paths: dict[str, list[PathDisturbed]] = defaultdict(list)
        for path in select(records, PathDisturbed):
            self._paths[path.target].append(path)

    def is_router_calm(self, router: str, begin: float, end: float) -> bool:
        """Whether a router ran undisturbed."""
        return not _any_in(self._routers[router], begin, end)

    def is_store_reachable(self, begin: float, end: float) -> bool:
        """Whether the store answered all the while, and lost nothing."""
        return not _any_in(
            (each for each in self._store if not each.is_reachable), begin, end
        )

    def store_returned_at(self, at: float) -> float:
        """Return when an outage ended in which an entry was written.

        That is the time of the entry if the store answered routers then.
        """
        return max(
            (
                each.at
                for each in self._store
                if not each.is_reachable and each.began_at <= at <= each.at
            ),
            default=at,
        )

    def is_store_calm(self, begin: float, end: float) -> bool:
        """Whether the store had no fault at all."""
        return not _any_in(self._store, begin, end)

    def is_path_calm(
        self, router: str, target: str, begin: float, end: float
    ) -> bool:
        """Whether bytes passed between a router and a target."""
        paths = (
            each for each in self._paths[target] if each.router in {'', router}
        )
        return not _any_in(paths, begin, end)

    def disturbed_until(
        self, router: str, begin: float, end: float
    ) -> float | None:
        """Return until when a router was disturbed that was so in a time.

        It is None for one that ran as usual, and infinite for one whose process
        has ended in that disturbance.
        """
        ends = [
            fault.at
            for fault in self._routers[router]
            if fault.began_at <= end and begin <= fault.at
        ]
        if not ends:
            return None
        ended_at = max(ends)
        starts = self._starts[router]
        is_ended = any(begin <= at <= ended_at for at in starts)
        return math.inf if is_ended else ended_at

    def is_heard_while_held(
        self, router: str, target: str, since: float, at: float
    ) -> bool:
        """Whether requests are held, since before, while answers pass."""
        paths = [
            path
            for path in self._paths[target]
            if path.router in {'', router} and path.began_at <= at <= path.at
        ]
        return any(path.began_at <= since for path in paths) and all(
            path.passes_answers for path in paths
        )

    def soak_late_seconds(self, role: str, begin: float, end: float) -> float:
        """Return how long a process of the soak itself was late in all.

        That is the one of this role that was late for longest.
        """
        totals: dict[str, float] = defaultdict(float)
        for late in self._late:
            if late.process.startswith(role) and begin < late.at <= end:
                totals[late.process] += late.seconds
        return max(totals.values(), default=0)

    def was_restored(self, begin: float, end: float) -> bool:
        """Whether the store went back to older entries."""
        restored = (each for each in self._store if each.is_restored)
        return _any_in(restored, begin, end)


def _any_in(faults: Iterable, begin: float, end: float) -> bool:
    return any(
        fault.began_at <= end and begin - CONTACT_SECONDS <= fault.at
        for fault in faults
    )
