"""A trial of grouped claims: many records in one value, one write a group.

Not part of the product: it shows what grouping would bring, with routers that
write the same shards and with shards of their own.
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
    waiting: list[tuple[str, trio.Event]] = field(default_factory=list)
    arrived: trio.Event = field(default_factory=trio.Event)


class GroupedClaimWriter:
    """Collects the records of a shard while its last write is under way."""

    def __init__(self, store: HttpStore, shards: list[str]) -> None:
        self.conflicts = 0
        self._store = store
        self._shards = [_Shard(f'grouped/{name}') for name in shards]

    def start(self, nursery: trio.Nursery) -> None:
        """Start one writer for each shard."""
        for shard in self._shards:
            nursery.start_soon(self._write_groups, shard)

    async def record(self, key: str) -> None:
        """Return when the record of a key is written."""
        shard = self._shards[hash(key) % len(self._shards)]
        written = trio.Event()
        shard.waiting.append((key, written))
        shard.arrived.set()
        await written.wait()

    async def _write_groups(self, shard: _Shard) -> None:
        while True:
            await shard.arrived.wait()
            shard.arrived = trio.Event()
            group = shard.waiting
            shard.waiting = []
            await self._write(shard, [key for key, _ in group])
            for _, written in group:
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
