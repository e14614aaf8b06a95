"""Asks the store once for all that need to know what it says now."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field

import trio

from peridotwell.errors import StoreError
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.fleet.replica.store_belief import EvidenceSource
from peridotwell.fleet.replica.store_reader import StoreReader
from peridotwell.metrics import Metrics
from peridotwell.running_time import move_on_after_running
from peridotwell.store.change_feed import HistoryGone, Snapshot
from peridotwell.store.overlapping_calls import first_outcome, while_receiving

__all__ = ('StoreCheck',)

# Time between two checks, and after one that failed.
INTERVAL_SECONDS = 0.1
RETRY_SECONDS = 1.0
# Without an answer in this time, in which the router runs, a check has failed.
ANSWER_SECONDS = 0.6
# All entries are asked for as well if the changes take longer, unless an answer
# is arriving then.
CHANGES_SECONDS = 0.25

Call = Callable[[], Awaitable[object]]


@dataclass
class _Outcome:
    """What has come of a call for all entries, once it is known."""

    is_known: trio.Event = field(default_factory=trio.Event)
    snapshot: Snapshot | None = None
    error: StoreError | None = None


class _SnapshotCall:
    """A call for all entries, which goes on when a check has failed.

    All entries may take longer to arrive than a check may last.
    """

    def __init__(self, reader: StoreReader, nursery: trio.Nursery) -> None:
        self._reader = reader
        self._nursery = nursery
        # The call that waits for an answer; None if there is none.
        self._running: _Outcome | None = None

    async def join(self) -> Snapshot:
        """Return the answer to the call that waits, or to a new one.

        Raises StoreError.
        """
        if self._running is None:
            self._running = _Outcome()
            self._nursery.start_soon(self._run, self._running)
        outcome = self._running
        await outcome.is_known.wait()
        if outcome.snapshot is None:
            raise outcome.error or StoreError('all entries were not read')
        return outcome.snapshot

    async def _run(self, outcome: _Outcome) -> None:
        try:
            outcome.snapshot = await self._reader.read_snapshot()
        except StoreError as exc:
            outcome.error = exc
        finally:
            self._running = None
            outcome.is_known.set()


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
        self._snapshot: _SnapshotCall

    async def run(self) -> None:
        """Check whenever it is due, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._snapshot = _SnapshotCall(self._reader, nursery)
            while True:
                await self._directory.belief.due.wait()
                # Before, the follower asks for all entries.
                has_failed = (
                    self._directory.is_loaded and not await self._check()
                )
                await trio.sleep(
                    RETRY_SECONDS if has_failed else INTERVAL_SECONDS
                )

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
                    self._reader.is_receiving,
                )
                is_answered = True
        now = trio.current_time()
        belief = self._directory.belief
        if is_answered:
            self._on_answer(asked_at)
        elif belief.age(now) > now - asked_at:
            # A later answer to what was sent before now shows a slow store.
            belief.record_failure(now)
        return is_answered

    def _calls(self) -> Call:
        """Return a function that asks for the changes, then for all entries.

        A store may leave all calls unanswered that ask for changes.
        """
        calls: Iterator[Call] = iter((self._read_changes, self._snapshot.join))
        return lambda: next(calls, trio.sleep_forever)()

    async def _read_changes(self) -> object:
        """Read the changes, or all entries if the changes are gone.

        An answer that arrives may be the watch's, which tells the same.
        """
        await while_receiving(self._reader.is_receiving)
        try:
            return await self._reader.read_changes(
                self._directory.known_revision, 0, EvidenceSource.check
            )
        except HistoryGone:
            return await self._snapshot.join()
