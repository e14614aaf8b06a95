"""What a router believes of the store, and the evidence for it.

Only an answer is evidence: one to a call that was sent at a time contains all
changes that were acknowledged before. A call that waits shows nothing. So the
belief ages until the next answer, and requests are decided by it only while it
is young, or while the store is known not to answer.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import trio

from peridotwell.domain.store_order import NO_ORDER, StoreOrder
from peridotwell.fleet.replica.peer_revisions import PeerRevisions
from peridotwell.logs import log_event

__all__ = ('Evidence', 'EvidenceSource', 'StoreBelief')

# A request is not decided by an older belief, unless the store is away.
MAX_AGE_SECONDS = 1.6
# The store is asked beside the watch once the belief is older: two watches
# and the time in which the second one should have been answered.
DUE_AGE_SECONDS = 1.45
# Longest time that a request waits for the answer to that call.
SETTLE_SECONDS = 0.3
# Turns of the background tasks follow each other faster, unless they are late.
MAX_TURN_SECONDS = 0.3


class EvidenceSource(Enum):
    """Where the evidence for a belief comes from."""

    watch = 'watch'
    check = 'check'
    snapshot = 'snapshot'
    relay = 'relay'


@dataclass(frozen=True)
class Evidence:
    """Shows the store at `revision`, with every change up to `known_until`."""

    known_until: float
    revision: StoreOrder
    source: EvidenceSource


class StoreBelief:
    """The latest evidence of one router, and whether more is needed.

    `due` is set while the store is to be asked, which one task does for all
    requests that wait.
    """

    def __init__(self) -> None:
        self.evidence: Evidence | None = None
        self.peer_revisions = PeerRevisions()
        # Up to when answers of the store itself tell all changes.
        self.answered_until = -math.inf
        # The latest revision that a read of a single entry has shown.
        self.read_revision = NO_ORDER
        self.due = trio.Event()
        # Set, and replaced, when evidence comes, or a call gets no answer.
        self._news = trio.Event()
        # When the background tasks took their last turn; 0 before the first.
        self._turned_at = float(0)
        # When the last call was sent that got no answer.
        self._failed_asked_at = -math.inf
        # The store is to be asked until its answers tell what it held then.
        self._required_until = -math.inf
        self._listeners: list[Callable[[float], None]] = []

    def on_evidence(self, listener: Callable[[float], None]) -> None:
        """Call `listener` with the time when evidence has come."""
        self._listeners.append(listener)

    def require(self, until: float) -> None:
        """Have the store asked for what it holds at a time, now or earlier."""
        if until > self.answered_until:
            self._required_until = max(self._required_until, until)
            self.due.set()

    def record(self, evidence: Evidence, now: float) -> None:
        """Record an answer whose entries have been applied."""
        if evidence.source is not EvidenceSource.relay:
            self.answered_until = max(self.answered_until, evidence.known_until)
        if evidence.known_until > self._known_until:
            self.evidence = evidence
        self._end_due(now)
        self._announce()
        for listener in self._listeners:
            listener(now)

    def record_read(self, revision: StoreOrder) -> None:
        """Record the revision of an entry that was read by itself."""
        self.read_revision = max(self.read_revision, revision)

    def record_failure(self, asked_at: float) -> None:
        """Record that a call that was sent at a time got no answer."""
        self._failed_asked_at = max(self._failed_asked_at, asked_at)
        self._announce()

    def is_turn_late(self, now: float) -> bool:
        """Return whether the background tasks have taken no turn lately."""
        return bool(self._turned_at) and (
            now - self._turned_at > MAX_TURN_SECONDS
        )

    def record_turn(self, now: float) -> None:
        """Record a turn of the background tasks; ask the store if it is due.

        After a long standstill, the store may be back that was away before.
        """
        late_seconds = now - self._turned_at if self._turned_at else 0
        self._turned_at = now
        if late_seconds > MAX_TURN_SECONDS:
            log_event('store.unread', seconds=round(late_seconds, 3))
        if late_seconds > MAX_AGE_SECONDS:
            self._failed_asked_at = -math.inf
        if self.age(now) > DUE_AGE_SECONDS:
            self.due.set()

    def age(self, now: float) -> float:
        """Return the age of the belief in seconds, infinite without any."""
        return now - self._known_until

    def logged_age(self, now: float) -> float | None:
        """Return the age for the log; None if nothing is known."""
        age = self.age(now)
        return round(age, 3) if math.isfinite(age) else None

    def logged_source(self) -> str | None:
        """Return the source of the evidence for the log."""
        return self.evidence.source.value if self.evidence else None

    def is_current(self, now: float) -> bool:
        """Return whether all changes that must be in force are known."""
        return self.age(now) <= MAX_AGE_SECONDS

    def is_own(self, now: float) -> bool:
        """Return whether the store itself has shown what is known here."""
        is_relayed = self.logged_source() == EvidenceSource.relay.value
        return self.is_current(now) and not is_relayed

    def is_away(self) -> bool:
        """Return whether the store gave no answer when it was last asked."""
        return self._failed_asked_at > self._known_until

    async def settle(self, now: float) -> bool:
        """Wait until a request can be decided, or be served all the same.

        Returns whether the belief is current, or the store known to be away.
        """
        if self._is_settled(now):
            return True
        self.due.set()
        with trio.move_on_after(SETTLE_SECONDS):
            while not self._is_settled(trio.current_time()):
                await self._news.wait()
        return self._is_settled(trio.current_time())

    def _is_settled(self, now: float) -> bool:
        return self.is_current(now) or self.is_away()

    @property
    def _known_until(self) -> float:
        return self.evidence.known_until if self.evidence else -math.inf

    def _end_due(self, now: float) -> None:
        is_needed = (
            self.age(now) > DUE_AGE_SECONDS
            or self.answered_until < self._required_until
        )
        if self.due.is_set() and not is_needed:
            self.due = trio.Event()

    def _announce(self) -> None:
        self._news.set()
        self._news = trio.Event()
