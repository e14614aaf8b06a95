"""The store's entries as last read, and which of them were deleted.

Routers that are behind get from it what has changed since.
"""

from peridotwell.fleet.frames import SharedEntry
from peridotwell.store.base import Entry
from peridotwell.store.change_feed import Snapshot

__all__ = ('StoreReplica',)

# Deletions that are remembered for routers that are behind.
MAX_DELETED = 2000


class StoreReplica:
    """Entries by key, each at the newest revision heard of."""

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._deleted: dict[str, int] = {}
        # Deletions up to this revision may be missing here.
        self._whole_after = 0

    def is_newer(self, entry: Entry) -> bool:
        """Whether an entry is newer than what is known of its key."""
        known = self._entries.get(entry.key)
        if known is not None and entry.revision <= known.revision:
            return False
        return entry.revision > self._deleted.get(entry.key, 0)

    def put(self, entry: Entry) -> None:
        """Keep an entry."""
        self._entries[entry.key] = entry
        self._deleted.pop(entry.key, None)

    def is_newer_deletion(self, key: str, revision: int) -> bool:
        """Whether a deletion is newer than what is known of its key."""
        known = self._entries.get(key)
        return known is not None and revision >= known.revision

    def record_deletion(self, key: str, revision: int) -> None:
        """Remember a deletion; the entry stays until it is dropped."""
        self._deleted[key] = revision
        while len(self._deleted) > MAX_DELETED:
            oldest = next(iter(self._deleted))
            forgotten = self._deleted.pop(oldest)
            self._whole_after = max(self._whole_after, forgotten)

    def remove(self, key: str) -> None:
        """Forget an entry that was deleted."""
        self._entries.pop(key, None)

    def keys_missing_from(self, snapshot: Snapshot) -> list[str]:
        """Return the keys that a whole reading shows to be gone."""
        listed = {entry.key for entry in snapshot.entries}
        return [
            entry.key
            for entry in self._entries.values()
            if entry.key not in listed and entry.revision <= snapshot.revision
        ]

    def record_snapshot(self, revision: int) -> None:
        """Book a whole reading, which does not tell what was deleted."""
        self._whole_after = max(self._whole_after, revision)

    def has_all_deletions_since(self, revision: int) -> bool:
        """Whether every deletion after a revision is remembered."""
        return revision >= self._whole_after

    def changes_since(self, revision: int) -> tuple[SharedEntry, ...]:
        """Return what has changed after a revision, deletions included."""
        written = (
            SharedEntry(entry.key, entry.revision, entry.value)
            for entry in self._entries.values()
            if entry.revision > revision
        )
        deleted = (
            SharedEntry(key, deleted_at, None)
            for key, deleted_at in self._deleted.items()
            if deleted_at > revision
        )
        return (*written, *deleted)
