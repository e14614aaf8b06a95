"""A store's entries as a feed: one snapshot, then every change after it."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from peridotwell.errors import StoreError
from peridotwell.store.base import Entry, EntryStore

__all__ = (
    'HistoryGone',
    'Snapshot',
    'Changes',
    'ChangeFeed',
    'ChangeFeedStore',
)


class HistoryGone(StoreError):
    """The changes after a revision are no longer kept: read a snapshot."""

    code = 'store_history_gone'


@dataclass(frozen=True)
class Snapshot:
    """All entries, each at `revision` or newer."""

    entries: tuple[Entry, ...]
    revision: int


@dataclass(frozen=True)
class Changes:
    """What happened up to `revision`.

    `deleted` holds keys with the revision of their deletion.
    """

    entries: tuple[Entry, ...]
    deleted: tuple[tuple[str, int], ...]
    revision: int


class ChangeFeed(ABC):
    """Reads a store's entries and follows them.

    Every method may raise StoreError.
    """

    @abstractmethod
    async def read_snapshot(self) -> Snapshot:
        """Return all entries, never an older state than seen before."""

    @abstractmethod
    async def wait_for_changes(
        self, after: int, wait_seconds: float
    ) -> Changes:
        """Wait for changes after a revision; none in time is no error.

        Raises HistoryGone.
        """


class ChangeFeedStore(EntryStore, ChangeFeed):
    """A store that is followed, and written to by key."""
