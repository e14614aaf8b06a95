"""Lists of engines' caches on their way to all routers of a large fleet.

After a common start, the lists of all engines go to all routers. They are large
and less urgent than updates, so they are paced, and a list that several routers
have read is passed on once. The first portions of all lists go first.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from peridotwell.fleet.caches.cache_lists import PART_BYTES
from peridotwell.fleet.transport.frames import CachedPrompt
from peridotwell.policy.updates.bulk_pacing import BulkPacer

__all__ = ('ListedCaches',)

# A portion of an engine's list is not passed on again within this time.
REPEAT_SECONDS = 10.0

Lists = tuple[CachedPrompt, ...]


@dataclass(frozen=True)
class _Queues:
    """Lists to pass on, from this router's group and from other groups."""

    from_group: deque[CachedPrompt] = field(default_factory=deque)
    from_others: deque[CachedPrompt] = field(default_factory=deque)

    def __len__(self) -> int:
        return len(self.from_group) + len(self.from_others)


class ListedCaches:
    """The lists that this router has still to pass on."""

    def __init__(self, link_bytes_per_second: float) -> None:
        self._pacer = BulkPacer(link_bytes_per_second)
        self._first_portions = _Queues()
        self._others = _Queues()
        # When each portion, by engine and first part, was added.
        self._added_at: dict[tuple[int, int], float] = {}

    def __len__(self) -> int:
        return len(self._first_portions) + len(self._others)

    def add(self, lists: Lists, now: float, *, from_group: bool) -> None:
        """Add lists from this router's group or from other groups."""
        if not lists:
            return
        self._added_at = {
            portion: added_at
            for portion, added_at in self._added_at.items()
            if now - added_at < REPEAT_SECONDS
        }
        engines = {engine for engine, _ in self._added_at}
        for each in self._new_portions(lists):
            is_first = each.target_id not in engines
            queues = self._first_portions if is_first else self._others
            queue = queues.from_group if from_group else queues.from_others
            queue.append(each)
            self._added_at[_portion(each)] = now
            engines.add(each.target_id)

    def take(
        self, now: float, relays: int, members: int
    ) -> tuple[Lists, Lists]:
        """Return the lists to send now: those of the group, and the others.

        The former go to `relays` and `members`, the latter to members only.
        """
        from_group: list[CachedPrompt] = []
        from_others: list[CachedPrompt] = []
        for queues in (self._first_portions, self._others):
            from_group.extend(
                self._take_from(queues.from_group, now, relays + members)
            )
            from_others.extend(
                self._take_from(queues.from_others, now, members)
            )
        return tuple(from_group), tuple(from_others)

    def _new_portions(self, lists: Lists) -> Iterator[CachedPrompt]:
        for each in lists:
            if _portion(each) not in self._added_at:
                yield each

    def _take_from(
        self, queue: deque[CachedPrompt], now: float, receivers: int
    ) -> Iterator[CachedPrompt]:
        while queue and self._pacer.may_send(now):
            taken = queue.popleft()
            sent_bytes = len(taken.parts) * PART_BYTES * receivers
            self._pacer.record_sent(sent_bytes, now)
            yield taken


def _portion(portion: CachedPrompt) -> tuple[int, int]:
    first_part = portion.parts[0][0] if portion.parts else 0
    return portion.target_id, first_part
