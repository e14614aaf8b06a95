"""Asks the store for changes after a router was late to read what arrives."""

from contextlib import suppress

import trio

from peridotwell.errors import StoreError
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.metrics import Metrics
from peridotwell.store.change_feed import ChangeFeed, Changes

__all__ = ('StoreCheck',)

# Minimum time between two checks.
INTERVAL_SECONDS = 0.1
# Requests wait for a check: without an answer in this time it has failed.
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
        """Check after each late turn, until cancelled."""
        while True:
            await self._directory.freshness.late.wait()
            if self._directory.is_loaded:
                await self._check()
            await trio.sleep(INTERVAL_SECONDS)

    async def _check(self) -> None:
        asked_at = trio.current_time()
        self._metrics.count('store.checks')
        changes: Changes | None = None
        with suppress(StoreError), trio.move_on_after(ANSWER_SECONDS):
            changes = await self._feed.wait_for_changes(
                self._directory.known_revision, wait_seconds=0
            )
        now = trio.current_time()
        if changes is None:
            self._directory.freshness.record_failure(asked_at, now)
            return
        self._directory.apply_changes(changes, now)
        self._directory.freshness.record_answer(asked_at, now)
