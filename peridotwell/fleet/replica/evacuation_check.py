"""Reads the evacuations' own entries after a gap in the store's changes.

Changes may leave an entry out, and then no later answer tells it. An absent
entry shows nothing, since a late answer may be older than the entry.
"""

import math
from collections.abc import Callable

import trio

from peridotwell.errors import StoreError
from peridotwell.fleet.replica.entry_source import EntrySource
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.fleet.transport.frames import SharedEntry
from peridotwell.logs import log_event
from peridotwell.metrics import Metrics
from peridotwell.store.base import EntryStore

__all__ = ('EvacuationCheck',)

MIN_INTERVAL_SECONDS = 1.0
# The reads of all routers: a seventh of the store's limit.
READS_PER_SECOND = 300
# Longest time that one read may last.
READ_SECONDS = 1.0


class EvacuationCheck:
    """Reads the entry of each known data centre whenever that is requested.

    `key_of` returns the key that evacuates a data centre.
    """

    def __init__(
        self,
        store: EntryStore,
        directory: ServiceDirectory,
        metrics: Metrics,
        key_of: Callable[[str], str],
    ) -> None:
        self._store = store
        self._directory = directory
        self._metrics = metrics
        self._key_of = key_of
        self._asked_at = -math.inf
        self._is_due = trio.Event()

    async def run(self) -> None:
        """Read whenever it is requested, until cancelled."""
        while True:
            await self._is_due.wait()
            evacuations = self._directory.evacuations
            names = evacuations.known - evacuations.data_centres
            await trio.sleep_until(self._asked_at + self._interval(len(names)))
            self._is_due = trio.Event()
            self._asked_at = trio.current_time()
            for name in sorted(names):
                await self._read(self._key_of(name))

    def request(self) -> None:
        """Have the entries read by calls that are sent from now on."""
        self._is_due.set()

    async def _read(self, key: str) -> None:
        self._metrics.count('evacuation.reads')
        entry = None
        try:
            with trio.move_on_after(READ_SECONDS):
                entry = await self._store.read(key)
        except StoreError as exc:
            log_event('evacuation.not_read', entry=key, error=str(exc))
        if entry is not None:
            self._directory.apply_peer_changes(
                (SharedEntry(entry.key, entry.revision, entry.value),),
                self._directory.known_revision,
                trio.current_time(),
                EntrySource.store_read,
            )

    def _interval(self, reads: int) -> float:
        """Return the shortest time between two series of reads in seconds."""
        routers = len(self._directory.routers())
        return max(MIN_INTERVAL_SECONDS, routers * reads / READS_PER_SECOND)
