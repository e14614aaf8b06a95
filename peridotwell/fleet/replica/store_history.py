"""What the store has told at each revision, to compare with what it tells now.

A store that comes back from an older copy gives revisions out again, and may
not say so. What it then tells at a revision is not what it told there before.
A store that only lags behind tells the same again.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

import trio

from peridotwell.domain.store_order import StoreOrder
from peridotwell.fleet.transport.frames import SharedEntry
from peridotwell.store.change_feed import ToldChange

__all__ = ('Contradiction', 'Repetition', 'StoreHistory')

# About two and a half megabytes.
MAX_REVISIONS = 16_384


class Repetition(Enum):
    """How an answer compares with what was told at its revisions before."""

    same = 'same'
    other = 'other'
    unknown = 'unknown'


@dataclass(frozen=True)
class Contradiction:
    """A change that is told, and cannot be, after what was told before."""

    key: str
    revision: StoreOrder
    # That of the key as it is known; equal if its content differs.
    known_revision: StoreOrder


class StoreHistory:
    """Digests of the changes that the store has told, by revision.

    `latest` is the one at the highest revision, None before the first.
    """

    def __init__(self) -> None:
        self.latest: ToldChange | None = None
        # Set, and replaced, when there is a later one.
        self._news = trio.Event()
        self._digests: dict[StoreOrder, int] = {}
        # The keys of changes that only peers have told.
        self._peer_keys: dict[StoreOrder, str] = {}

    def record(self, changes: Iterable[ToldChange]) -> None:
        """Record changes at the revisions of the store's writes."""
        for each in sorted(changes, key=_revision):
            if self._peer_keys.pop(each.revision, None) is not None:
                self._digests.pop(each.revision)
            self._record(each)

    async def wait_for_later(self, change: ToldChange | None) -> None:
        """Wait until the latest change is another one."""
        while self.latest == change:
            await self._news.wait()

    def record_shared(self, entry: SharedEntry) -> None:
        """Record an entry that a peer has told.

        The revision of a deletion may be that of the peer's snapshot. What the
        store itself tells there is believed rather: a peer may read the value
        otherwise, such as the address of a target.
        """
        if entry.value is None or entry.revision in self._digests:
            return
        self._peer_keys[entry.revision] = entry.key
        self._record(ToldChange(entry.key, entry.revision, entry.value))

    def contradiction(
        self, changes: Iterable[ToldChange]
    ) -> Contradiction | None:
        """Return the first change that differs from what was told before."""
        for each in changes:
            known = self._digests.get(each.revision, _digest(each))
            is_of_key = self._peer_keys.get(each.revision) == each.key
            if known != _digest(each) and not is_of_key:
                return Contradiction(each.key, each.revision, each.revision)
        return None

    def compare(self, changes: Iterable[ToldChange]) -> Repetition:
        """Compare changes with what was told at their revisions before.

        They are the same if the latest is: then so is all before it.
        """
        told = sorted(changes, key=_revision)
        if self.contradiction(told) is not None:
            return Repetition.other
        if told and self._digests.get(told[-1].revision) == _digest(told[-1]):
            return Repetition.same
        return Repetition.unknown

    def _record(self, change: ToldChange) -> None:
        self._digests.setdefault(change.revision, _digest(change))
        if self.latest is None or change.revision >= self.latest.revision:
            self.latest = change
            self._announce()
        while len(self._digests) > MAX_REVISIONS:
            revision = next(iter(self._digests))
            self._digests.pop(revision)
            self._peer_keys.pop(revision, None)

    def _announce(self) -> None:
        self._news.set()
        self._news = trio.Event()


def _revision(change: ToldChange) -> StoreOrder:
    return change.revision


def _digest(change: ToldChange) -> int:
    return hash((change.key, change.value))
