"""Follows the store's change feed through outages and lost history."""

from collections.abc import Awaitable, Callable
from functools import partial

import trio

from peridotwell.errors import StoreError, StoreResponseLost
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.logs import log_event
from peridotwell.metrics import Metrics
from peridotwell.store.change_feed import (
    ChangeFeed,
    Changes,
    HistoryGone,
    Snapshot,
)
from peridotwell.store.overlapping_calls import first_outcome
from peridotwell.store.revisions import is_of_later_era

__all__ = ('StoreFollower',)

# A watch that gets no answer is detected after this time and the margin of the
# client; other routers usually report changes earlier.
WATCH_TIMEOUT_SECONDS = 2.0
# After a failure, calls are short until one succeeds, and another one follows
# while they wait: one that was sent while the store was away may get no answer
# after its return either.
PROBE_TIMEOUT_SECONDS = 0.2
PROBE_INTERVAL_SECONDS = 0.6
INITIAL_BACKOFF_SECONDS = 0.1
# The lease is renewed more often, so a store that answers was heard since.
RECENT_SECONDS = 1.5
# From call to call, for calls that fail sooner.
MAX_BACKOFF_SECONDS = 0.4
BATCH_SECONDS_PER_ROUTER = 0.005
MAX_BATCH_SECONDS = 0.4


class StoreFollower:
    """Keeps a directory up to date with one long-polling call at a time."""

    def __init__(
        self,
        feed: ChangeFeed,
        directory: ServiceDirectory,
        metrics: Metrics,
        must_follow_store: Callable[[float], bool],
        wait_until_needed: Callable[[], Awaitable[None]],
    ) -> None:
        """Make a follower that is idle while `must_follow_store` is False.

        `wait_until_needed` returns soon after it has become True.
        """
        self.is_connected = False
        self._must_follow_store = must_follow_store
        self._wait_until_needed = wait_until_needed
        self._feed = feed
        self._directory = directory
        self._metrics = metrics
        self._needs_snapshot = True
        self._backoff_seconds = INITIAL_BACKOFF_SECONDS
        # Of the watch that waits for changes.
        self._watch = trio.CancelScope()

    def restart_watch(self) -> None:
        """Ask again: the connection of the watch may have gone silent."""
        self._watch.cancel()

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            started_at = trio.current_time()
            try:
                await self._step()
            except HistoryGone as exc:
                self._needs_snapshot = True
                log_event('store.history_gone', error=str(exc))
            except StoreError as exc:
                self._record_failure(exc)
                self._needs_snapshot = self._needs_snapshot or self._is_mute(
                    started_at, trio.current_time()
                )
                await trio.sleep_until(
                    max(
                        started_at + self._backoff_seconds,
                        trio.current_time() + INITIAL_BACKOFF_SECONDS,
                    )
                )
                self._backoff_seconds = min(
                    self._backoff_seconds * 2,
                    MAX_BACKOFF_SECONDS,
                )

    async def _step(self) -> None:
        now = trio.current_time()
        if self._directory.is_loaded and not self._must_follow_store(now):
            # The changes missed meanwhile are read with a snapshot.
            self._needs_snapshot = True
            await self._wait_until_needed()
            return
        if self._needs_snapshot:
            snapshot = await self._read_snapshot(now)
            self._record_success()
            self._count_restore(snapshot)
            answered_at = trio.current_time()
            self._directory.apply_snapshot(snapshot, answered_at)
            self._directory.freshness.record_answer(now, answered_at)
            self._needs_snapshot = False
            # A snapshot takes long to transfer on a slow link.
            await trio.sleep(2 * self._batch_seconds())
            return
        changes = await self._wait_for_changes(now)
        self._record_success()
        answered_at = trio.current_time()
        self._directory.apply_changes(changes, answered_at)
        self._directory.freshness.record_answer(now, answered_at)
        if changes.entries or changes.deleted:
            await trio.sleep(self._batch_seconds())

    def _is_mute(self, started_at: float, now: float) -> bool:
        """Whether a watch got no answer from a store that answered others.

        Entries may have changed meanwhile.
        """
        is_overdue = now - started_at > WATCH_TIMEOUT_SECONDS
        contact = self._directory.store_contact
        return is_overdue and contact.has_heard_since(now - RECENT_SECONDS)

    def _count_restore(self, snapshot: Snapshot) -> None:
        if self._directory.is_loaded and is_of_later_era(
            snapshot.revision, self._directory.known_revision
        ):
            self._metrics.count('store.restores')

    async def _read_snapshot(self, now: float) -> Snapshot:
        self._directory.snapshot_requested_at = now
        try:
            return await self._feed.read_snapshot()
        finally:
            self._directory.snapshot_requested_at = None

    async def _wait_for_changes(self, now: float) -> Changes:
        revision = self._directory.feed_revision
        try:
            if not self.is_connected:
                return await first_outcome(
                    partial(
                        self._feed.wait_for_changes,
                        revision,
                        PROBE_TIMEOUT_SECONDS,
                    ),
                    PROBE_INTERVAL_SECONDS,
                )
            self._directory.watched_since = now
            self._watch = trio.CancelScope()
            with self._watch:
                return await self._feed.wait_for_changes(
                    revision, WATCH_TIMEOUT_SECONDS
                )
            raise StoreResponseLost('the watch is given up: it may be silent')
        except StoreError:
            self._directory.freshness.record_failure(now, trio.current_time())
            raise
        finally:
            self._directory.watched_since = None

    def _batch_seconds(self) -> float:
        """Return the delay before the next call, to receive changes in batches.

        It grows with the fleet, because each router that starts is a change
        that all routers receive.
        """
        routers = len(self._directory.routers())
        return min(routers * BATCH_SECONDS_PER_ROUTER, MAX_BATCH_SECONDS)

    def _record_failure(self, exc: StoreError) -> None:
        self._metrics.count('store.errors')
        self._directory.store_contact.record_failure()
        if self.is_connected:
            log_event('store.lost', code=exc.code, error=str(exc))
        self.is_connected = False

    def _record_success(self) -> None:
        self._backoff_seconds = INITIAL_BACKOFF_SECONDS
        if self.is_connected:
            return
        self.is_connected = True
        log_event('store.regained', revision=self._directory.feed_revision)
