"""The platform's key-value service as the fleet sees it.

Concrete flavours: `HttpStore` speaks the service's HTTP interface
(docs/interfaces.md); tests use an in-memory one.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

__all__ = ('Entry', 'StoreCounters', 'EntryStore', 'KeyValueStore')


@dataclass(frozen=True)
class Entry:
    """One stored value; `revision` grows with every write to the store."""

    key: str
    value: bytes
    revision: int


@dataclass
class StoreCounters:
    """Calls made to the service and bytes of values moved."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    errors: int = 0
    value_bytes: int = 0


class EntryStore(ABC):
    """Single entries with compare-and-swap, and leases.

    Every method may raise StoreUnavailable (not applied) or StoreResponseLost
    (applied or not).
    """

    @abstractmethod
    async def read(self, key: str) -> Entry | None:
        """Return the entry at `key`, or None when it is absent."""

    @abstractmethod
    async def write(
        self,
        key: str,
        value: bytes,
        *,
        expected: int,
        lease: str = '',
    ) -> int:
        """Write if the entry's revision is `expected` (0: absent).

        Returns the new revision. Raises StoreConflict when it differs.
        """

    @abstractmethod
    async def grant_lease(self, ttl_seconds: float) -> str:
        """Create a lease; entries written under it vanish when it lapses."""

    @abstractmethod
    async def renew_lease(self, lease: str) -> None:
        """Renew a lease. Raises StoreConflict when it has lapsed."""


class KeyValueStore(EntryStore):
    """A store whose entries can also be listed and watched by prefix."""

    @abstractmethod
    async def read_prefix(self, prefix: str) -> tuple[Entry, ...]:
        """Return the entries whose keys start with `prefix`, in key order."""

    @abstractmethod
    async def watch(
        self,
        prefix: str,
        after: int,
        wait_seconds: float,
    ) -> tuple[Entry, ...]:
        """Return entries under `prefix` newer than `after`, or () in time."""
