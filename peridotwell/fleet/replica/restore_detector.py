"""Infers that the store was restored from an older copy and does not say so.

What a restored store tells at a revision differs from what it told there
before, as soon as something is written. Nothing has to be known before then. A
store that lags behind repeats what it told, and is waited for.
"""

from collections.abc import Iterator

from peridotwell.domain.store_order import StoreOrder
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.fleet.replica.store_history import Contradiction, Repetition
from peridotwell.fleet.replica.store_replica import StoreReplica
from peridotwell.logs import log_failure
from peridotwell.metrics import Metrics
from peridotwell.store.change_feed import (
    ChangeFeed,
    Changes,
    HistoryGone,
    Snapshot,
    told_changes,
)
from peridotwell.store.revisions import era_of, store_revision

__all__ = ('RestoreDetector',)

# If answers are stale for this time and nothing is known of what they tell,
# the store was restored: it acknowledges nothing that it loses otherwise.
CONFIRM_SECONDS = 1.0


class RestoreDetector:
    """Compares answers with what the store told before.

    `agreed_revision` is that of the latest change that stale answers have
    repeated, from which changes can be followed; None without stale answers.
    `repetition` is how the last stale answer compares with what was told.
    """

    def __init__(
        self, feed: ChangeFeed, directory: ServiceDirectory, metrics: Metrics
    ) -> None:
        self.agreed_revision: StoreOrder | None = None
        self.repetition = Repetition.unknown
        self._feed = feed
        self._directory = directory
        self._metrics = metrics
        # When the first of the last stale answers came, and the first of which
        # nothing is known.
        self._stale_since: float | None = None
        self._unknown_since: float | None = None
        # Whether the store has the changes after those that agree.
        self._is_followable = True

    def record_gone(self) -> None:
        """Record that the changes after a revision are gone."""
        if self.agreed_revision is not None:
            self.agreed_revision = None
            self._is_followable = False

    def check(
        self, answer: Changes | Snapshot, shown: StoreOrder, now: float
    ) -> None:
        """Check an answer to a call that was sent when `shown` was known.

        Raises HistoryGone if it shows that the store was restored: what is
        read from then on is of a later era.
        """
        is_stale = answer.revision < shown
        if is_stale and self._stale_since is None:
            self._stale_since = now
        contradiction = _contradiction(self._directory.replica, answer)
        if contradiction is not None:
            self._metrics.count('store.contradictions')
            _log(contradiction, answer.revision)
            self._begin_era(answer.revision, now)
        if is_stale:
            self._record_stale(answer, now)
        else:
            self._end_doubt()
            self._directory.replica.history.record(told_changes(answer))

    def _record_stale(self, answer: Changes | Snapshot, now: float) -> None:
        told = tuple(told_changes(answer))
        self.repetition = self._directory.replica.history.compare(told)
        latest = max((each.revision for each in told), default=None)
        # A deletion may follow what is listed.
        is_whole = self._is_followable or latest == answer.revision
        if self.repetition is Repetition.same and is_whole:
            self.agreed_revision = latest if self._is_followable else None
            self._unknown_since = None
        elif told:
            self._record_unknown(answer.revision, now)

    def _record_unknown(self, revision: StoreOrder, now: float) -> None:
        if self._unknown_since is None:
            self._unknown_since = now
        if now - self._unknown_since >= CONFIRM_SECONDS:
            self._begin_era(revision, now)

    def _end_doubt(self) -> None:
        self.agreed_revision = None
        self._unknown_since = None
        self._stale_since = None
        self._is_followable = True

    def _begin_era(self, revision: StoreOrder, now: float) -> None:
        if not self._feed.begin_era(revision):
            return
        contact = self._directory.store_contact
        contact.infer_restore(
            now if self._stale_since is None else self._stale_since
        )
        self._end_doubt()
        self._metrics.count('store.inferred_restores')
        raise HistoryGone(
            'the store was restored from an older copy, by what it tells at '
            f'revision {store_revision(revision)}'
        )


def _contradiction(
    replica: StoreReplica, answer: Changes | Snapshot
) -> Contradiction | None:
    """Return what an answer tells that cannot be, if the store went on."""
    found = replica.history.contradiction(told_changes(answer))
    if found is None and isinstance(answer, Snapshot):
        return next(_listed_lower(replica, answer), None)
    return found


def _listed_lower(
    replica: StoreReplica, snapshot: Snapshot
) -> Iterator[Contradiction]:
    """Yield the entries at a lower revision than the store had reached."""
    for entry in snapshot.entries:
        known = replica.entry(entry.key)
        if (
            known is not None
            and entry.revision < known.revision <= snapshot.revision
            and era_of(entry.revision) == era_of(known.revision)
        ):
            yield Contradiction(entry.key, entry.revision, known.revision)


def _log(contradiction: Contradiction, answer_revision: StoreOrder) -> None:
    log_failure(
        'store.contradiction',
        entry=contradiction.key,
        revision=store_revision(contradiction.revision),
        known=store_revision(contradiction.known_revision),
        answer=store_revision(answer_revision),
        era=era_of(answer_revision),
    )
