"""The platform's key-value service in memory, with the time as argument."""

from dataclasses import dataclass

from peridotwell.errors import StoreConflict
from peridotwell.store.base import Entry

__all__ = ('MemoryStore',)


@dataclass
class _Lease:
    ttl_seconds: float
    lapses_at: float


class MemoryStore:
    """Entries with revisions, and leases that take their entries along."""

    def __init__(self) -> None:
        self.revision = 0
        self._entries: dict[str, Entry] = {}
        self._lease_of: dict[str, str] = {}
        self._leases: dict[str, _Lease] = {}
        self._granted = 0

    def read(self, key: str, now: float) -> Entry | None:
        """Return the entry at `key`."""
        self._expire(now)
        return self._entries.get(key)

    def read_prefix(
        self,
        prefix: str,
        now: float,
        after: int = 0,
    ) -> tuple[Entry, ...]:
        """Return entries under `prefix` newer than revision `after`."""
        self._expire(now)
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
        """Write if the present revision is `entry.revision` (0: absent)."""
        self._expire(now)
        present = self._entries.get(entry.key)
        revision = present.revision if present else 0
        if revision != entry.revision:
            raise StoreConflict(f'{entry.key} has another revision')
        if lease and lease not in self._leases:
            raise StoreConflict(f'lease {lease} has lapsed')
        self.revision += 1
        self._entries[entry.key] = Entry(
            entry.key,
            entry.value,
            self.revision,
        )
        self._lease_of[entry.key] = lease
        return self.revision

    def grant_lease(self, ttl_seconds: float, now: float) -> str:
        """Create a lease that lapses `ttl_seconds` after `now`."""
        self._granted += 1
        lease = f'lease-{self._granted}'
        self._leases[lease] = _Lease(ttl_seconds, now + ttl_seconds)
        return lease

    def keep_lease(self, lease: str, now: float) -> None:
        """Renew a lease."""
        self._expire(now)
        if lease not in self._leases:
            raise StoreConflict(f'lease {lease} has lapsed')
        self._leases[lease].lapses_at = now + self._leases[lease].ttl_seconds

    def _expire(self, now: float) -> None:
        lapsed = {
            name
            for name, lease in self._leases.items()
            if lease.lapses_at <= now
        }
        if not lapsed:
            return
        held = tuple(
            key for key, lease in self._lease_of.items() if lease in lapsed
        )
        for key in held:
            self._lease_of.pop(key)
            self._entries.pop(key)
        for name in lapsed:
            self._leases.pop(name)
