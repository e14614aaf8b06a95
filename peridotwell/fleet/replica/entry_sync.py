"""Exchanges store entries with other routers, for routers that lag behind.

Updates tell the store revision that their sender knows. A router that is behind
another one for some time requests the entries that it lacks, so it stays up to
date when the store refuses its calls. Updates also tell the version number of
the configuration in force: the store may hold a lower one that was executed
later, and then only the other routers can tell the higher one.
"""

import sys
from collections.abc import Sequence

from peridotwell.domain.store_order import NO_ORDER, StoreOrder
from peridotwell.fleet.relays.relay_protocol import RelayProtocol
from peridotwell.fleet.replica.change_forwarding import urgent_entries
from peridotwell.fleet.replica.packed_entries import (
    PackError,
    pack_entries,
    unpack_entries,
)
from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.fleet.transport.frames import EntriesPull, EntriesPush
from peridotwell.fleet.transport.peer_transport import PeerTransport
from peridotwell.fleet.transport.peers import Peer, Peers, choose_peer
from peridotwell.logs import log_event
from peridotwell.store.revisions import is_of_later_era

__all__ = ('EntrySync',)

# A router that lags behind a peer for this time requests the missing entries.
BEHIND_SECONDS = 0.4
PULL_INTERVAL_SECONDS = 0.5
# All entries are requested for a higher version, and seldom.
VERSION_PULL_INTERVAL_SECONDS = 2.0
ALL_REVISIONS = NO_ORDER
# A snapshot takes up to this time on a slow link. A peer's answer is as large
# and would delay it.
SNAPSHOT_SECONDS = 1.0


