"""Up to what time a router knows what the store has said.

A watch without an answer shows that nothing has changed, but only while the
router reads what arrives. After it has stood still, or was short of processor
time, changes may wait unread, or come with the next call. So the knowledge ages
from its last turn in time on, until the store has answered a call that was sent
later.
"""

import math

import trio

from peridotwell.logs import log_event

__all__ = ('StoreFreshness',)

# Turns of the background tasks follow each other faster, unless they are late.
MAX_TURN_SECONDS = 0.3
# Knowledge that is older may lack a change that must be in force.
MAX_AGE_SECONDS = 1.5
# A relay's news count again after this time with turns in time.
RELAYED_SECONDS = 1.0
# Longest time that a request waits for the check after a late turn.
SETTLE_SECONDS = 0.3


class StoreFreshness:
    """The age of what one router knows of the store.

    `late` is set while a check is due after a late turn. Requests wait for it
    until `settled` is set: the store has answered, or is known to be away.
    """

    def __init__(self) -> None:
        self.late = trio.Event()
        self.settled = trio.Event()
        self.settled.set()
        self._known_until = -math.inf
        self._turned_at: float | None = None
        self._late_at = -math.inf
        # The end of the last standstill in which a store may have returned.
        self._stalled_at = -math.inf
        # When it was last found that changes may be missing.
        self._doubted_at = -math.inf
        self._is_caught_up = False
        self._is_away = False

    def record_turn(
        self, now: float, told_until: float, *, is_relayed: bool = False
    ) -> None:
        """Record a turn of the background tasks.

        `told_until` is the time up to which the store, or with `is_relayed` a
        relay, would have told every change.
        """
        self._notice_late(now)
        self._turned_at = now
        if is_relayed and now - self._doubted_at >= RELAYED_SECONDS:
            # Turns were in time since then, so all that a relay told is read.
            self._catch_up()
        if self._is_caught_up:
            self._known_until = max(self._known_until, told_until)

    def record_answer(self, asked_at: float, now: float) -> None:
        """Record that the changes up to the time of a call are known."""
        self._notice_late(now)
        self._is_away = False
        self._known_until = max(self._known_until, asked_at)
        if asked_at >= self._late_at:
            self._catch_up()

    def record_failure(self, asked_at: float, now: float) -> None:
        """Record that a call got no answer: it showed nothing while it waited.

        After one that was sent since the last long standstill, the store is
        known to be away, and requests do not wait for it any more.
        """
        self._notice_late(now)
        self._is_caught_up = False
        self._doubted_at = now
        self._known_until = min(self._known_until, asked_at)
        if asked_at >= self._stalled_at:
            self._is_away = True
            self.settled.set()

    def age(self, now: float) -> float:
        """Return the age of the knowledge in seconds."""
        self._notice_late(now)
        return now - self._known_until

    def logged_age(self, now: float) -> float | None:
        """Return the age for the log; None if nothing is known."""
        age = self.age(now)
        return round(age, 3) if math.isfinite(age) else None

    def is_current(self, now: float) -> bool:
        """Return whether all changes that must be in force are known."""
        return self.age(now) <= MAX_AGE_SECONDS

    def may_lack_changes(self, now: float) -> bool:
        """Whether the knowledge is old since the router was late to read."""
        return not self.is_current(now) and self.late.is_set()

    async def settle(self, now: float) -> bool:
        """Wait for the check after a late turn, if the knowledge is old.

        Returns whether the store has answered, or is known not to answer.
        """
        if self.is_current(now) or self.settled.is_set():
            return True
        with trio.move_on_after(SETTLE_SECONDS):
            await self.settled.wait()
        return self.settled.is_set() or self.is_current(trio.current_time())

    def _notice_late(self, now: float) -> None:
        if self._turned_at is None:
            return
        late_seconds = now - self._turned_at
        if late_seconds <= MAX_TURN_SECONDS:
            return
        log_event('store.unread', seconds=round(late_seconds, 3))
        self._turned_at = now
        self._late_at = now
        self._doubted_at = now
        self._is_caught_up = False
        if late_seconds > MAX_AGE_SECONDS:
            self._stalled_at = now
            self._is_away = False
        self.late.set()
        if self.settled.is_set() and not self._is_away:
            self.settled = trio.Event()

    def _catch_up(self) -> None:
        self._is_caught_up = True
        self._is_away = False
        self.settled.set()
        if self.late.is_set():
            self.late = trio.Event()
