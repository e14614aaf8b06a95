"""Forwards the store's changes from a relay to the routers of its group.

Small entries are forwarded whole, large ones as differences from the version
that was forwarded or read before. What does not fit in a batch is left out: the
router takes the rest, and gets large differences in a message of its own, or
reads the store. So the news that a target leaves never waits for a large
configuration.
"""

from collections.abc import (
    Callable,
    Collection,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)
from functools import partial

from peridotwell.domain.store_order import NO_ORDER
from peridotwell.fleet.replica.entry_patches import (
    PatchError,
    apply_patch,
    make_patch,
)
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.fleet.transport.frames import (
    EntryPatch,
    SharedEntry,
    StoreChanges,
)
from peridotwell.fleet.transport.router_registry import ROUTERS_PREFIX
from peridotwell.logs import log_event
from peridotwell.store.base import Entry

__all__ = ('ChangeForwarder', 'urgent_entries')

# Entries over this size are forwarded as differences.
LARGE_ENTRY_BYTES = 2000
# More bytes do not fit in a batch.
MAX_CHANGES_BYTES = 4000

StartLarge = Callable[[Sequence[EntryPatch]], tuple[int, ...]]


class ChangeForwarder:
    """Makes the changes for the next batch, and applies those of a relay."""

    def __init__(self, directory: ServiceDirectory) -> None:
        self._directory = directory
        self._sent_revision = NO_ORDER
        self._sent_large: dict[str, Entry] = {}
        # The last large changes: the revision that they build on, and all
        # differences since.
        self._large_base = NO_ORDER
        self._large_patches: tuple[EntryPatch, ...] = ()

    def next_changes(
        self,
        now: float,
        start_large: StartLarge | None = None,
    ) -> StoreChanges | None:
        """Return the store's changes since the last call, None if none fit.

        `start_large` is called with differences that do not fit, and returns
        the routers that get them by `large_changes`.
        """
        base = self._sent_revision
        revision = self._directory.known_revision
        if revision <= base:
            return None
        replica = self._directory.replica
        previous = self._sent_large
        self._sent_revision = revision
        self._sent_large = replica.entries_over(LARGE_ENTRY_BYTES)
        changed = replica.changes_since(base)
        entries = tuple(urgent_entries(changed, self._directory.leaving_keys))
        differences = tuple(_make_patches(changed, previous, self._sent_large))
        patches = tuple(each for each in differences if _fits(each))
        receivers: tuple[int, ...] = ()
        if len(patches) < len(differences):
            self._large_base = base
            self._large_patches = differences
            receivers = start_large(differences) if start_large else ()
        if not (entries or patches or receivers):
            return None
        is_complete = len(entries) + len(patches) == len(changed)
        return StoreChanges(
            base,
            revision,
            entries,
            self._directory.deferred_removals.remaining_seconds(now),
            patches,
            not (is_complete and replica.has_all_deletions_since(base)),
            receivers,
        )

    def large_changes(self, now: float) -> StoreChanges:
        """Return all changes since what the last large ones build on."""
        base = self._large_base
        replica = self._directory.replica
        changed = replica.changes_since(base)
        entries = tuple(urgent_entries(changed, self._directory.leaving_keys))
        current = {each.key: each.revision for each in changed}
        # A difference may have been followed by another one since.
        latest = [
            each
            for each in self._large_patches
            if current.get(each.key) == each.revision
        ]
        is_complete = len(entries) + len(latest) == len(changed)
        return StoreChanges(
            base,
            self._directory.known_revision,
            entries,
            self._directory.deferred_removals.remaining_seconds(now),
            self._large_patches,
            not (is_complete and replica.has_all_deletions_since(base)),
        )

    def apply(self, changes: StoreChanges, now: float) -> None:
        """Apply the changes of a relay, as far as they fit what is known."""
        known = self._directory.known_revision
        if changes.revision <= known or not self._directory.is_loaded:
            return
        patched = tuple(self._apply_patches(changes.patches))
        is_complete = (
            not changes.is_partial
            and changes.base_revision <= known
            and len(patched) == len(changes.patches)
        )
        self._directory.store_contact.doubt_as_peer(
            changes.removal_grace_seconds, changes.revision, now
        )
        self._directory.apply_peer_changes(
            (*changes.entries, *patched),
            changes.revision if is_complete else known,
            now,
        )

    def _apply_patches(
        self, patches: Iterable[EntryPatch]
    ) -> Iterator[SharedEntry]:
        """Yield the entries whose patches fit the versions known here."""
        for patch in patches:
            try:
                yield self._apply_patch(patch)
            except PatchError as exc:
                log_event('entries.patch_refused', error=str(exc))

    def _apply_patch(self, patch: EntryPatch) -> SharedEntry:
        entry = self._directory.replica.entry(patch.key)
        if entry is not None and entry.revision >= patch.revision:
            return SharedEntry(entry.key, entry.revision, entry.value)
        if entry is None or entry.revision != patch.base_revision:
            raise PatchError(
                f'{patch.key} is not known at {patch.base_revision}: '
                'read the whole entry.'
            )
        content = apply_patch(entry.value, patch.patch)
        return SharedEntry(patch.key, patch.revision, content)


def urgent_entries(
    changed: Iterable[SharedEntry], leaving_keys: Collection[str]
) -> Iterator[SharedEntry]:
    """Yield the small entries that fit in a batch, the urgent ones first.

    `leaving_keys` are the keys of the targets that leave.
    """
    left_bytes = MAX_CHANGES_BYTES
    for each in sorted(changed, key=partial(_urgency, leaving_keys)):
        left_bytes -= _size(each)
        if _is_large(each) or left_bytes < 0:
            return
        yield each


def _is_large(entry: SharedEntry) -> bool:
    return len(entry.value or b'') > LARGE_ENTRY_BYTES


def _urgency(
    leaving_keys: Collection[str], entry: SharedEntry
) -> tuple[bool, bool, bool, int]:
    """Targets come before routers, those that leave or are gone first.

    A report of a target that leaves is longer than one of a target at work.
    """
    is_router = entry.key.startswith(ROUTERS_PREFIX)
    is_in_use = entry.value is not None and entry.key not in leaving_keys
    return _is_large(entry), is_router, is_in_use, _size(entry)


def _size(entry: SharedEntry) -> int:
    return len(entry.key) + len(entry.value or b'')


def _make_patches(
    changed: Iterable[SharedEntry],
    previous: Mapping[str, Entry],
    current: Mapping[str, Entry],
) -> Iterator[EntryPatch]:
    """Yield the differences of entries that are large in both versions."""
    for each in changed:
        old = previous.get(each.key)
        new = current.get(each.key)
        if old is None or new is None or each.revision != new.revision:
            continue
        patch = make_patch(old.value, new.value)
        yield EntryPatch(each.key, old.revision, new.revision, patch)


def _fits(patch: EntryPatch) -> bool:
    return len(patch.patch) <= MAX_CHANGES_BYTES
