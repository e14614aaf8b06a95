"""Tells all routers which parts of prompts crash targets.

A change is told at once. A few routers, chosen for each record by rendezvous
hashing among those that are live, repeat it with their periodic updates: a
router that missed an update, was cut off or has just started learns it then.
"""

import itertools
from collections.abc import Iterable, Iterator

from peridotwell.fleet.transport.peers import Peers
from peridotwell.logs import log_event
from peridotwell.policy.crash_blame import (
    CrashBlame,
    PartRecord,
    format_parts,
)
from peridotwell.policy.rendezvous import first_by_score

__all__ = ('CrashBlameSync',)

REPEATING_ROUTERS = 3
MAX_CHANGED_PER_UPDATE = 100
MAX_REPEATED_PER_UPDATE = 20


class CrashBlameSync:
    """Takes part in the exchange of the records of one router."""

    def __init__(self, peers: Peers, blame: CrashBlame) -> None:
        self._peers = peers
        self._blame = blame
        self._changed: dict[int, PartRecord] = {}
        self._logged_groups: tuple[frozenset[int], ...] = ()

    def has_changes(self) -> bool:
        """Return whether there are records to tell at once."""
        return bool(self._changed)

    def share(self, records: Iterable[PartRecord]) -> None:
        """Tell these records with the next update."""
        self._changed.update({record.part: record for record in records})

    def take(self, now: float, *, repeat: bool) -> tuple[PartRecord, ...]:
        """Return the records for an update, with repeated ones if `repeat`."""
        self._log_groups()
        parts = tuple(itertools.islice(self._changed, MAX_CHANGED_PER_UPDATE))
        taken = {part: self._changed.pop(part) for part in parts}
        if repeat:
            repeated = itertools.islice(
                self._repeated(now), MAX_REPEATED_PER_UPDATE
            )
            taken.update({record.part: record for record in repeated})
        return tuple(taken.values())

    def apply(self, records: Iterable[PartRecord], now: float) -> None:
        """Merge the records of another router."""
        self.share(self._blame.merge(records, now))

    def _log_groups(self) -> None:
        logged, groups = self._logged_groups, self._blame.groups
        if logged is groups:
            return
        self._logged_groups = groups
        for group in set(groups) - set(logged):
            log_event('part.blamed', parts=format_parts(group))
        for group in set(logged) - set(groups):
            log_event('part.cleared', parts=format_parts(group))

    def _repeated(self, now: float) -> Iterator[PartRecord]:
        own = self._peers.own.sender
        routers = [own, *(peer.wire_id for peer in self._peers.live_peers(now))]
        for record in self._blame.to_repeat(now):
            chosen = first_by_score(
                str(record.part), routers, REPEATING_ROUTERS
            )
            if own in chosen:
                yield record
