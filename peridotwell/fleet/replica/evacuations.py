"""The evacuated data centres, and when each was restored.

An entry of the store evacuates a data centre until it is deleted: targets there
get no new requests, and those that they have go on.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from peridotwell.domain.store_order import StoreOrder
from peridotwell.domain.target import Target
from peridotwell.fleet.replica.entry_source import EntrySource
from peridotwell.forwarding.adapters import EntryDecoder
from peridotwell.logs import log_event, log_failure
from peridotwell.store.base import Entry

__all__ = ('Evacuations',)


@dataclass(frozen=True)
class _Order:
    """An entry in force; `deletion` tells who has deleted it, if known."""

    data_centre: str
    revision: StoreOrder
    source: EntrySource
    deletion: tuple[StoreOrder, EntrySource] | None = None


class Evacuations:
    """The data centres whose targets get no new requests.

    `diverted` counts the attempts that were assigned to a target there, and
    were not sent because of the evacuation.
    """

    def __init__(self, decoder: EntryDecoder) -> None:
        self.data_centres: frozenset[str] = frozenset()
        self.known: frozenset[str] = frozenset()
        self.diverted = 0
        self._decoder = decoder
        self._orders: dict[str, _Order] = {}
        self._restored_at: dict[str, float] = {}
        self._logged_unknown: set[str] = set()

    @property
    def keys(self) -> Collection[str]:
        """The store's keys of the evacuations in force."""
        return self._orders.keys()

    @property
    def restored(self) -> Mapping[str, float]:
        """When each data centre was restored, unless it is evacuated."""
        return self._restored_at

    def covers(self, target: Target) -> bool:
        """Return whether the data centre of a target is evacuated."""
        return target.pool.data_centre in self.data_centres

    def restored_at(self, data_centre: str) -> float | None:
        """Return when the last evacuation of a data centre has ended.

        It is a time of this router's clock, in seconds; None while the data
        centre is evacuated, or if no end of an evacuation was seen here.
        """
        return self._restored_at.get(data_centre)

    def apply(self, entry: Entry, source: EntrySource) -> bool:
        """Apply an entry if it evacuates a data centre; return whether."""
        data_centre = self._decoder.evacuated_data_centre(entry.key)
        if data_centre is None:
            return False
        is_new = entry.key not in self._orders
        self._orders[entry.key] = _Order(data_centre, entry.revision, source)
        self._restored_at.pop(data_centre, None)
        self._update()
        if is_new:
            log_event(
                'data_centre.evacuated',
                evacuated=data_centre,
                revision=entry.revision,
                source=source.value,
            )
        return True

    def record_deletion(
        self, key: str, revision: StoreOrder, source: EntrySource
    ) -> None:
        """Record who has deleted an entry, which may stay in force for now."""
        order = self._orders.get(key)
        if order is not None:
            self._orders[key] = _Order(
                order.data_centre,
                order.revision,
                order.source,
                (revision, source),
            )

    def remove(self, key: str, now: float) -> None:
        """End the evacuation of a deleted entry, if it is one."""
        order = self._orders.pop(key, None)
        if order is None:
            return
        self._restored_at[order.data_centre] = now
        self._update()
        revision, source = order.deletion or (order.revision, order.source)
        log_event(
            'data_centre.restored',
            restored=order.data_centre,
            revision=revision,
            source=source.value,
        )

    def set_known(self, known: frozenset[str]) -> None:
        """Set the data centres that have a router or a target.

        Evacuated ones that have none are logged once.
        """
        self.known = known
        for name in self.data_centres.difference(known, self._logged_unknown):
            self._logged_unknown.add(name)
            log_failure('data_centre.unknown', evacuated=name)

    def _update(self) -> None:
        self.data_centres = frozenset(
            order.data_centre for order in self._orders.values()
        )
