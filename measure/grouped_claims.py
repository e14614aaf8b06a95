"""A trial of grouped claims, which writes many records with one store call.

Routers do not use it. It measures what grouping would gain, both for routers
that write to the same shards and for routers with shards of their own.
"""

from dataclasses import dataclass, field

import msgspec
import trio

from peridotwell.errors import StoreConflict
from peridotwell.store.http_store import HttpStore

__all__ = ('GroupedClaimWriter',)

RECORD_BYTES = 250


@dataclass
class _Shard:
    key: str
    revision: int = 0
    records: dict[str, str] = field(default_factory=dict)
    pending: list[tuple[str, trio.Event]] = field(default_factory=list)
    record_added: trio.Event = field(default_factory=trio.Event)


class GroupedClaimWriter:
    """Writes records in batches, one value of the store for each shard.

    The records that arrive during a write form the next batch. `conflicts`
    counts the writes that another router's write had overtaken.
    """

    def __init__(self, store: HttpStore, shards: list[str]) -> None:
        self.conflicts = 0
        self._store = store
        self._shards = [_Shard(f'grouped/{name}') for name in shards]

    def start(self, nursery: trio.Nursery) -> None:
        """Start one writer task for each shard."""
        for shard in self._shards:
            nursery.start_soon(self._write_batches, shard)

    async def record(self, key: str) -> None:
        """Record a key and wait until its record is written."""
        shard = self._shards[hash(key) % len(self._shards)]
        written = trio.Event()
        shard.pending.append((key, written))
        shard.record_added.set()
        await written.wait()

    async def _write_batches(self, shard: _Shard) -> None:
        while True:
            await shard.record_added.wait()
            shard.record_added = trio.Event()
            batch = shard.pending
            shard.pending = []
            await self._write(shard, [key for key, _ in batch])
            for _, written in batch:
                written.set()

    async def _write(self, shard: _Shard, keys: list[str]) -> None:
        while True:
            shard.records.update(dict.fromkeys(keys, 'x' * RECORD_BYTES))
            try:
                shard.revision = await self._store.write(
                    shard.key,
                    msgspec.json.encode(shard.records),
                    expected=shard.revision,
                )
            except StoreConflict:
                self.conflicts += 1
                entry = await self._store.read(shard.key)
                if entry is not None:
                    shard.revision = entry.revision
                    shard.records = msgspec.json.decode(entry.value)
                continue
            return
