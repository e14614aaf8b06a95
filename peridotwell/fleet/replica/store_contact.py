"""How long the store has answered a router without interruption.

After an outage of the store, live targets register again within about two
seconds. A router that has been in contact for longer shows that an entry that
is missing now is gone, also to routers that were cut off from the store alone.
"""

import math
from dataclasses import dataclass

from peridotwell.domain.store_order import StoreOrder
from peridotwell.fleet.replica.deferred_removals import (
    REREGISTRATION_SECONDS,
    DeferredRemovals,
)
from peridotwell.logs import log_event

__all__ = (
    'StoreContact',
    'StoreContactReport',
    'decode_seconds',
    'encode_age',
    'encode_seconds',
)

# Contact is interrupted by a longer time without an answer: leases may have
# expired in it.
MAX_GAP_SECONDS = 2.4
# What a router has heard of the store is up to date after this time at most.
MAX_ANSWER_AGE_SECONDS = 1.5
# A shorter outage ends no lease of a target: a lease lasts for three reports,
# of which one a second or so comes, and starts anew with each.
MIN_OUTAGE_SECONDS = 2.1
DECISECONDS = 10
MAX_DECISECONDS = 255


@dataclass(frozen=True)
class StoreContactReport:
    """How long the contact lasted up to the last answer, and its age."""

    contact_seconds: float
    answer_age_seconds: float

    @property
    def shows_gone(self) -> bool:
        """Whether entries that are missing are gone, not about to return."""
        return (
            self.contact_seconds >= REREGISTRATION_SECONDS
            and self.answer_age_seconds <= MAX_ANSWER_AGE_SECONDS
        )


class StoreContact:
    """The uninterrupted contact of this router with the store.

    Entries that are missing after an outage may have lapsed in it: their
    removal is deferred for some time from the store's return.
    """

    def __init__(self, deferred_removals: DeferredRemovals) -> None:
        self._deferred_removals = deferred_removals
        # When the store itself, not a peer, last answered.
        self.answered_at = -math.inf
        # When the store was first heard after the last outage.
        self._returned_at = -math.inf
        # When it seemed to be restored, without having told it.
        self._inferred_at: float | None = None
        self._since = math.inf
        # When a call of any kind last succeeded.
        self._heard_at = -math.inf
        self._has_failed = False

    def record_answer(self, now: float) -> None:
        """Record an answer of the store that tells its entries."""
        if now - self.answered_at > MAX_GAP_SECONDS:
            self._since = now
        self.answered_at = now
        self.record_call(now)

    def record_call(self, now: float) -> None:
        """Record that the store has executed a call of any kind.

        It may end an outage, in which leases may have expired. One call that
        fails, such as a watch that is cut, shows no outage.
        """
        silent_seconds = now - self._heard_at
        was_away = self._has_failed and silent_seconds > MIN_OUTAGE_SECONDS
        if was_away and math.isfinite(silent_seconds):
            log_event('store.returned', silent_seconds=round(silent_seconds, 3))
            self._returned_at = now
            self._start_anew(now, now)
        self._has_failed = False
        self._heard_at = now

    def has_heard_since(self, since: float) -> bool:
        """Return whether a call of any kind has succeeded since a time."""
        return self._heard_at > since

    def record_failure(self) -> None:
        """Record that a call got no answer, or was refused."""
        self._has_failed = True

    def record_restore(self, now: float) -> None:
        """Record that the store was restored from an older copy.

        Its return counts, if an outage has ended just before, or when its
        answers began to be older, if the restore was inferred.
        """
        has_returned = now - self._returned_at < REREGISTRATION_SECONDS
        returned_at = self._returned_at if has_returned else now
        if self._inferred_at is not None:
            returned_at = min(returned_at, self._inferred_at)
            self._inferred_at = None
        self._start_anew(returned_at, now)

    def infer_restore(self, since: float) -> None:
        """Record that the store seems to have been restored at a time.

        The restore itself is recorded with the next answer.
        """
        self._inferred_at = since

    def answer_age(self, now: float) -> float | None:
        """Return the age of the last answer in seconds, None before it."""
        if math.isinf(self.answered_at):
            return None
        return round(now - self.answered_at, 3)

    def doubt_as_peer(
        self, seconds: float, revision: StoreOrder, now: float
    ) -> None:
        """Doubt removals for as long as the peer does that tells them.

        They are those up to a revision. An outage may have ended the leases,
        unless this router has been in contact for some time.
        """
        if seconds <= 0 or self.report(now).shows_gone:
            return
        self._deferred_removals.start_grace_period(seconds, now, revision)
        log_event('removals.doubted', seconds=round(seconds, 3))

    def report(self, now: float) -> StoreContactReport:
        """Return what peers are told."""
        return StoreContactReport(
            max(0, self.answered_at - self._since), now - self.answered_at
        )

    def _start_anew(self, returned_at: float, now: float) -> None:
        self._since = now
        self._deferred_removals.start_grace_period(
            REREGISTRATION_SECONDS, returned_at
        )


def encode_seconds(seconds: float) -> int:
    """Return seconds as tenths, as they are in messages."""
    return int(min(seconds * DECISECONDS, MAX_DECISECONDS))


def encode_age(seconds: float) -> int:
    """Return an age as tenths of a second, rounded up."""
    return math.ceil(min(seconds * DECISECONDS, MAX_DECISECONDS))


def decode_seconds(deciseconds: int) -> float:
    """Return the seconds of a message."""
    return deciseconds / DECISECONDS
