"""The version of the configuration in force, and those that were not taken.

Versions are ordered by their number, then by the store's revision: the store
may execute the write of a lower number after that of a higher one.
"""

from collections.abc import Iterable

from peridotwell.domain.routing_table import RoutingTable
from peridotwell.errors import EntryError
from peridotwell.fleet.replica.dropped_names import DroppedNames
from peridotwell.fleet.replica.entry_source import EntrySource
from peridotwell.fleet.replica.recent_refusals import RecentRefusals
from peridotwell.fleet.replica.store_replica import StoreReplica
from peridotwell.fleet.replica.table_fault_log import log_table_faults
from peridotwell.fleet.replica.versions_not_taken import (
    SeenVersion,
    VersionsNotTaken,
)
from peridotwell.forwarding.adapters import EntryDecoder
from peridotwell.logs import log_event, log_failure
from peridotwell.store.base import Entry

__all__ = ('TableInForce',)


class TableInForce:
    """The routing table in force; `table` is None before the first one."""

    def __init__(self, decoder: EntryDecoder, replica: StoreReplica) -> None:
        self.table: RoutingTable | None = None
        self.loaded_at = float(0)
        self.source: EntrySource | None = None
        self.not_taken = VersionsNotTaken()
        self.dropped = DroppedNames()
        self.refusals = RecentRefusals()
        # Number of versions that could not be read.
        self.invalid_entries = 0
        self._decoder = decoder
        self._replica = replica

    def seen_label(self) -> str | None:
        """Return the newest version seen for the log; None before the first."""
        newest = self.not_taken.newest(self.table)
        if newest is None and self.table is not None:
            newest = SeenVersion(self.table.version, self.table.revision)
        return newest.label if newest else None

    def behind(self) -> int:
        """Return the newest version number seen less the one in force."""
        return self.not_taken.behind(self.table)

    def highest_number(self) -> int:
        """Return the highest version number seen, 0 before the first."""
        newest = self.not_taken.newest(self.table)
        in_force = self.table.version if self.table else 0
        return max(in_force, newest.version or 0) if newest else in_force

    def apply(
        self, entries: Iterable[Entry], source: EntrySource, now: float
    ) -> bool:
        """Take the newest version of `entries` that can be read, if any.

        Returns whether it is newer than the one in force. Of the others, only
        the numbers are decoded.
        """
        previous = self.table
        numbered = [
            (self._see(entry), entry)
            for entry in entries
            if not self._is_known(entry)
        ]
        numbered.sort(key=lambda pair: pair[0].order, reverse=True)
        for seen, entry in numbered:
            if self._replica.is_news(entry):
                self._replica.put(entry)
            if seen.is_newer_than(self.table):
                self._apply_newer(seen, entry, source, now)
            elif seen.is_lower_but_later(self.table):
                self._log_not_taken('table.older', seen)
        return self.table is not previous

    def _is_known(self, entry: Entry) -> bool:
        if self.table is not None and self.table.revision == entry.revision:
            return True
        is_not_taken = self.not_taken.is_known(entry.revision)
        return is_not_taken and not self._replica.is_told_otherwise(entry)

    def _see(self, entry: Entry) -> SeenVersion:
        try:
            number = self._decoder.table_version(entry.value)
        except Exception:
            number = None
        return SeenVersion(number, entry.revision)

    def _apply_newer(
        self, seen: SeenVersion, entry: Entry, source: EntrySource, now: float
    ) -> None:
        try:
            table = self._decoder.decode_table(entry.value, entry.revision)
        except Exception as exc:
            # An unexpected error must not end the answer's other entries.
            self.invalid_entries += 1
            is_expected = isinstance(exc, EntryError)
            error = str(exc) if is_expected else repr(exc)
            self._log_not_taken('table.invalid', seen, error=error)
            return
        read = SeenVersion(table.version, table.revision)
        if read.is_newer_than(self.table):
            self._replica.keep(entry)
            self._take(table, source, now)
        else:
            self._log_not_taken('table.older', read)

    def _take(
        self, table: RoutingTable, source: EntrySource, now: float
    ) -> None:
        if self.table is not None:
            self.dropped.record(self.table, table, now)
        self.table = table
        self.loaded_at = now
        self.source = source
        log_event(
            'table.taken',
            version=table.version,
            revision=table.revision,
            routes=len(table.routes),
            source=source.value,
        )
        log_table_faults(table)
        self.refusals.log_allowed_by(table, source.value, now)

    def _log_not_taken(
        self, event: str, seen: SeenVersion, **fields: str
    ) -> None:
        self.not_taken.record(seen, self.table)
        log_failure(
            event,
            seen=seen.label,
            table=self.table.version if self.table else None,
            version=seen.version,
            revision=seen.revision,
            table_revision=self.table.revision if self.table else None,
            **fields,
        )
