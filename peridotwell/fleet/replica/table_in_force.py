"""The version of the configuration in force, and those that were not taken."""

from peridotwell.domain.routing_table import RoutingTable
from peridotwell.errors import EntryError
from peridotwell.fleet.replica.dropped_names import DroppedNames
from peridotwell.fleet.replica.entry_source import EntrySource
from peridotwell.fleet.replica.recent_refusals import RecentRefusals
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

    def __init__(self, decoder: EntryDecoder) -> None:
        self.table: RoutingTable | None = None
        self.loaded_at = float(0)
        self.source: EntrySource | None = None
        self.not_taken = VersionsNotTaken()
        self.dropped = DroppedNames()
        self.refusals = RecentRefusals()
        self._decoder = decoder

    def seen_label(self) -> str | None:
        """Return the newest version seen for the log; None before the first."""
        newest = self.not_taken.newest(self.table)
        if newest is None and self.table is not None:
            newest = SeenVersion(self.table.version, self.table.revision)
        return newest.label if newest else None

    def behind(self) -> int:
        """Return the newest version number seen less the one in force."""
        return self.not_taken.behind(self.table)

    def apply(self, entry: Entry, source: EntrySource, now: float) -> int:
        """Take a version unless it cannot be read or is older.

        Returns the number of versions that could not be read.
        """
        in_force = self.table.revision if self.table else 0
        if entry.revision <= in_force or self.not_taken.is_known(
            entry.revision
        ):
            return 0
        try:
            table = self._decoder.decode_table(entry.value, entry.revision)
        except EntryError as exc:
            self._log_not_taken('table.invalid', entry, error=str(exc))
            return 1
        if self.table is not None and table.version < self.table.version:
            # Its write was executed late, or a restored store lists it. The
            # one in force stays until its operator has written it again.
            self._log_not_taken('table.older', entry)
        else:
            self._take(table, source, now)
        return 0

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
        self.refusals.log_allowed_by(table, source.value, now)

    def _log_not_taken(self, event: str, entry: Entry, **fields: str) -> None:
        seen = SeenVersion(
            self._decoder.table_version(entry.value), entry.revision
        )
        self.not_taken.record(seen, self.table)
        log_failure(
            event,
            seen=seen.label,
            table=self.table.version if self.table else None,
            version=seen.version,
            revision=entry.revision,
            table_revision=self.table.revision if self.table else None,
            **fields,
        )
