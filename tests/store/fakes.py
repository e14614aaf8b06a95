"""An in-memory store whose calls fail according to a script."""

from enum import Enum

from peridotwell.errors import StoreResponseLost, StoreUnavailable
from peridotwell.store.base import Entry, KeyValueStore
from standins.memory_store import MemoryStore


class Fault(Enum):
    none = 'none'
    down = 'down'
    lost_before = 'lost before it took effect'
    lost_after = 'lost after it took effect'
    stale = 'a stale response'


class FaultyStore(KeyValueStore):
    """Takes the fault of each call from `script`; later calls succeed."""

    def __init__(self, memory: MemoryStore, script: list[Fault] | None = None):
        self.memory = memory
        self.script = script or []
        self.calls = 0
        self.now = 0.0
        self.snapshot: dict[str, Entry] = {}

    def take_snapshot(self) -> None:
        entries = self.memory.read_prefix('', self.now)
        self.snapshot = {entry.key: entry for entry in entries}

    def _next_fault(self) -> Fault:
        self.calls += 1
        fault = self.script.pop(0) if self.script else Fault.none
        if fault is Fault.down:
            raise StoreUnavailable('down')
        if fault is Fault.lost_before:
            raise StoreResponseLost('lost')
        return fault

    def _respond(self, fault: Fault, result):
        if fault is Fault.lost_after:
            raise StoreResponseLost('lost')
        return result

    async def read(self, key):
        fault = self._next_fault()
        if fault is Fault.stale:
            return self.snapshot.get(key)
        return self._respond(fault, self.memory.read(key, self.now))

    async def read_prefix(self, prefix):
        fault = self._next_fault()
        return self._respond(fault, self.memory.read_prefix(prefix, self.now))

    async def write(self, key, value, *, expected, lease=''):
        fault = self._next_fault()
        entry = Entry(key, value, expected)
        return self._respond(fault, self.memory.write(entry, lease, self.now))

    async def watch(self, prefix, after, wait_seconds):
        fault = self._next_fault()
        entries = self.memory.read_prefix(prefix, self.now, after)
        return self._respond(fault, entries)

    async def grant_lease(self, ttl_seconds):
        fault = self._next_fault()
        return self._respond(
            fault, self.memory.grant_lease(ttl_seconds, self.now)
        )

    async def renew_lease(self, lease):
        self._respond(
            self._next_fault(), self.memory.renew_lease(lease, self.now)
        )
