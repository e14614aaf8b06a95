"""Tells all routers the records of one kind of soft state.

A change is told at once. A few routers, chosen for each record by rendezvous
hashing among those that are live, repeat it with their periodic updates: a
router that missed an update, was cut off or has just started learns it then.
"""

import itertools
from collections.abc import Callable, Collection, Iterable, Iterator
from typing import Generic

from peridotwell.fleet.transport.peers import Peers
from peridotwell.policy.placement.rendezvous import first_by_score
from peridotwell.policy.updates.soft_state import RecordT, SoftState

__all__ = ('SoftStateSync',)

REPEATING_ROUTERS = 3
MAX_CHANGED_PER_UPDATE = 100
MAX_REPEATED_PER_UPDATE = 20


class SoftStateSync(Generic[RecordT]):
    """Takes part in the exchange of the records of one router."""

    def __init__(
        self,
        peers: Peers,
        state: SoftState[RecordT],
        on_change: Callable[[], None],
    ) -> None:
        """`on_change` is called when there are records to tell at once."""
        self._peers = peers
        self._state = state
        self._on_change = on_change
        self._changed: dict[int, RecordT] = {}

    def has_changes(self) -> bool:
        """Return whether there are records to tell at once."""
        return bool(self._changed)

    def share(self, records: Iterable[RecordT]) -> None:
        """Tell these records with the next update."""
        changed = {record.key: record for record in records}
        if changed:
            self._changed.update(changed)
            self._on_change()

    def take(self, now: float, *, repeat: bool) -> tuple[RecordT, ...]:
        """Return the records for an update, with repeated ones if `repeat`."""
        keys = tuple(itertools.islice(self._changed, MAX_CHANGED_PER_UPDATE))
        taken = {key: self._changed.pop(key) for key in keys}
        if repeat:
            repeated = itertools.islice(
                self._repeated(now), MAX_REPEATED_PER_UPDATE
            )
            taken.update({record.key: record for record in repeated})
        return tuple(taken.values())

    def apply(self, records: Collection[RecordT], now: float) -> None:
        """Merge the records of another router."""
        if records:
            self.share(self._state.merge(records, now))

    def _repeated(self, now: float) -> Iterator[RecordT]:
        own = self._peers.own.sender
        routers: tuple[int, ...] = ()
        for record in self._state.to_repeat(now):
            # Few updates have records to repeat: the others list no routers.
            routers = routers or self._live_routers(now)
            chosen = first_by_score(str(record.key), routers, REPEATING_ROUTERS)
            if own in chosen:
                yield record

    def _live_routers(self, now: float) -> tuple[int, ...]:
        """Return the routers that may repeat records, this one included."""
        peers = self._peers.live_peers(now)
        return (self._peers.own.sender, *(peer.wire_id for peer in peers))
