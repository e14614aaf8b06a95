"""An in-memory key-value store with the semantics of the platform's store.

Every method takes the current time in seconds as an argument.
"""

from dataclasses import dataclass

from peridotwell.errors import StoreConflict
from peridotwell.store.base import Entry

__all__ = ('MemoryStore',)


@dataclass
class _Lease:
    ttl_seconds: float
    expires_at: float


class MemoryStore:
    """Entries with revisions; the end of a lease deletes its entries."""

    def __init__(self) -> None:
        self.revision = 0
        self._entries: dict[str, Entry] = {}
        self._lease_by_key: dict[str, str] = {}
        self._leases: dict[str, _Lease] = {}
        self._granted_count = 0

    def read(self, key: str, now: float) -> Entry | None:
        """Return the entry at `key`, or None if there is none."""
        self._remove_expired(now)
        return self._entries.get(key)

    def read_prefix(
        self,
        prefix: str,
        now: float,
        after: int = 0,
    ) -> tuple[Entry, ...]:
        """Return the entries under `prefix` with a revision above `after`.

        They are sorted by key.
        """
        self._remove_expired(now)
        return tuple(
            self._entries[key]
            for key in sorted(self._entries)
            if key.startswith(prefix) and self._entries[key].revision > after
        )

    def write(
        self,
        entry: Entry,
        lease: str,
        now: float,
    ) -> int:
        """Write `entry` under `lease` and return its new revision.

        `entry.revision` is the revision that the key must have now; 0 means
        that the key must not exist. An empty `lease` writes an entry that does
        not expire. Raises StoreConflict if the revision differs or the lease
        has expired.
        """
        self._remove_expired(now)
        current = self._entries.get(entry.key)
        revision = current.revision if current else 0
        if revision != entry.revision:
            raise StoreConflict(f'{entry.key} has a different revision')
        if lease and lease not in self._leases:
            raise StoreConflict(f'lease {lease} has expired')
        self.revision += 1
        self._entries[entry.key] = Entry(
            entry.key,
            entry.value,
            self.revision,
        )
        self._lease_by_key[entry.key] = lease
        return self.revision

    def grant_lease(self, ttl_seconds: float, now: float) -> str:
        """Create a lease that expires `ttl_seconds` after `now`."""
        self._granted_count += 1
        lease = f'lease-{self._granted_count}'
        self._leases[lease] = _Lease(ttl_seconds, now + ttl_seconds)
        return lease

    def renew_lease(self, lease: str, now: float) -> None:
        """Renew a lease; raise StoreConflict if it has expired."""
        self._remove_expired(now)
        if lease not in self._leases:
            raise StoreConflict(f'lease {lease} has expired')
        self._leases[lease].expires_at = now + self._leases[lease].ttl_seconds

    def _remove_expired(self, now: float) -> None:
        expired = {
            name
            for name, lease in self._leases.items()
            if lease.expires_at <= now
        }
        if not expired:
            return
        keys_to_delete = tuple(
            key for key, lease in self._lease_by_key.items() if lease in expired
        )
        for key in keys_to_delete:
            self._lease_by_key.pop(key)
            self._entries.pop(key)
        for name in expired:
            self._leases.pop(name)
