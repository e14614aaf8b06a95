"""Interfaces of the platform's key-value service.

`HttpStore` implements them over the service's HTTP interface
(docs/interfaces.md); tests use an in-memory implementation.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from peridotwell.domain.store_order import StoreOrder

__all__ = ('Entry', 'StoreCounters', 'EntryStore', 'KeyValueStore')


@dataclass(frozen=True)
class Entry:
    """One stored value; each write to the store increases `revision`."""

    key: str
    value: bytes
    revision: StoreOrder


@dataclass
class StoreCounters:
    """Counts of calls to the service and of value bytes transferred."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    errors: int = 0
    value_bytes: int = 0


class EntryStore(ABC):
    """Reads and writes single entries, with compare-and-swap and leases.

    Every method may raise StoreUnavailable (the call had no effect) or
    StoreResponseLost (it is unknown whether the call had an effect).
    """

    @abstractmethod
    async def read(self, key: str) -> Entry | None:
        """Return the entry at `key`, or None if there is none."""

    @property
    def compares_revisions(self) -> bool:
        """Whether `read_if_changed` transfers an entry only if it changed."""
        return False

    async def read_if_changed(self, known: Entry) -> Entry | None:
        """Return the entry at the key of `known`, or None if there is none.

        The result is `known` if the store still has it at its revision. A
        store that cannot compare revisions reads the entry.
        """
        return await self.read(known.key)

    @abstractmethod
    async def write(
        self,
        key: str,
        value: bytes,
        *,
        expected: StoreOrder,
        lease: str = '',
    ) -> StoreOrder:
        """Write `value` if the entry's revision is `expected` (0: no entry).

        An entry with a `lease` is deleted when the lease expires. Returns the
        new revision. Raises StoreConflict if the revision differs.
        """

    @abstractmethod
    async def grant_lease(self, ttl_seconds: float) -> str:
        """Create a lease and return its id.

        Entries written with the lease are deleted when it expires.
        """

    @abstractmethod
    async def renew_lease(self, lease: str) -> None:
        """Renew a lease. Raises StoreConflict if it has expired."""


class KeyValueStore(EntryStore):
    """A store whose entries can also be listed and watched by prefix."""

    @abstractmethod
    async def read_prefix(self, prefix: str) -> tuple[Entry, ...]:
        """Return the entries whose keys start with `prefix`, in key order."""

    @abstractmethod
    async def watch(
        self,
        prefix: str,
        after: StoreOrder,
        wait_seconds: float,
    ) -> tuple[Entry, ...]:
        """Wait for entries under `prefix` that are newer than `after`.

        `after` is a revision. Returns () if there are none within
        `wait_seconds`.
        """
