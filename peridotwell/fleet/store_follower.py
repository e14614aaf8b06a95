"""Follows the store's feed, through outages and lost history."""

from collections.abc import Callable

import trio

from peridotwell.errors import StoreError
from peridotwell.fleet.deferred_removals import REREGISTRATION_SECONDS
from peridotwell.fleet.service_directory import ServiceDirectory
from peridotwell.logs import log_event
from peridotwell.metrics import Metrics
from peridotwell.store.change_feed import ChangeFeed, HistoryGone

__all__ = ('StoreFollower',)

# A silent watch is noticed after this time and the client's margin; other
# routers tell sooner that there is news.
WATCH_SECONDS = 2.0
FIRST_PAUSE_SECONDS = 0.1
LONGEST_PAUSE_SECONDS = 0.8
REST_SECONDS = 0.1
BATCH_SECONDS_A_ROUTER = 0.005
LONGEST_BATCH_SECONDS = 0.4


class StoreFollower:
    """Keeps a directory up to date with one waiting call at a time."""

    def __init__(
        self,
        feed: ChangeFeed,
        directory: ServiceDirectory,
        metrics: Metrics,
        must_follow_store: Callable[[float], bool],
    ) -> None:
        """Build a follower; it rests while `needs_store` says no."""
        self.is_connected = False
        self._needs_store = must_follow_store
        self._feed = feed
        self._directory = directory
        self._metrics = metrics
        self._needs_snapshot = True
        self._pause_seconds = FIRST_PAUSE_SECONDS

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            try:
                await self._step()
            except HistoryGone as exc:
                self._needs_snapshot = True
                log_event('store.history_gone', error=str(exc))
            except StoreError as exc:
                self._note_lost(exc)
                await trio.sleep(self._pause_seconds)
                self._pause_seconds = min(
                    self._pause_seconds * 2,
                    LONGEST_PAUSE_SECONDS,
                )

    async def _step(self) -> None:
        now = trio.current_time()
        if self._directory.is_loaded and not self._needs_store(now):
            # What is missed meanwhile is read as a whole.
            self._needs_snapshot = True
            await trio.sleep(REST_SECONDS)
            return
        if self._needs_snapshot:
            snapshot = await self._feed.read_snapshot()
            self._note_regained()
            self._directory.apply_snapshot(snapshot, trio.current_time())
            self._needs_snapshot = False
            # A whole reading is long on a narrow link.
            await trio.sleep(2 * self._batch_seconds())
            return
        changes = await self._feed.wait_for_changes(
            self._directory.feed_revision,
            WATCH_SECONDS,
        )
        self._note_regained()
        self._directory.apply_changes(changes, trio.current_time())
        if changes.entries or changes.deleted:
            await trio.sleep(self._batch_seconds())

    def _batch_seconds(self) -> float:
        """Return the time in which changes gather before the next call.

        Each router that starts is a change that all routers are told of.
        """
        routers = len(self._directory.routers())
        return min(routers * BATCH_SECONDS_A_ROUTER, LONGEST_BATCH_SECONDS)

    def _note_lost(self, exc: StoreError) -> None:
        self._metrics.count('store.errors')
        if self.is_connected:
            log_event('store.lost', code=exc.code, error=str(exc))
        self.is_connected = False

    def _note_regained(self) -> None:
        self._pause_seconds = FIRST_PAUSE_SECONDS
        if self.is_connected:
            return
        self.is_connected = True
        log_event('store.regained', revision=self._directory.feed_revision)
        if self._directory.is_loaded:
            self._directory.deferred_removals.start_grace_period(
                REREGISTRATION_SECONDS,
                trio.current_time(),
            )
