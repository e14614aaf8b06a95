"""A copy of the store's entries, with the latest deletions.

Routers that lag behind get the changes that they lack from it.
"""

from collections.abc import Iterable, Iterator

from peridotwell.domain.store_order import NO_ORDER, StoreOrder
from peridotwell.fleet.replica.store_history import StoreHistory
from peridotwell.fleet.transport.frames import SharedEntry
from peridotwell.store.base import Entry
from peridotwell.store.change_feed import Snapshot

__all__ = ('StoreReplica',)

# Maximum number of deletions kept for routers that lag behind.
MAX_DELETED = 2000


class StoreReplica:
    """Entries by key, each at the latest known revision."""

    def __init__(self) -> None:
        self.history = StoreHistory()
        self._entries: dict[str, Entry] = {}
        # Entries in force that a later one of their key may not replace.
        self._kept: dict[str, Entry] = {}
        self._deleted: dict[str, StoreOrder] = {}
        # Deletions up to this revision may be missing from `_deleted`.
        self._complete_since = NO_ORDER

    def is_newer(self, entry: Entry) -> bool:
        """Return whether an entry is newer than the known state of its key."""
        known = self._entries.get(entry.key)
        if known is not None and entry.revision <= known.revision:
            return False
        return entry.revision > self._deleted.get(entry.key, NO_ORDER)

    def is_known_gone(self, entry: Entry, known_revision: StoreOrder) -> bool:
        """Return whether an entry is not listed at the known revision.

        Answers may arrive late, after those of others or of the store.
        """
        return (
            entry.revision <= known_revision and entry.key not in self._entries
        )

    def listed_entries(
        self,
        entries: Iterable[Entry],
        revision: StoreOrder,
        known_revision: StoreOrder,
    ) -> Iterator[Entry]:
        """Yield the entries of an answer at `revision` that are not gone.

        Only an answer older than what is known may tell others.
        """
        for entry in entries:
            is_current = revision >= known_revision
            if is_current or not self.is_known_gone(entry, known_revision):
                yield entry

    def has_version(self, entry: Entry) -> bool:
        """Return whether the latest known version of a key is this one."""
        known = self._entries.get(entry.key)
        return known is not None and known.revision == entry.revision

    def is_told_otherwise(self, entry: Entry) -> bool:
        """Return whether the known value at the entry's revision is another.

        An answer may have been damaged on its way.
        """
        known = self._entries.get(entry.key)
        return self.has_version(entry) and known != entry

    def is_news(self, entry: Entry) -> bool:
        """Return whether an entry is newer, or the known one is another."""
        return self.is_newer(entry) or self.is_told_otherwise(entry)

    def entry(self, key: str) -> Entry | None:
        """Return an entry as it is known."""
        return self._entries.get(key)

    def entries_over(self, value_bytes: int) -> dict[str, Entry]:
        """Return the entries whose values are larger than `value_bytes`."""
        return {
            key: entry
            for key, entry in self._entries.items()
            if len(entry.value) > value_bytes
        }

    def put(self, entry: Entry) -> None:
        """Store an entry."""
        self._entries[entry.key] = entry
        self._deleted.pop(entry.key, None)

    def keep(self, entry: Entry) -> None:
        """Keep the entry in force of a key, also if it is not the latest.

        Others are told both entries.
        """
        self._kept[entry.key] = entry

    def is_newer_deletion(self, key: str, revision: StoreOrder) -> bool:
        """Return whether a deletion is newer than what is known of its key."""
        known = self._entries.get(key)
        if known is None:
            return revision > self._deleted.get(key, NO_ORDER)
        return revision >= known.revision

    def record_deletion(self, key: str, revision: StoreOrder) -> None:
        """Record a deletion; the entry is kept until `remove` is called.

        It may be told before an older entry of its key is.
        """
        self._deleted[key] = revision
        while len(self._deleted) > MAX_DELETED:
            oldest = next(iter(self._deleted))
            dropped_revision = self._deleted.pop(oldest)
            self._complete_since = max(self._complete_since, dropped_revision)

    def remove(self, key: str) -> None:
        """Remove an entry that was deleted."""
        self._entries.pop(key, None)

    def keys_missing_from(self, snapshot: Snapshot) -> list[str]:
        """Return the known keys that a snapshot shows to be deleted."""
        listed = {entry.key for entry in snapshot.entries}
        return [
            entry.key
            for entry in self._entries.values()
            if entry.key not in listed and entry.revision <= snapshot.revision
        ]

    def record_snapshot(self, revision: StoreOrder) -> None:
        """Record a snapshot: it does not contain earlier deletions."""
        self._complete_since = max(self._complete_since, revision)

    def has_all_deletions_since(self, revision: StoreOrder) -> bool:
        """Return whether every deletion after a revision is known."""
        return revision >= self._complete_since

    def changes_since(self, revision: StoreOrder) -> tuple[SharedEntry, ...]:
        """Return the changes after a revision, including deletions.

        An entry that is kept although it was deleted counts as deleted.
        """
        written = (
            SharedEntry(entry.key, entry.revision, entry.value)
            for entry in (*self._entries.values(), *self._kept_earlier())
            if entry.revision > revision and entry.key not in self._deleted
        )
        deleted = (
            SharedEntry(key, deleted_at, None)
            for key, deleted_at in self._deleted.items()
            if deleted_at > revision
        )
        return (*written, *deleted)

    def _kept_earlier(self) -> Iterator[Entry]:
        """Yield the entries in force that are not the latest of their keys."""
        for entry in self._kept.values():
            if not self.has_version(entry):
                yield entry
