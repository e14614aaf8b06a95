"""The record, in the store, of the software versions that have served.

A stream is resumed only at the version that began it. A router that starts asks
the others which versions have served. If all of them start at once, none knows:
then it goes by this record. One router writes it under a lease that outlasts
all streams, and outages of the store in which it cannot be renewed.
"""

import math
from collections.abc import Iterable, Mapping

import msgspec

from peridotwell.decoding import DECODING_ERRORS
from peridotwell.domain.counts import Count
from peridotwell.domain.store_order import NO_ORDER, StoreOrder
from peridotwell.errors import StoreConflict
from peridotwell.fleet.transport.peers import Peers
from peridotwell.policy.placement.rendezvous import first_by_score
from peridotwell.policy.versions.service_versions import ServiceVersions
from peridotwell.store.base import Entry, EntryStore

__all__ = (
    'VERSIONS_KEY',
    'RecordedVersions',
    'VersionRecordWriter',
    'decode_versions',
)

VERSIONS_KEY = 'software-versions'
# Without the record, a fleet that starts again looks like a new one. Stores
# give leases of ten minutes at most.
LEASE_SECONDS = 300.0
RENEWAL_SECONDS = 20.0
# After a common start, routers know each other within this time, so that one of
# them writes the record, and not each.
START_SECONDS = 2.0

# Wire ids of software versions, by service.
RecordedVersions = Mapping[str, frozenset[int]]

_decoder = msgspec.json.Decoder(dict[str, frozenset[Count]])


def decode_versions(content: bytes) -> RecordedVersions | None:
    """Return the recorded versions; None if they cannot be decoded."""
    try:
        return _decoder.decode(content)
    except DECODING_ERRORS:
        return None


def _encode_versions(versions: RecordedVersions) -> bytes:
    document = {
        service: sorted(versions[service]) for service in sorted(versions)
    }
    return msgspec.json.encode(document)


class VersionRecordWriter:
    """Keeps the record up to date while this router is the one to do so."""

    def __init__(
        self, store: EntryStore, peers: Peers, versions: ServiceVersions
    ) -> None:
        self._store = store
        self._peers = peers
        self._versions = versions
        self._lease = ''
        self._renewed_at = float(0)
        # The revision of the last record that this router has written.
        self._revision = NO_ORDER
        self._written_at = -math.inf
        self._started_at: float | None = None

    async def update(
        self,
        services: Iterable[str],
        known: Entry | None,
        known_revision: StoreOrder,
        now: float,
    ) -> None:
        """Write the versions of `services`, or renew the lease, if needed.

        `known` is the record as of the store's `known_revision`. Raises
        StoreError.
        """
        if known_revision < self._revision:
            return
        versions = self._versions.recent_versions(services, now)
        if known is None and not versions:
            return
        content = _encode_versions(versions)
        own = Entry(VERSIONS_KEY, content, self._revision)
        if self._lease and known == own:
            await self._renew(now)
            return
        if not self._yields_to(known, now):
            await self._write(content, known, now)

    def is_due(self, now: float) -> bool:
        """Return whether this router is the one that writes the record."""
        if self._started_at is None:
            self._started_at = now
        is_writer = now - self._started_at >= START_SECONDS and self._is_chosen(
            now
        )
        if not is_writer:
            self._lease = ''
        return is_writer

    def _is_chosen(self, now: float) -> bool:
        if self._peers.own_is_leaving:
            return False
        routers = [
            peer.wire_id
            for peer in self._peers.live_peers(now)
            if not peer.is_leaving
        ]
        own = self._peers.own.sender
        return first_by_score(VERSIONS_KEY, (own, *routers), 1) == [own]

    def _yields_to(self, known: Entry | None, now: float) -> bool:
        """Return whether a record that another router has written stays.

        Two that do not hear each other would replace it again and again.
        """
        is_of_other = known is not None and known.revision != self._revision
        return is_of_other and now - self._written_at < RENEWAL_SECONDS

    async def _renew(self, now: float) -> None:
        if now - self._renewed_at < RENEWAL_SECONDS:
            return
        try:
            await self._store.renew_lease(self._lease)
        except StoreConflict:
            self._lease = ''
            return
        self._renewed_at = now

    async def _write(
        self, content: bytes, known: Entry | None, now: float
    ) -> None:
        if not self._lease:
            self._lease = await self._store.grant_lease(LEASE_SECONDS)
            self._renewed_at = now
        try:
            self._revision = await self._store.write(
                VERSIONS_KEY,
                content,
                expected=known.revision if known else NO_ORDER,
                lease=self._lease,
            )
            self._written_at = now
        except StoreConflict:
            # Another router has written, or the lease has ended.
            self._lease = ''
