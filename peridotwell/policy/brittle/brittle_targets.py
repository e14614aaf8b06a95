"""How much each router may send to a brittle target.

Pattern: concurrency limits by static shares. A brittle target falls over when
it rejects many requests in a second, and routers know each other's requests
only as they were a second ago. So the slots of a target are divided among the
routers, and each sends only as many requests as it has slots there. Shares
need no messages: they hold for routers that start, freeze or are cut off.

A router without a free slot may also borrow from the others while the target
seems to have room. All routers together borrow at most a part of the number of
rejections that the target bears: a borrowed slot of which its owner does not
know may lead to one rejection. Later the owner sees it in the counts.

A target that has started again, or could not be reached, is filled step by step
(slow start), and so is one that has rejected a request, from the number of
requests that it had then. A router that was rejected holds back for a time in
which all routers together can be rejected no more often than the target bears.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from peridotwell.domain.target import Target
from peridotwell.policy.brittle.borrowed_slots import BorrowedSlots
from peridotwell.policy.brittle.brittle_notice import Terms
from peridotwell.policy.brittle.brittle_notices import BrittleNotices
from peridotwell.policy.brittle.brittle_records import BrittleRecord, service_id
from peridotwell.policy.brittle.brittleness import Brittleness
from peridotwell.policy.limits.router_shares import RouterRanks, share
from peridotwell.policy.room.room_ramp import RoomRamp

__all__ = ('BrittleTargets', 'RequestCounts')

# Slots that may be borrowed for each rejection that a target bears.
BORROWED_SHARE = 0.5
# The room of a target grows by this part of the rejections that it bears.
GROWTH_SHARE = 0.5
MIN_GROWTH_PER_SECOND = 1.0
# A target that has started again may have all its slots in use after this time.
FILL_SECONDS = 5.0
MIN_HOLD_SECONDS = 1.0
MAX_HOLD_SECONDS = 5.0
# A target whose last answer told of waiting requests gets none for this time.
QUEUE_HOLD_SECONDS = 0.3
# Targets of a service that are first seen within this time after it became
# brittle are not new.
FIRST_SIGHT_SECONDS = 1.0
# Slots may be borrowed while less than this part of all is in use.
MAX_BORROWING_LOAD = 0.75
# A request is sent to a target without room after about this time.
WAIT_SECONDS = 0.2
MAX_TARGETS = 4096


@dataclass(frozen=True)
class RequestCounts:
    """Requests on a target: those of this router, and an estimate of all."""

    own: int
    total: float


@dataclass
class _TargetState:
    """What this router has seen of one incarnation of a target."""

    incarnation: int
    ramp: RoomRamp | None = None
    borrowed: BorrowedSlots = field(default_factory=BorrowedSlots)
    held_until: float = 0
    queued_until: float = 0


class BrittleTargets:
    """Decides which brittle targets this router may send to.

    `own` is the wire id of this router. Times are in seconds of its own clock.
    """

    def __init__(self, own: int = 0) -> None:
        self.notices = BrittleNotices()
        self._ranks = RouterRanks(own)
        self._states: dict[int, _TargetState] = {}
        # By service: when this router first decided about a brittle target.
        self._brittle_since: dict[int, float] = {}

    def set_routers(self, others: Collection[int]) -> None:
        """Set the other routers that are known."""
        self._ranks.set_routers(others)

    def expire(self, now: float) -> None:
        """Remove what has expired."""
        self.notices.expire(now)
        self._brittle_since = {
            service: since
            for service, since in self._brittle_since.items()
            if self.notices.service_terms(service, now) is not None
        }
        if not self._brittle_since:
            self._states.clear()

    def is_brittle(self, target: Target, now: float) -> bool:
        """Return whether a target counts as brittle."""
        return self._terms(target, now) is not None

    def accepts(
        self, target: Target, counts: RequestCounts, now: float
    ) -> bool:
        """Return whether this router may send a target one more request."""
        terms = self._terms(target, now)
        if terms is None:
            return True
        state = self._state(target, now)
        room = self._room(target, terms, state, now)
        is_held = now < max(state.held_until, state.queued_until)
        if is_held or counts.total >= room:
            return False
        beyond_own = counts.own - self._own_slots(target, room)
        if beyond_own < 0:
            return True
        borrowed = state.borrowed.count(beyond_own, now)
        return (
            counts.total < room * MAX_BORROWING_LOAD
            and room >= _slots(terms)
            and borrowed < self._borrowable_slots(target, terms)
        )

    def wait_seconds(
        self, target: Target, counts: RequestCounts, now: float
    ) -> float:
        """Return after which time a target may take a request."""
        if self.accepts(target, counts, now):
            return 0
        return max(self._state(target, now).held_until - now, WAIT_SECONDS)

    def record_send(
        self, target: Target, counts: RequestCounts, now: float
    ) -> None:
        """Record that a request is sent; `counts` are those before it."""
        terms = self._terms(target, now)
        if terms is None:
            return
        state = self._state(target, now)
        room = self._room(target, terms, state, now)
        if counts.own >= self._own_slots(target, room):
            state.borrowed.record_send(now)

    def record_answer(
        self,
        target: Target,
        answer: Brittleness | None,
        now: float,
        sent_at: float | None = None,
    ) -> BrittleRecord | None:
        """Record what an answer of a target says, None if nothing.

        `sent_at` is when its request was sent, by default `now`. Returns the
        record if the other routers should know it at once.
        """
        changed = self.notices.record(target, answer, now, sent_at)
        if answer is not None:
            self._record_queue(target, answer, now)
            if answer.is_rejection:
                self._record_rejection(target, now)
        return changed

    def record_unreachable(self, target: Target, now: float) -> None:
        """Record that no connection to a target can be made."""
        if self._terms(target, now) is not None:
            self._state(target, now).ramp = RoomRamp(1, now)

    def _record_queue(
        self, target: Target, answer: Brittleness, now: float
    ) -> None:
        has_queue = bool(answer.waiting)
        until = now + QUEUE_HOLD_SECONDS if has_queue else 0
        self._state(target, now).queued_until = until

    def _record_rejection(self, target: Target, now: float) -> None:
        terms = self._terms(target, now)
        if terms is None:
            return
        state = self._state(target, now)
        room = self._room(target, terms, state, now)
        rejectable = min(max(room, 1), self._ranks.count)
        seconds = rejectable / _growth_per_second(terms)
        state.held_until = now + min(
            max(seconds, MIN_HOLD_SECONDS), MAX_HOLD_SECONDS
        )

    def _terms(self, target: Target, now: float) -> Terms | None:
        if self.notices.is_empty:
            return None
        return self.notices.terms(target, now)

    def _state(self, target: Target, now: float) -> _TargetState:
        target_id, incarnation = target.incarnation_id
        state = self._states.get(target_id)
        if state is not None and state.incarnation == incarnation:
            return state
        since = self._brittle_since.setdefault(
            service_id(target.pool.name), now
        )
        is_new = state is not None or now - since > FIRST_SIGHT_SECONDS
        if len(self._states) >= MAX_TARGETS:
            self._states.pop(next(iter(self._states)))
        state = _TargetState(
            incarnation,
            RoomRamp(1, now) if is_new else None,
        )
        self._states[target_id] = state
        return state

    def _room(
        self, target: Target, terms: Terms, state: _TargetState, now: float
    ) -> int:
        """Return how many requests of all routers a target may have."""
        per_second = _growth_per_second(terms)
        room = _slots(terms)
        if state.ramp is not None:
            filling = max(per_second, room / FILL_SECONDS)
            room = min(room, state.ramp.room(filling, now))
        rejection = self.notices.rejection(target)
        if rejection is not None:
            ramp = RoomRamp(rejection.full_requests, rejection.at)
            room = min(room, ramp.room(per_second, now))
        return room

    def _own_slots(self, target: Target, room: int) -> int:
        rank = self._ranks.rank(target.wire_id)
        return share(room, self._ranks.count, rank)

    def _borrowable_slots(self, target: Target, terms: Terms) -> int:
        """Return how many slots this router may borrow at a time.

        Routers without slots of their own come first.
        """
        last = self._ranks.count - 1
        rank = self._ranks.rank(target.wire_id)
        return share(_borrowed_slots(terms), self._ranks.count, last - rank)


def _slots(terms: Terms) -> int:
    """Return the slots of a target.

    If it does not tell them, so few are assumed that it bears to reject as many
    requests.
    """
    return terms.slots or max(_borrowed_slots(terms), 1)


def _borrowed_slots(terms: Terms) -> int:
    """Return how many slots all routers together may borrow at a time."""
    return int(terms.max_rejections_per_second * BORROWED_SHARE)


def _growth_per_second(terms: Terms) -> float:
    """Return by how many requests a second the room of a target may grow."""
    return max(
        terms.max_rejections_per_second * GROWTH_SHARE, MIN_GROWTH_PER_SECOND
    )
