"""The routing table, the targets and the routers that the store lists.

An entry older than the known one is ignored. After an outage of the store,
deleted targets are kept for a short time, because live ones register again.
"""

from collections.abc import Callable, Iterable, Sequence

import trio

from peridotwell.domain.routing_table import RoutingTable
from peridotwell.domain.target import Target
from peridotwell.errors import EntryError
from peridotwell.fleet.replica.deferred_removals import DeferredRemovals
from peridotwell.fleet.replica.departed_targets import DepartedTargets
from peridotwell.fleet.replica.entry_source import EntrySource
from peridotwell.fleet.replica.evacuations import Evacuations
from peridotwell.fleet.replica.store_belief import StoreBelief
from peridotwell.fleet.replica.store_contact import (
    StoreContact,
    StoreContactReport,
)
from peridotwell.fleet.replica.store_replica import StoreReplica
from peridotwell.fleet.replica.table_in_force import TableInForce
from peridotwell.fleet.replica.target_sightings import TargetSightings
from peridotwell.fleet.replica.version_record import VERSIONS_KEY
from peridotwell.fleet.transport.frames import Hello, SharedEntry
from peridotwell.fleet.transport.router_registry import (
    ROUTERS_PREFIX,
    decode_router,
)
from peridotwell.forwarding.adapters import EntryDecoder
from peridotwell.logs import log_event
from peridotwell.store.base import Entry
from peridotwell.store.change_feed import Changes, Snapshot
from peridotwell.store.revisions import (
    NO_ORDER,
    StoreOrder,
    era_of,
    is_of_later_era,
)

__all__ = ('ServiceDirectory',)

# Less than every revision.
NO_REVISION = StoreOrder(-1)


