"""What the store says: the routing table in force, and the targets.

Knowledge only moves forward: an entry older than the one known is passed
over. After an outage of the store, targets that have vanished are kept for
a moment, because live ones register again.
"""

import math
from collections.abc import Callable, Iterable

import trio

from peridotwell.domain.routing_table import RoutingTable
from peridotwell.domain.target import Target
from peridotwell.errors import EntryError
from peridotwell.fleet.deferred_removals import DeferredRemovals
from peridotwell.fleet.frames import Hello, SharedEntry
from peridotwell.fleet.router_registry import ROUTERS_PREFIX, decode_router
from peridotwell.fleet.store_replica import StoreReplica
from peridotwell.forwarding.adapters import EntryDecoder
from peridotwell.logs import log_event
from peridotwell.store.base import Entry
from peridotwell.store.change_feed import Changes, Snapshot

__all__ = ('ServiceDirectory',)


class ServiceDirectory:
    """The table and the targets as last heard from the store."""

    def __init__(self, decoder: EntryDecoder) -> None:
        self.table: RoutingTable | None = None
        self.table_at = float(0)
        # When the store last answered, not a peer.
        self.heard_at = -math.inf
        # How far the store's own feed was read.
        self.revision = 0
        # How far this router knows, from the store or from a peer.
        self.known_revision = 0
        self.is_listed = False
        # Set when both the table and the targets are known.
        self.known = trio.Event()
        self._decoder = decoder
        self._targets: dict[str, Target] = {}
        self.entries = StoreReplica()
        self._routers: dict[str, Hello] = {}
        self._has_changed = False
        self._numbered: dict[int, Target] = {}
        self.doubts = DeferredRemovals()
        self._by_service: dict[str, tuple[Target, ...]] = {}
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the table or the targets."""
        self._listeners.append(listener)

    def targets(self, service: str) -> tuple[Target, ...]:
        """Return the targets of a service that take new work."""
        return self._by_service.get(service, ())

    def all_targets(self, service: str = '') -> tuple[Target, ...]:
        """Return every target, or all of one service, leaving or not."""
        return tuple(
            target
            for target in self._targets.values()
            if service in {'', target.pool.name}
        )

    def numbered(self, number: int) -> Target | None:
        """Return the target with that wire id."""
        return self._numbered.get(number)

    def routers(self) -> tuple[Hello, ...]:
        """Return the routers that have registered."""
        return tuple(self._routers.values())

    def take_snapshot(self, snapshot: Snapshot, now: float) -> None:
        """Take over a whole reading of the store."""
        self.heard_at = now
        self.revision = max(self.revision, snapshot.revision)
        self._take_whole(snapshot, now)

    def take_changes(self, changes: Changes, now: float) -> None:
        """Take over changes, in the order of their revisions."""
        self.heard_at = now
        for entry in changes.entries:
            self._take(entry, now)
        for key, revision in changes.deleted:
            self._remove(key, revision, now)
        self.revision = max(self.revision, changes.revision)
        self._finish(changes.revision, now)

    def take_shared(
        self,
        entries: Iterable[SharedEntry],
        revision: int,
        now: float,
    ) -> None:
        """Take over all that another router knows to have changed.

        The changes follow on what is known here.
        """
        for entry in entries:
            if entry.value is None:
                self._remove(entry.key, entry.revision, now)
            else:
                found = Entry(entry.key, entry.value, entry.revision)
                self._take(found, now)
        self._finish(revision, now)

    def take_listing(
        self,
        entries: Iterable[SharedEntry],
        revision: int,
        now: float,
    ) -> None:
        """Take over all entries that another router knows."""
        found = tuple(
            Entry(entry.key, entry.value, entry.revision)
            for entry in entries
            if entry.value is not None
        )
        self._take_whole(Snapshot(found, revision), now)

    def settle(self, now: float) -> None:
        """Believe that doubted targets are gone when their time is up."""
        for key in self.doubts.take_over(now):
            self._drop(key)
        if self._has_changed:
            self._has_changed = False
            self._rebuild()

    def _take_whole(self, snapshot: Snapshot, now: float) -> None:
        for entry in snapshot.entries:
            self._take(entry, now)
        for key in self.entries.missing_from(snapshot):
            self._remove(key, snapshot.revision, now)
        self.entries.read_whole(snapshot.revision)
        self._finish(snapshot.revision, now)

    def _finish(self, revision: int, now: float) -> None:
        self.known_revision = max(self.known_revision, revision)
        self.is_listed = True
        self.settle(now)
        if self.table is not None:
            self.known.set()

    def _take(self, entry: Entry, now: float) -> None:
        if not self.entries.is_news(entry):
            return
        if self._decoder.is_table(entry.key):
            self._take_table(entry, now)
        elif self._decoder.is_target(entry.key):
            self._take_target(entry)
        elif entry.key.startswith(ROUTERS_PREFIX):
            self._take_router(entry)
        else:
            return
        self._has_changed = True
        self.entries.put(entry)

    def _take_table(self, entry: Entry, now: float) -> None:
        try:
            table = self._decoder.decode_table(entry.value, entry.revision)
        except EntryError as exc:
            log_event('table.invalid', error=str(exc), revision=entry.revision)
            return
        self.table = table
        self.table_at = now
        log_event(
            'table.taken',
            version=table.version,
            revision=table.revision,
            routes=len(table.routes),
        )

    def _take_target(self, entry: Entry) -> None:
        self.doubts.clear(entry.key)
        try:
            target = self._decoder.decode_target(entry.key, entry.value)
        except EntryError as exc:
            self._targets.pop(entry.key, None)
            log_event('target.invalid', entry=entry.key, error=str(exc))
            return
        self._targets[entry.key] = target
        log_event(
            'target.leaving' if target.leaving else 'target.listed',
            target=target.name,
            service=target.pool.name,
            address=target.address,
            revision=entry.revision,
        )

    def _take_router(self, entry: Entry) -> None:
        hello = decode_router(entry.value)
        if hello is not None:
            self._routers[entry.key] = hello
            return
        self._routers.pop(entry.key, None)
        log_event('router.invalid', entry=entry.key)

    def _remove(self, key: str, revision: int, now: float) -> None:
        is_table = self._decoder.is_table(key)
        if is_table or not self.entries.may_delete(key, revision):
            return
        self.entries.mark_deleted(key, revision)
        if self.doubts.seconds_left(now) and key in self._targets:
            self.doubts.add(key)
            log_event('target.doubted', entry=key, revision=revision)
            return
        self._drop(key)

    def _drop(self, key: str) -> None:
        self._has_changed = True
        self.entries.drop(key)
        self._routers.pop(key, None)
        target = self._targets.pop(key, None)
        if target is not None:
            log_event('target.gone', target=target.name)

    def _rebuild(self) -> None:
        by_service: dict[str, list[Target]] = {}
        self._numbered = {
            target.wire_id: target for target in self._targets.values()
        }
        for target in self._targets.values():
            if target.leaving:
                continue
            by_service.setdefault(target.pool.name, []).append(target)
        self._by_service = {
            name: tuple(members) for name, members in by_service.items()
        }
        for listener in self._listeners:
            listener()
