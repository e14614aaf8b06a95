"""Forwards the store's changes from a relay to the routers of its group.

Small entries are forwarded whole, large ones as differences from the version
that was forwarded or read before. A router that lacks this version does not
apply the changes, and reads the store.
"""

from collections.abc import Iterable, Iterator, Mapping

from peridotwell.fleet.entry_patches import PatchError, apply_patch, make_patch
from peridotwell.fleet.frames import EntryPatch, SharedEntry, StoreChanges
from peridotwell.fleet.service_directory import ServiceDirectory
from peridotwell.logs import log_event
from peridotwell.store.base import Entry

__all__ = ('ChangeForwarder',)

# Entries over this size are forwarded as differences.
LARGE_ENTRY_BYTES = 2000
# More bytes are read from the store, which has more bandwidth than a relay.
MAX_CHANGES_BYTES = 4000


class ChangeForwarder:
    """Makes the changes for the next batch, and applies those of a relay."""

    def __init__(self, directory: ServiceDirectory) -> None:
        self._directory = directory
        self._sent_revision = 0
        self._sent_large: dict[str, Entry] = {}

    def next_changes(self, now: float) -> StoreChanges | None:
        """Return the store's changes since the last call.

        Returns None if there are none, or if they are incomplete or too large.
        """
        base = self._sent_revision
        revision = self._directory.known_revision
        if revision <= base:
            return None
        replica = self._directory.replica
        previous = self._sent_large
        self._sent_revision = revision
        self._sent_large = replica.entries_over(LARGE_ENTRY_BYTES)
        if not replica.has_all_deletions_since(base):
            return None
        changed = replica.changes_since(base)
        entries = tuple(
            each for each in changed if each.key not in self._sent_large
        )
        patches = tuple(_make_patches(changed, previous, self._sent_large))
        is_complete = len(entries) + len(patches) == len(changed)
        if not is_complete or _size(entries, patches) > MAX_CHANGES_BYTES:
            return None
        grace = self._directory.deferred_removals.remaining_seconds(now)
        return StoreChanges(base, revision, entries, grace, patches)

    def apply(self, changes: StoreChanges, now: float) -> None:
        """Apply the changes of a relay if they follow what is known here."""
        known = self._directory.known_revision
        if changes.base_revision > known or changes.revision <= known:
            return
        try:
            patched = tuple(self._apply_patches(changes.patches))
        except PatchError as exc:
            log_event('entries.patch_refused', error=str(exc))
            return
        self._directory.deferred_removals.start_grace_period(
            changes.removal_grace_seconds, now
        )
        self._directory.apply_peer_changes(
            (*changes.entries, *patched), changes.revision, now
        )

    def _apply_patches(
        self, patches: Iterable[EntryPatch]
    ) -> Iterator[SharedEntry]:
        for patch in patches:
            entry = self._directory.replica.entry(patch.key)
            if entry is not None and entry.revision >= patch.revision:
                continue
            if entry is None or entry.revision != patch.base_revision:
                raise PatchError(
                    f'{patch.key} is not known at {patch.base_revision}: '
                    'read the whole entry.'
                )
            content = apply_patch(entry.value, patch.patch)
            yield SharedEntry(patch.key, patch.revision, content)


def _make_patches(
    changed: Iterable[SharedEntry],
    previous: Mapping[str, Entry],
    current: Mapping[str, Entry],
) -> Iterator[EntryPatch]:
    """Yield the differences of the changed entries that are large in both."""
    for each in changed:
        old = previous.get(each.key)
        new = current.get(each.key)
        if old is not None and new is not None:
            patch = make_patch(old.value, new.value)
            yield EntryPatch(each.key, old.revision, new.revision, patch)


def _size(entries: Iterable[SharedEntry], patches: Iterable[EntryPatch]) -> int:
    """Return the number of bytes in values and differences."""
    value_bytes = sum(len(each.value or b'') for each in entries)
    return value_bytes + sum(len(each.patch) for each in patches)
