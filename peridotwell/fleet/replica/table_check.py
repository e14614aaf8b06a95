"""Reads the routing table's own entry: before refusals, and after gaps.

Changes may leave a version out, and then no later answer tells it. A read of
the entry itself shows it however it was missed. It transfers the entry only if
its revision has changed, where the store can compare revisions, and otherwise
as many bytes as the configuration has. All requests share one read, and its
rate is limited.
"""

import math

import trio

from peridotwell.errors import StoreError
from peridotwell.fleet.replica.entry_source import EntrySource
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.fleet.transport.frames import SharedEntry
from peridotwell.logs import log_event, log_failure
from peridotwell.metrics import Metrics
from peridotwell.store.base import Entry, EntryStore

__all__ = ('TableCheck', 'read_interval_seconds')

# A read that was sent at most this long ago confirms a refusal, in a small
# fleet and for a small configuration.
MIN_INTERVAL_SECONDS = 1.0
# The reads of all routers: a seventh of the store's limit.
READS_PER_SECOND = 300
# A large configuration takes much of a slow link. The interval that follows
# from its size still leaves a change in force in time.
BYTES_PER_SECOND = 150_000
MAX_SIZE_INTERVAL_SECONDS = 1.6
# Longest time that a request waits for a read, and that a read may last.
CONFIRM_SECONDS = 0.3
READ_SECONDS = 1.0


def read_interval_seconds(routers: int, table_bytes: int) -> float:
    """Return the shortest time between two reads of one router.

    `table_bytes` is what a read transfers if nothing has changed.
    """
    return max(
        MIN_INTERVAL_SECONDS,
        routers / READS_PER_SECOND,
        min(table_bytes / BYTES_PER_SECOND, MAX_SIZE_INTERVAL_SECONDS),
    )


class TableCheck:
    """Reads the entry of the routing table whenever that is requested.

    `run` makes the calls; without it nothing is confirmed.
    """

    def __init__(
        self, store: EntryStore, directory: ServiceDirectory, metrics: Metrics
    ) -> None:
        self._store = store
        self._directory = directory
        self._metrics = metrics
        # When the last read was sent, and the last one that was answered.
        self._asked_at = -math.inf
        self._confirmed_at = -math.inf
        self._is_started = False
        self._is_due = trio.Event()
        # Set, and replaced, when a read has ended.
        self._ended = trio.Event()
        self._is_reading = False
        # The latest entry, if a read of all of it has shown it again.
        self._confirmed_entry: Entry | None = None

    async def run(self) -> None:
        """Read whenever it is requested, until cancelled."""
        self._is_started = True
        try:
            while True:
                await self._is_due.wait()
                await trio.sleep_until(self._asked_at + self._interval())
                self._is_due = trio.Event()
                await self._read()
        finally:
            self._is_started = False

    async def confirm(self, now: float) -> None:
        """Wait for a read of the table that is recent enough at `now`.

        Returns without one if it has failed lately, or takes too long. While
        the belief is too old, no refusal is decided by it.
        """
        is_decided = self._directory.belief.is_current(now)
        if not (self._is_started and is_decided):
            return
        interval = self._interval()
        if now - self._confirmed_at <= interval:
            return
        is_allowed = now - self._asked_at > interval
        if is_allowed:
            self._is_due.set()
        if is_allowed or self._is_reading:
            with trio.move_on_after(CONFIRM_SECONDS):
                await self._ended.wait()

    def request(self) -> None:
        """Have the table read by a call that is sent from now on.

        It is sent as soon as the interval allows.
        """
        if self._directory.table_key:
            self._is_due.set()

    async def _read(self) -> None:
        asked_at = trio.current_time()
        self._asked_at = asked_at
        self._is_reading = True
        self._metrics.count('table.reads')
        try:
            with trio.move_on_after(READ_SECONDS):
                entry = await self._read_entry()
                self._confirmed_at = asked_at
                if entry is not None:
                    self._apply(entry, trio.current_time())
        except StoreError as exc:
            log_event('table.not_read', error=str(exc))
        finally:
            self._end()

    async def _read_entry(self) -> Entry | None:
        known = self._comparable_entry()
        if known is not None:
            return await self._store.read_if_changed(known)
        entry = await self._store.read(self._directory.table_key)
        if entry is not None and entry == self._latest_entry():
            self._confirmed_entry = entry
        return entry

    def _comparable_entry(self) -> Entry | None:
        """Return the latest entry if its revision is enough to check it.

        An entry that is not in force may have been damaged on its way, unless
        a read has shown the same.
        """
        latest = self._latest_entry()
        table = self._directory.table
        is_in_force = (
            table is not None
            and latest is not None
            and table.revision == latest.revision
        )
        is_comparable = is_in_force or latest == self._confirmed_entry
        return latest if is_comparable else None

    def _latest_entry(self) -> Entry | None:
        return self._directory.replica.entry(self._directory.table_key)

    def _end(self) -> None:
        self._is_reading = False
        self._ended.set()
        self._ended = trio.Event()

    def _apply(self, entry: Entry, now: float) -> None:
        directory = self._directory
        directory.belief.record_read(entry.revision)
        if not directory.replica.is_news(entry):
            return
        in_force = directory.table.version if directory.table else 0
        directory.apply_peer_changes(
            (SharedEntry(entry.key, entry.revision, entry.value),),
            directory.known_revision,
            now,
            EntrySource.store_read,
        )
        table = directory.table
        is_taken = table is not None and table.revision == entry.revision
        is_passed = entry.revision <= directory.known_revision
        if is_passed:
            self._metrics.count('table.not_told')
        log = log_failure if is_passed else log_event
        log(
            'table.not_told' if is_passed else 'table.read_first',
            version=table.version if table is not None and is_taken else None,
            in_force=in_force,
            revision=entry.revision,
            known=directory.known_revision,
            age=directory.belief.logged_age(now),
            source=directory.belief.logged_source(),
        )

    def _interval(self) -> float:
        """Return the shortest time between two reads in seconds."""
        table = self._latest_entry()
        is_compared = (
            self._store.compares_revisions
            and self._comparable_entry() is not None
        )
        return read_interval_seconds(
            len(self._directory.routers()),
            len(table.value) if table and not is_compared else 0,
        )
