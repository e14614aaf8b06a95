"""Asks whether the store still tells what it told some time ago.

A store that was restored may have passed the last known revision before it is
asked again: then no answer is older than what is known, and the changes up to
that revision are never told.
"""

from collections.abc import Callable

import trio

from peridotwell.errors import StoreError
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.logs import log_failure
from peridotwell.metrics import Metrics
from peridotwell.store.change_feed import ChangeFeed, HistoryGone, ToldChange
from peridotwell.store.revisions import is_of_later_era, store_revision

__all__ = ('ContinuityCheck',)

# A change must be in force twice as long after its acknowledgement.
INTERVAL_SECONDS = 1.0


class ContinuityCheck:
    """Asks for one change again, once a second while there are new ones.

    And for the latest one when connections are found ended by the store: it may
    have started again, with just the revision of before. `on_break` is called
    if the store tells it no more: then all entries are to be read. Only routers
    that follow the store ask.
    """

    def __init__(
        self,
        feed: ChangeFeed,
        directory: ServiceDirectory,
        metrics: Metrics,
        is_following: Callable[[float], bool],
        on_break: Callable[[], None],
    ) -> None:
        self._feed = feed
        self._directory = directory
        self._metrics = metrics
        self._is_following = is_following
        self._on_break = on_break
        # The latest change as of the last check.
        self._mark: ToldChange | None = None
        self._is_ended = trio.Event()
        feed.on_ended(self._record_ended)

    async def run(self) -> None:
        """Check again and again until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._check_changes)
            nursery.start_soon(self._check_ends)

    async def _check_changes(self) -> None:
        while True:
            history = self._directory.replica.history
            await history.wait_for_later(self._mark)
            if self._mark is not None:
                await self._wait_for_era()
            await self.check(trio.current_time())

    async def _check_ends(self) -> None:
        """Ask for the latest change after connections have ended."""
        while True:
            await self._is_ended.wait()
            self._is_ended = trio.Event()
            latest = self._directory.replica.history.latest
            is_asked = self._is_following(trio.current_time())
            if latest is None or not is_asked or await self._ask(latest):
                continue
            await trio.sleep(INTERVAL_SECONDS)
            self._record_ended()

    def _record_ended(self) -> None:
        self._is_ended.set()

    async def _wait_for_era(self) -> None:
        """Wait for the interval, or until a change of a later era is told.

        Checks begin anew with that one: the next restore may follow at once.
        """
        history = self._directory.replica.history
        with trio.move_on_after(INTERVAL_SECONDS):
            while not self._is_of_earlier_era(history.latest):
                await history.wait_for_later(history.latest)

    def _is_of_earlier_era(self, latest: ToldChange | None) -> bool:
        """Return whether the store was restored since the last check."""
        if self._mark is None or latest is None:
            return False
        return is_of_later_era(latest.revision, self._mark.revision)

    async def check(self, now: float) -> None:
        """Ask for the latest change as of the last check, if there is more."""
        mark = self._mark
        latest = self._directory.replica.history.latest
        is_asked = mark != latest and not self._is_of_earlier_era(latest)
        self._mark = latest
        if mark is None or not is_asked or not self._is_following(now):
            return
        if not await self._ask(mark):
            self._mark = mark

    async def _ask(self, mark: ToldChange) -> bool:
        """Ask for a change again; return whether there is an answer."""
        self._metrics.count('store.continuity_checks')
        try:
            is_told = await self._feed.tells_again(mark)
        except HistoryGone:
            is_told = False
        except StoreError:
            return False
        if not is_told:
            self._metrics.count('store.continuity_breaks')
            log_failure(
                'store.not_told_again',
                entry=mark.key,
                revision=store_revision(mark.revision),
            )
            self._on_break()
        return True