class EntrySync:
    """Requests missing entries from peers, and answers their requests."""

    def __init__(
        self,
        peers: Peers,
        transport: PeerTransport,
        directory: ServiceDirectory,
        relay_protocol: RelayProtocol,
    ) -> None:
        self._own = peers.own.sender
        self._peers = peers
        self._transport = transport
        self._directory = directory
        self._relay_protocol = relay_protocol
        self._behind_since: float | None = None
        self._lower_since: float | None = None
        self._pulled_at = float(0)
        # The wire id of the peer that was asked last.
        self._asked: int | None = None

    def pull_if_behind(self, now: float) -> None:
        """Request entries if a peer has had a later revision for some time.

        In a large fleet, none are requested if the store has answered
        meanwhile, to reduce the load of the relays, nor while it sends a
        snapshot, unless the peer tells of a restore.
        """
        self._pull_if_lower(now)
        own = self._directory.known_revision
        peer_ahead = self._peer_ahead(own, now)
        if peer_ahead is None:
            self._behind_since = None
            return
        if self._relay_protocol.is_enabled() and self._store_has_answered():
            self._behind_since = now
            return
        if self._behind_since is None:
            self._behind_since = now
        is_late = (
            now - self._behind_since >= BEHIND_SECONDS
            and not self._may_get_snapshot(peer_ahead, now)
            and not self._relay_protocol.expects_changes(now)
        )
        if is_late and now - self._pulled_at >= PULL_INTERVAL_SECONDS:
            pull = EntriesPull(self._own, own, takes_packed=True)
            self._asked = peer_ahead.wire_id
            if not self._transport.send(peer_ahead.hello.peer_address, pull):
                # The connection is being opened; a later tick sends it, unless
                # another peer can be asked before.
                return
            self._pulled_at = now
            log_event(
                'entries.pulled',
                router=peer_ahead.hello.name,
                revision=own,
                ahead=peer_ahead.known_revision,
            )

    def told_table_version(self) -> int:
        """Return the number of the configuration in force for updates.

        It is 0 without a configuration, or if no message can hold the number.
        """
        table = self._directory.table
        if table is None or not 0 <= table.version <= sys.maxsize:
            return 0
        return table.version

    def hears_higher_version(self, now: float) -> bool:
        """Return whether a peer goes by a higher version than was seen here."""
        return bool(self._peers_with_higher_version(now))

    def _pull_if_lower(self, now: float) -> None:
        """Request all entries if a peer has gone by a higher version for long.

        A peer that also knows a later revision is asked for what has changed.
        """
        higher = self._peers_with_higher_version(now)
        if not higher:
            self._lower_since = None
            return
        if self._lower_since is None:
            self._lower_since = now
        known = self._directory.known_revision
        peer = choose_peer(
            self._own, [each for each in higher if each.known_revision <= known]
        )
        is_due = (
            now - self._lower_since >= BEHIND_SECONDS
            and now - self._pulled_at >= VERSION_PULL_INTERVAL_SECONDS
        )
        if peer is None or not is_due:
            return
        pull = EntriesPull(self._own, ALL_REVISIONS, takes_packed=True)
        if self._transport.send(peer.hello.peer_address, pull):
            self._pulled_at = now
            log_event(
                'entries.pulled',
                router=peer.hello.name,
                revision=known,
                ahead=peer.known_revision,
                version=peer.table_version,
            )

    def _peers_with_higher_version(self, now: float) -> list[Peer]:
        """Return the peers that go by a higher version than was seen here."""
        if not self._directory.is_loaded:
            return []
        number = self._directory.table_in_force.highest_number()
        return [
            peer
            for peer in self._peers.known_peers()
            if peer.table_version > number and self._peers.is_live(peer, now)
        ]

    def push_entries(self, pull: EntriesPull, now: float) -> None:
        """Send a peer the entries that it lacks, the urgent ones first.

        A configuration among them takes up to a second on a slow link.
        """
        peer = self._peers.peer(pull.sender)
        directory = self._directory
        if peer is None or not directory.is_loaded:
            return
        self._push_urgent_entries(pull, peer, now)
        is_complete = not directory.replica.has_all_deletions_since(
            pull.revision
        )
        push = EntriesPush(
            self._own,
            directory.known_revision,
            directory.replica.changes_since(
                NO_ORDER if is_complete else pull.revision
            ),
            is_complete,
            directory.deferred_removals.remaining_seconds(now),
            pull.revision,
        )
        if pull.takes_packed:
            push = pack_entries(push)
        self._transport.send(peer.hello.peer_address, push)

    def _push_urgent_entries(
        self, pull: EntriesPull, peer: Peer, now: float
    ) -> None:
        """Send some entries ahead; the peer stays behind the others."""
        changed = self._directory.replica.changes_since(pull.revision)
        urgent = tuple(urgent_entries(changed, self._directory.leaving_keys))
        if 0 < len(urgent) < len(changed):
            push = EntriesPush(
                self._own,
                pull.revision,
                urgent,
                removal_grace_seconds=(
                    self._directory.deferred_removals.remaining_seconds(now)
                ),
                base_revision=pull.revision,
            )
            self._transport.send(peer.hello.peer_address, push)

    def apply_entries(self, push: EntriesPush, now: float) -> None:
        """Apply the entries that a peer has sent.

        The request may be that of this router before its last start: then
        entries between what is known now and what was known then are missing.
        """
        try:
            push = unpack_entries(push)
        except PackError as exc:
            log_event('entries.damaged', error=str(exc))
            return
        self._directory.store_contact.doubt_as_peer(
            push.removal_grace_seconds,
            max((entry.revision for entry in push.entries), default=NO_ORDER),
            now,
        )
        if push.is_complete:
            self._directory.apply_peer_snapshot(
                push.entries, push.revision, now
            )
            return
        known = self._directory.known_revision
        is_missing_some = push.base_revision > known
        if is_missing_some and not self._directory.is_loaded:
            return
        self._directory.apply_peer_changes(
            push.entries, known if is_missing_some else push.revision, now
        )

    def _may_get_snapshot(self, peer_ahead: Peer, now: float) -> bool:
        """Return whether the store may be sending what a peer knows.

        A restore that the peer has told is the reason to ask the store, which
        this router may not reach: nothing is known of an answer.
        """
        requested_at = self._directory.snapshot_requested_at
        return (
            requested_at is not None
            and now - requested_at < SNAPSHOT_SECONDS
            and not is_of_later_era(
                peer_ahead.known_revision, self._directory.known_revision
            )
        )

    def _store_has_answered(self) -> bool:
        """Return whether the store has answered since `_behind_since`."""
        since = self._behind_since
        return (
            since is not None
            and self._directory.store_contact.answered_at > since
        )

    def _peer_ahead(self, revision: StoreOrder, now: float) -> Peer | None:
        """Return a peer with a later revision than `revision`, or None.

        This is the peer with the latest revision; in a large fleet, any peer
        with a later one and a fast link, as an answer may hold a large
        configuration. If there are others, it is not the one that was asked
        last, which may not answer.
        """
        peers_ahead = [
            peer
            for peer in self._peers.known_peers()
            if peer.known_revision > revision and self._peers.is_live(peer, now)
        ]
        if self._relay_protocol.is_enabled():
            return choose_peer(self._own, _with_fast_links(peers_ahead))
        return max(
            peers_ahead,
            key=lambda peer: (peer.wire_id != self._asked, peer.known_revision),
            default=None,
        )


def _with_fast_links(peers: Sequence[Peer]) -> list[Peer]:
    """Return the peers whose links are at least half as fast as the fastest."""
    rates = [peer.hello.link_bytes_per_second for peer in peers]
    fastest = max(rates, default=0)
    return [
        peer
        for peer, rate in zip(peers, rates, strict=True)
        if 2 * rate >= fastest
    ]
