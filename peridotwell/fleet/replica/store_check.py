"""Asks the store once for all that need to know what it says now."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress

import trio

from peridotwell.errors import StoreError
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.fleet.replica.store_belief import EvidenceSource
from peridotwell.fleet.replica.store_reader import StoreReader
from peridotwell.metrics import Metrics
from peridotwell.running_time import move_on_after_running
from peridotwell.store.change_feed import HistoryGone
from peridotwell.store.overlapping_calls import first_outcome

__all__ = ('StoreCheck',)

# Time between two checks, and after one that failed.
INTERVAL_SECONDS = 0.1
RETRY_SECONDS = 1.0
# Without an answer in this time, in which the router runs, a check has failed.
ANSWER_SECONDS = 0.6
# All entries are asked for as well if the changes take longer.
CHANGES_SECONDS = 0.25

Call = Callable[[], Awaitable[object]]


class StoreCheck:
    """Makes calls of its own beside the watch while the belief needs one.

    `on_answer` is called, with the time of the call, when the store has
    answered.
    """

    def __init__(
        self,
        reader: StoreReader,
        directory: ServiceDirectory,
        metrics: Metrics,
        on_answer: Callable[[float], None],
    ) -> None:
        self._reader = reader
        self._directory = directory
        self._metrics = metrics
        self._on_answer = on_answer

    async def run(self) -> None:
        """Check whenever it is due, until cancelled."""
        while True:
            await self._directory.belief.due.wait()
            is_answered = self._directory.is_loaded and await self._check()
            await trio.sleep(INTERVAL_SECONDS if is_answered else RETRY_SECONDS)

    async def _check(self) -> bool:
        """Return whether the store has answered."""
        asked_at = trio.current_time()
        self._metrics.count('store.checks')
        is_answered = False
        async with move_on_after_running(ANSWER_SECONDS):
            with suppress(StoreError):
                await first_outcome(
                    self._calls(),
                    CHANGES_SECONDS,
                    self._reader.renew_connections,
                )
                is_answered = True
        if is_answered:
            self._on_answer(asked_at)
        else:
            self._directory.belief.record_failure(asked_at)
        return is_answered

    def _calls(self) -> Call:
        """Return a function that asks for the changes, then for all entries.

        A store may leave all calls unanswered that ask for changes.
        """
        calls: Iterator[Call] = iter(
            (self._read_changes, self._reader.read_snapshot)
        )
        return lambda: next(calls, trio.sleep_forever)()

    async def _read_changes(self) -> object:
        """Read the changes, or all entries if the changes are gone."""
        try:
            return await self._reader.read_changes(
                self._directory.known_revision, 0, EvidenceSource.check
            )
        except HistoryGone:
            return await self._reader.read_snapshot()
