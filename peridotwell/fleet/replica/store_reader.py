"""Reads the store, applies what it says, and records it as evidence."""

from collections.abc import Callable

import trio

from peridotwell.domain.store_order import StoreOrder
from peridotwell.errors import StoreError, StoreResponseLost
from peridotwell.fleet.replica.restore_detector import RestoreDetector
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.fleet.replica.store_belief import Evidence, EvidenceSource
from peridotwell.logs import log_failure
from peridotwell.metrics import Metrics
from peridotwell.store.change_feed import (
    ChangeFeed,
    Changes,
    HistoryGone,
    Snapshot,
)
from peridotwell.store.revisions import era_of, is_of_later_era

__all__ = ('StoreReader',)


class StoreReader:
    """Makes the calls that tell a router the store's entries.

    Each answer is evidence for what the store held when its call was sent,
    unless it shows the store as it was before what was known by then.
    """

    def __init__(
        self,
        feed: ChangeFeed,
        directory: ServiceDirectory,
        metrics: Metrics,
        on_gap: Callable[[], None] | None = None,
    ) -> None:
        """Make a reader; `on_gap` is called after a gap is told.

        That is an answer in which some revisions have no change.
        """
        self._feed = feed
        self._directory = directory
        self._metrics = metrics
        self._on_gap = on_gap
        self._detector = RestoreDetector(feed, directory, metrics)
        directory.belief.peer_revisions.on_later(feed.follow_era)

    @property
    def agreed_revision(self) -> StoreOrder | None:
        """From where to follow a store that answers with stale changes.

        None if its answers are not stale, or nothing is known of them.
        """
        return self._detector.agreed_revision

    async def read_changes(
        self, after: StoreOrder, wait_seconds: float, source: EvidenceSource
    ) -> Changes:
        """Read the changes after a revision; wait up to `wait_seconds`.

        Raises StoreError, and HistoryGone, which is one, also if they show
        that the store was restored.
        """
        asked_at = trio.current_time()
        shown = self._shown_revision()
        try:
            changes = await self._feed.wait_for_changes(after, wait_seconds)
        except HistoryGone:
            self._detector.record_gone()
            raise
        except StoreError:
            self._directory.belief.record_failure(asked_at)
            raise
        now = trio.current_time()
        self._detector.check(changes, shown, now)
        self._apply_changes(changes, after, now)
        if changes.has_gap(after):
            self._report_gap()
        evidence = Evidence(asked_at, changes.revision, source)
        self._record(evidence, shown, now)
        return changes

    async def read_snapshot(self) -> Snapshot:
        """Read all entries. Raises StoreError."""
        asked_at = trio.current_time()
        shown = self._shown_revision()
        self._directory.snapshot_requested_at = asked_at
        try:
            snapshot = await self._feed.read_snapshot()
        except StoreError:
            self._directory.belief.record_failure(asked_at)
            raise
        finally:
            self._directory.snapshot_requested_at = None
        now = trio.current_time()
        self._detector.check(snapshot, shown, now)
        self._count_restore(snapshot)
        self._directory.apply_snapshot(snapshot, now)
        evidence = Evidence(
            asked_at, snapshot.revision, EvidenceSource.snapshot
        )
        self._record(evidence, shown, now)
        return snapshot

    def check_table(self) -> None:
        """Have the table read, which changes may have left out."""
        if self._on_gap is not None:
            self._on_gap()

    def is_receiving(self, now: float) -> bool:
        """Return whether parts of an answer of the store arrive."""
        return self._feed.is_receiving(now)

    async def renew_connections(self) -> None:
        """Let the next call open a connection of its own."""
        await self._feed.renew_connections()

    def _apply_changes(
        self, changes: Changes, after: StoreOrder, now: float
    ) -> None:
        """Apply the changes after a revision.

        If only peers have told the changes up to it, the store is still asked
        for them: peers do not know what it has left out.
        """
        followed = self._directory.feed_revision
        self._directory.apply_changes(changes, now)
        if after > followed:
            self._directory.feed_revision = followed

    def _shown_revision(self) -> StoreOrder:
        """Return the revision that the store has reached for sure."""
        directory = self._directory
        return max(directory.known_revision, directory.belief.read_revision)

    def _record(
        self, evidence: Evidence, shown: StoreOrder, now: float
    ) -> None:
        """Record an answer to a call that was sent when `shown` was known.

        Raises StoreResponseLost if it is older: it does not tell what the
        store held then.
        """
        if evidence.revision >= shown:
            self._directory.belief.record(evidence, now)
            return
        self._directory.belief.record_failure(evidence.known_until)
        self._metrics.count('store.stale_answers')
        log_failure(
            'store.stale_answer',
            revision=evidence.revision,
            known=shown,
            source=evidence.source.value,
            era=era_of(evidence.revision),
            told=self._detector.repetition.value,
            seconds=round(now - evidence.known_until, 3),
            age=self._directory.belief.logged_age(now),
        )
        raise StoreResponseLost(
            f'the answer is of revision {evidence.revision}, although '
            f'{shown} was known when it was asked for'
        )

    def _report_gap(self) -> None:
        self._metrics.count('store.gaps')
        self.check_table()

    def _count_restore(self, snapshot: Snapshot) -> None:
        if self._directory.is_loaded and is_of_later_era(
            snapshot.revision, self._directory.known_revision
        ):
            self._metrics.count('store.restores')
