"""Follows the store's change feed through outages and lost history."""

import math
from collections.abc import Awaitable, Callable
from functools import partial

import trio

from peridotwell.errors import StoreError, StoreResponseLost
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.fleet.replica.store_belief import EvidenceSource
from peridotwell.fleet.replica.store_reader import StoreReader
from peridotwell.logs import log_event
from peridotwell.metrics import Metrics
from peridotwell.store.change_feed import (
    Changes,
    HistoryGone,
    ToldChange,
    told_changes,
)
from peridotwell.store.overlapping_calls import first_outcome
from peridotwell.store.revisions import StoreOrder, order_before

__all__ = ('StoreFollower',)

# A watch is answered after this time at the latest, and is overdue somewhat
# later. So an answer comes well before the belief is too old.
WATCH_SECONDS = 0.7
OVERDUE_SECONDS = 0.25
# The same for a router on which others rely: what they believe is older by the
# time that its batches take.
RELAY_WATCH_SECONDS = 0.45
# After a failure, calls are short until one succeeds, and another one follows
# while they wait: one that was sent while the store was away may get no answer
# after its return either.
PROBE_TIMEOUT_SECONDS = 0.2
PROBE_INTERVAL_SECONDS = 0.6
INITIAL_BACKOFF_SECONDS = 0.1
# From call to call, for calls that fail sooner.
MAX_BACKOFF_SECONDS = 0.4
BATCH_SECONDS_PER_ROUTER = 0.005
MAX_BATCH_SECONDS = 0.4


def _is_never_relied_on(now: float) -> bool:
    return False


class StoreFollower:
    """Keeps a directory up to date with one long-polling call at a time."""

    def __init__(
        self,
        reader: StoreReader,
        directory: ServiceDirectory,
        metrics: Metrics,
        must_follow_store: Callable[[float], bool],
        wait_until_needed: Callable[[], Awaitable[None]],
        is_relied_on: Callable[[float], bool] = _is_never_relied_on,
    ) -> None:
        """Make a follower that is idle while `must_follow_store` is False.

        `wait_until_needed` returns soon after it has become True.
        `is_relied_on` tells whether other routers learn of the store from this
        one.
        """
        self.is_connected = False
        self._must_follow_store = must_follow_store
        self._is_relied_on = is_relied_on
        self._wait_until_needed = wait_until_needed
        self._reader = reader
        self._directory = directory
        self._metrics = metrics
        self._needs_snapshot = True
        # The relay has told the changes until now.
        self._is_resuming = False
        self._backoff_seconds = INITIAL_BACKOFF_SECONDS
        # The latest change when the store was lost. Until it is told again,
        # the changes before it may be others.
        self._lost_after: ToldChange | None = None
        # Of the watch that waits for changes, and when it was sent.
        self._watch = trio.CancelScope()
        self._watched_since = math.inf

    def restart_watch(self) -> None:
        """Ask again: the connection of the watch may have gone silent."""
        self._watch.cancel()

    def read_anew(self) -> None:
        """Read all entries next: changes may not have been told."""
        self._needs_snapshot = True
        self._watch.cancel()

    def restart_overdue_watch(self, asked_at: float) -> None:
        """Ask again if the store has answered a later call before the watch.

        That call was sent at `asked_at`, when the watch was overdue. The watch
        goes on if its answer may be what arrives now.
        """
        if self._reader.is_receiving(trio.current_time()):
            return
        if asked_at - self._watched_since > WATCH_SECONDS + OVERDUE_SECONDS:
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
            self._is_resuming = True
            await self._wait_until_needed()
            return
        if self._is_resuming:
            self._resume()
        if self._needs_snapshot and self._reader.agreed_revision is None:
            await self._reader.read_snapshot()
            self._lost_after = None
            self._record_success()
            self._needs_snapshot = False
            # A snapshot takes long to transfer on a slow link.
            await trio.sleep(2 * self._batch_seconds())
            return
        changes = await self._wait_for_changes(now)
        self._record_success()
        if changes.entries or changes.deleted:
            await trio.sleep(self._batch_seconds())

    def _resume(self) -> None:
        """Continue with the changes after those that the relay has told.

        The relay does not know what the store has left out of its answers, so
        the table is checked as after a gap. Without a snapshot since the
        history was gone, what the relay has built on may lack changes.
        """
        self._is_resuming = False
        if not self._needs_snapshot:
            directory = self._directory
            directory.feed_revision = max(
                directory.feed_revision, directory.known_revision
            )
            self._reader.check_table()

    async def _wait_for_changes(self, now: float) -> Changes:
        if not self.is_connected:
            return await self._resume_changes()
        self._watched_since = now
        self._watch = trio.CancelScope()
        try:
            with self._watch:
                return await self._read_changes(self._watch_seconds(now))
        finally:
            self._watched_since = math.inf
        raise StoreResponseLost('the watch is given up: it may be silent')

    async def _resume_changes(self) -> Changes:
        """Read the changes from the one on that was the latest before.

        All entries are read if it is not told again: the store may have been
        restored, and have passed its revision since.
        """
        changes: Changes = await first_outcome(
            partial(self._read_changes, PROBE_TIMEOUT_SECONDS),
            PROBE_INTERVAL_SECONDS,
            is_receiving=self._reader.is_receiving,
        )
        lost = self._lost_after
        self._lost_after = None
        if lost is not None and lost not in told_changes(changes):
            self._needs_snapshot = True
        return changes

    async def _read_changes(self, wait_seconds: float) -> Changes:
        return await self._reader.read_changes(
            self._position(), wait_seconds, EvidenceSource.watch
        )

    def _position(self) -> StoreOrder:
        """Return the revision after which changes are asked for."""
        agreed = self._reader.agreed_revision
        if agreed is not None:
            return agreed
        followed = self._directory.feed_revision
        lost = self._lost_after
        if self.is_connected or lost is None:
            return followed
        return min(followed, order_before(lost.revision))

    def _watch_seconds(self, now: float) -> float:
        return RELAY_WATCH_SECONDS if self._is_relied_on(now) else WATCH_SECONDS

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
            self._lost_after = self._directory.replica.history.latest
        self.is_connected = False

    def _record_success(self) -> None:
        self._backoff_seconds = INITIAL_BACKOFF_SECONDS
        if self.is_connected:
            return
        self.is_connected = True
        log_event('store.regained', revision=self._directory.feed_revision)
