"""Asks the store for changes after a router was late to read what arrives."""

from contextlib import suppress

import trio

from peridotwell.errors import StoreError
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.metrics import Metrics
from peridotwell.running_time import move_on_after_running
from peridotwell.store.change_feed import ChangeFeed, HistoryGone

__all__ = ('StoreCheck',)

# Time between two checks, and after one that failed.
INTERVAL_SECONDS = 0.1
RETRY_SECONDS = 1.0
# Without an answer in this time, in which the router runs, a check has failed.
ANSWER_SECONDS = 0.6


class StoreCheck:
    """Sends one call of its own beside the watch, and applies its answer."""

    def __init__(
        self, feed: ChangeFeed, directory: ServiceDirectory, metrics: Metrics
    ) -> None:
        self._feed = feed
        self._directory = directory
        self._metrics = metrics

    async def run(self) -> None:
        """Check after each late turn, until one succeeds or it is cancelled."""
        while True:
            await self._directory.freshness.late.wait()
            is_answered = self._directory.is_loaded and await self._check()
            await trio.sleep(INTERVAL_SECONDS if is_answered else RETRY_SECONDS)

    async def _check(self) -> bool:
        """Return whether the store has answered."""
        asked_at = trio.current_time()
        self._metrics.count('store.checks')
        is_answered = False
        async with move_on_after_running(ANSWER_SECONDS):
            with suppress(StoreError):
                await self._read()
                is_answered = True
        now = trio.current_time()
        if is_answered:
            self._directory.freshness.record_answer(asked_at, now)
        else:
            self._directory.freshness.record_failure(asked_at, now)
        return is_answered

    async def _read(self) -> None:
        """Apply the changes, or all entries if the changes are gone."""
        try:
            changes = await self._feed.wait_for_changes(
                self._directory.known_revision, wait_seconds=0
            )
        except HistoryGone:
            snapshot = await self._feed.read_snapshot()
            self._directory.apply_snapshot(snapshot, trio.current_time())
            return
        self._directory.apply_changes(changes, trio.current_time())
