"""Interfaces to follow a store: a snapshot, then each later change."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import trio

from peridotwell.domain.store_order import StoreOrder
from peridotwell.errors import StoreError
from peridotwell.store.base import Entry, EntryStore

__all__ = (
    'HistoryGone',
    'Snapshot',
    'Changes',
    'ChangeFeed',
    'ChangeFeedStore',
    'ToldChange',
    'told_changes',
)


class HistoryGone(StoreError):
    """The store no longer has the changes after a revision.

    The remedy is to read a new snapshot.
    """

    code = 'store_history_gone'


@dataclass(frozen=True)
class ToldChange:
    """What the store has told of a write at its revision.

    Without a value, it was a deletion.
    """

    key: str
    revision: StoreOrder
    value: bytes | None


@dataclass(frozen=True)
class Snapshot:
    """All entries of a store, each in its state at `revision` or later."""

    entries: tuple[Entry, ...]
    revision: StoreOrder


@dataclass(frozen=True)
class Changes:
    """The changes up to `revision`.

    `deleted` contains the deleted keys with the revisions of the deletions.
    """

    entries: tuple[Entry, ...]
    deleted: tuple[tuple[str, StoreOrder], ...]
    revision: StoreOrder

    def has_gap(self, after: StoreOrder) -> bool:
        """Return whether a revision after `after` has no change here.

        It may have been replaced by a later change, or been left out.
        """
        told = {entry.revision for entry in self.entries}
        told.update(revision for _, revision in self.deleted)
        return sum(each > after for each in told) < self.revision - after


def told_changes(answer: Changes | Snapshot) -> Iterator[ToldChange]:
    """Yield the changes of an answer, each at the revision of its write."""
    for entry in answer.entries:
        yield ToldChange(entry.key, entry.revision, entry.value)
    if isinstance(answer, Changes):
        for key, revision in answer.deleted:
            yield ToldChange(key, revision, None)


class ChangeFeed(ABC):
    """Reads all entries of a store and waits for changes.

    Every method may raise StoreError.
    """

    @abstractmethod
    async def read_snapshot(self) -> Snapshot:
        """Return all entries, never in an older state than returned before."""

    @abstractmethod
    async def wait_for_changes(
        self, after: StoreOrder, wait_seconds: float
    ) -> Changes:
        """Wait for changes after the revision `after`.

        Returns empty Changes if there are none within `wait_seconds`. Raises
        HistoryGone if the store no longer has the changes.
        """

    async def tells_again(self, change: ToldChange) -> bool:
        """Return whether the store still tells a change at its revision.

        Raises HistoryGone if it no longer tells the changes of that time. A
        store that is never restored need not be asked.
        """
        await trio.lowlevel.checkpoint()
        return True

    def begin_era(self, revision: StoreOrder) -> bool:
        """Order what is read from now on after `revision`.

        The store was restored since, and does not say so. Returns whether it
        is possible; it is not for a store without eras.
        """
        return False

    def follow_era(self, revision: StoreOrder) -> bool:
        """Count the restores that others have inferred up to a revision.

        Returns whether they are more than were counted.
        """
        return False

    def on_ended(self, listener: Callable[[], None]) -> bool:
        """Call `listener` when connections are found ended by the store.

        Its process may have ended, while no call waited. Returns whether the
        store has connections.
        """
        return False

    def is_receiving(self, now: float) -> bool:
        """Return whether parts of an answer arrive, at the time `now`.

        A store whose answers come as a whole does not tell.
        """
        return False

    async def renew_connections(self) -> None:
        """Let the next call use a new connection: idle ones may be silent.

        A store without connections has nothing to do.
        """
        await trio.lowlevel.checkpoint()


class ChangeFeedStore(EntryStore, ChangeFeed):
    """A store that can be followed and whose entries can be written."""