class ServiceDirectory:
    """The routing table, targets and routers as last read.

    They are read from the store or received from a peer.
    """

    def __init__(self, decoder: EntryDecoder) -> None:
        self.replica = StoreReplica()
        self.table: RoutingTable | None = None
        self.table_in_force = TableInForce(decoder, self.replica)
        # The store's key of the routing table; '' before one is known.
        self.table_key = ''
        # When the snapshot was requested that the store is sending, or None.
        self.snapshot_requested_at: float | None = None
        # The last revision read from the store's change feed.
        self.feed_revision = NO_ORDER
        # The last known revision, from the store or from a peer.
        self.known_revision = NO_ORDER
        self.is_loaded = False
        self.refusals = self.table_in_force.refusals
        # Number of entries of targets and routers that could not be read.
        self.invalid_entries = 0
        # Set when the routing table and the targets are loaded.
        self.ready = trio.Event()
        # The names of the targets that accept new work.
        self.available_names: frozenset[str] = frozenset()
        # Those, and the names of the targets whose data centre is evacuated.
        self.serving_names: frozenset[str] = frozenset()
        # The store's keys of the targets that leave, and of evacuations.
        self.leaving_keys: frozenset[str] = frozenset()
        self._decoder = decoder
        self._targets: dict[str, Target] = {}
        self._routers: dict[str, Hello] = {}
        self._has_changed = False
        self._targets_by_id: dict[int, Target] = {}
        self.deferred_removals = DeferredRemovals()
        self.store_contact = StoreContact(self.deferred_removals)
        self.belief = StoreBelief()
        self.evacuations = Evacuations(decoder)
        self._departed = DepartedTargets()
        # By service: all targets, and those that accept new work.
        self._by_service: dict[str, tuple[Target, ...]] = {}
        self._available: dict[str, tuple[Target, ...]] = {}
        self._listeners: list[Callable[[], None]] = []
        self.sightings = TargetSightings()

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the table or the targets."""
        self._listeners.append(listener)

    def available_targets(self, service: str) -> tuple[Target, ...]:
        """Return the targets of a service that accept new work."""
        return self._available.get(service, ())

    def all_targets(self, service: str = '') -> tuple[Target, ...]:
        """Return all targets, or all of one service, including leaving ones."""
        if service:
            return self._by_service.get(service, ())
        return tuple(self._targets.values())

    def target_by_id(self, target_id: int) -> Target | None:
        """Return the target with that wire id."""
        return self._targets_by_id.get(target_id)

    def routers(self) -> tuple[Hello, ...]:
        """Return the registered routers."""
        return tuple(self._routers.values())

    def apply_snapshot(self, snapshot: Snapshot, now: float) -> None:
        """Apply a snapshot of the store."""
        if self.is_loaded:
            self.sightings.record_listing(self.belief.age(now))
        self.store_contact.record_answer(now)
        self._apply_all_entries(snapshot, EntrySource.store_snapshot, now)
        self.feed_revision = max(self.feed_revision, snapshot.revision)
        self.deferred_removals.record_answer(snapshot.revision)

    def apply_changes(self, changes: Changes, now: float) -> None:
        """Apply changes from the store's change feed."""
        self.store_contact.record_answer(now)
        self._apply_entries(
            tuple(reversed(changes.entries)),
            changes.revision,
            EntrySource.store_changes,
            now,
        )
        for key, revision in changes.deleted:
            self._apply_deletion(key, revision, EntrySource.store_changes, now)
        self.deferred_removals.record_answer(changes.revision)
        self.feed_revision = max(self.feed_revision, changes.revision)
        self._finish_changes(changes.revision, now)

    def apply_peer_changes(
        self,
        entries: Iterable[SharedEntry],
        revision: StoreOrder,
        now: float,
        source: EntrySource = EntrySource.peer_changes,
    ) -> None:
        """Apply changes received from another router, or read one by one.

        They must include every change after the revision that is known here,
        up to `revision`; if some are missing, `revision` is the known one.
        """
        if self.is_loaded and source.is_peer:
            self.sightings.record_listing(self.belief.age(now))
        self.belief.peer_revisions.hear(revision)
        written = []
        for entry in entries:
            if entry.value is None:
                self._apply_deletion(entry.key, entry.revision, source, now)
            else:
                self.replica.history.record_shared(entry)
                written.append(Entry(entry.key, entry.value, entry.revision))
        self._apply_entries(written, revision, source, now)
        self._finish_changes(revision, now)

    def apply_peer_snapshot(
        self,
        entries: Iterable[SharedEntry],
        revision: StoreOrder,
        now: float,
    ) -> None:
        """Apply all entries that another router knows."""
        self.belief.peer_revisions.hear(revision)
        if self.is_loaded:
            self.sightings.record_listing(self.belief.age(now))
        store_entries = []
        for entry in entries:
            if entry.value is not None:
                self.replica.history.record_shared(entry)
                store_entries.append(
                    Entry(entry.key, entry.value, entry.revision)
                )
        self._apply_all_entries(
            Snapshot(tuple(store_entries), revision),
            EntrySource.peer_snapshot,
            now,
        )

    def handle_store_contact(
        self, report: StoreContactReport, revision: StoreOrder, now: float
    ) -> None:
        """Remove deleted targets if a peer's contact shows that they are gone.

        The peer knows the store at `revision`. After a restore of the store,
        contact with it as it was before shows nothing.
        """
        if report.shows_gone and not is_of_later_era(
            self.known_revision, revision
        ):
            self.deferred_removals.end_grace_period(now)

    def remove_expired(self, now: float) -> None:
        """Remove deleted targets whose grace period has ended."""
        for key in self.deferred_removals.pop_expired(now):
            self._remove_entry(key, now)
        for key, target in self._departed.pop_released(now).items():
            self._targets[key] = target
            self._has_changed = True
        if self._has_changed:
            self._has_changed = False
            self._rebuild_indexes()

    def _apply_all_entries(
        self, snapshot: Snapshot, source: EntrySource, now: float
    ) -> None:
        missing = self.replica.keys_missing_from(snapshot)
        if self.is_loaded and is_of_later_era(
            snapshot.revision, self.known_revision
        ):
            # Targets that registered after the copy was made are missing.
            self.store_contact.record_restore(now)
            log_event(
                'store.restored',
                era=era_of(snapshot.revision),
                previous_era=era_of(self.known_revision),
                missing_entries=len(missing),
            )
        self._apply_entries(snapshot.entries, snapshot.revision, source, now)
        for key in missing:
            self._apply_deletion(key, snapshot.revision, source, now)
        self.replica.record_snapshot(snapshot.revision)
        self._finish_changes(snapshot.revision, now)

    def _finish_changes(self, revision: StoreOrder, now: float) -> None:
        self.known_revision = max(self.known_revision, revision)
        self.is_loaded = True
        self.remove_expired(now)
        if self.table is not None:
            self.ready.set()

    def _apply_entries(
        self,
        entries: Sequence[Entry],
        revision: StoreOrder,
        source: EntrySource,
        now: float,
    ) -> None:
        """Apply the entries of an answer at `revision`."""
        versions = [
            entry for entry in entries if self._decoder.is_table(entry.key)
        ]
        if versions:
            self.table_key = versions[0].key
        if self.table_in_force.apply(versions, source, now):
            self.table = self.table_in_force.table
            self._has_changed = True
        others = (
            entry for entry in entries if not self._decoder.is_table(entry.key)
        )
        # What a peer tells may be older than what it knows.
        told_revision = NO_REVISION if source.is_peer else revision
        for entry in self.replica.listed_entries(
            others, told_revision, self.known_revision
        ):
            self._apply_entry(entry, source, now)

    def _apply_entry(
        self, entry: Entry, source: EntrySource, now: float
    ) -> None:
        if not self.replica.is_newer(entry):
            return
        if self._decoder.is_target(entry.key):
            self._apply_target(entry, source, now)
        elif entry.key.startswith(ROUTERS_PREFIX):
            is_valid = _apply_router(entry, self._routers)
            self.invalid_entries += not is_valid
        elif self.evacuations.apply(entry, source):
            self.deferred_removals.cancel(entry.key)
        elif entry.key != VERSIONS_KEY:
            return
        self._has_changed = True
        self.replica.put(entry)

    def _apply_target(
        self, entry: Entry, source: EntrySource, now: float
    ) -> None:
        self.deferred_removals.cancel(entry.key)
        try:
            target = self._decoder.decode_target(entry.key, entry.value)
        except EntryError as exc:
            known = self._targets.pop(entry.key, None)
            if known is not None:
                self._departed.record(entry.key, known, entry.revision)
            self.invalid_entries += 1
            log_event('target.invalid', entry=entry.key, error=str(exc))
            return
        known = self._targets.get(entry.key)
        if known is not None and self._departed.is_late(
            entry, target, known, now
        ):
            return
        if target.leaving:
            self._departed.record(entry.key, target, entry.revision)
        else:
            target = self._departed.check(entry, target, now)
        self._targets[entry.key] = target
        self.sightings.record(target)
        log_event(
            'target.leaving' if target.leaving else 'target.listed',
            target=target.name,
            service=target.pool.name,
            address=target.address,
            revision=entry.revision,
            source=source.value,
        )

    def _apply_deletion(
        self, key: str, revision: StoreOrder, source: EntrySource, now: float
    ) -> None:
        if not (
            _is_removable(key, self._decoder)
            and self.replica.is_newer_deletion(key, revision)
        ):
            return
        self.replica.record_deletion(key, revision)
        if self.replica.entry(key) is None:
            return
        self.evacuations.record_deletion(key, revision, source)
        is_doubted = self.deferred_removals.remaining_seconds(now) > 0
        if is_doubted and key in self.evacuations.keys:
            # A restored store may lack it until it is written again.
            self.deferred_removals.defer(key, revision, now)
            return
        if is_doubted and key in self._targets:
            name = self._targets[key].name
            seconds = self.deferred_removals.defer(key, revision, now, name)
            log_event(
                'target.doubted',
                entry=key,
                revision=revision,
                source=source.value,
                seconds=round(seconds, 3),
            )
            return
        self._remove_entry(key, now)

    def _remove_entry(self, key: str, now: float) -> None:
        self._has_changed = True
        self.replica.remove(key)
        self.evacuations.remove(key, now)
        self._routers.pop(key, None)
        target = self._targets.pop(key, None)
        if target is not None:
            self._departed.record(key, target, self.known_revision)
            log_event('target.gone', target=target.name)

    def _rebuild_indexes(self) -> None:
        self._targets_by_id = {
            target.wire_id: target for target in self._targets.values()
        }
        self._by_service = _by_service(self._targets.values())
        serving = [
            target for target in self._targets.values() if not target.leaving
        ]
        self.serving_names = frozenset(target.name for target in serving)
        available = [
            target for target in serving if not self.evacuations.covers(target)
        ]
        self.available_names = frozenset(target.name for target in available)
        self._available = _by_service(available)
        leaving = (key for key, each in self._targets.items() if each.leaving)
        self.leaving_keys = frozenset((*leaving, *self.evacuations.keys))
        self.evacuations.set_known(
            frozenset(each.pool.data_centre for each in self._targets.values())
            | {each.data_centre for each in self._routers.values()}
        )
        for listener in self._listeners:
            listener()


def _by_service(targets: Iterable[Target]) -> dict[str, tuple[Target, ...]]:
    members: dict[str, list[Target]] = {}
    for target in targets:
        members.setdefault(target.pool.name, []).append(target)
    return {name: tuple(each) for name, each in members.items()}


def _is_removable(key: str, decoder: EntryDecoder) -> bool:
    """Return whether an entry is kept until its deletion is told."""
    return (
        decoder.is_target(key)
        or key.startswith(ROUTERS_PREFIX)
        or key == VERSIONS_KEY
        or decoder.evacuated_data_centre(key) is not None
    )


def _apply_router(entry: Entry, routers: dict[str, Hello]) -> bool:
    """Add, replace or remove a router; return whether the entry is valid."""
    hello = decode_router(entry.value)
    if hello is not None:
        routers[entry.key] = hello
        return True
    routers.pop(entry.key, None)
    log_event('router.invalid', entry=entry.key)
    return False
