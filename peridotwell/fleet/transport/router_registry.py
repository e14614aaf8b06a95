"""Registers routers in the store, each under a lease that it renews."""

import msgspec

from peridotwell.decoding import DECODING_ERRORS
from peridotwell.domain.addresses import is_endpoint
from peridotwell.domain.counts import Count
from peridotwell.domain.store_order import NO_ORDER
from peridotwell.errors import StoreConflict, StoreResponseLost
from peridotwell.fleet.transport.frames import Hello
from peridotwell.store.base import EntryStore, KeyValueStore

__all__ = (
    'ROUTERS_PREFIX',
    'RouterRegistration',
    'RouterRegistry',
    'decode_router',
)

ROUTERS_PREFIX = 'routers/'
MAX_ATTEMPTS = 3


class RouterEntry(
    msgspec.Struct,
    frozen=True,
    rename={'peer_address': 'peers', 'operator_address': 'operators'},
):
    """The stored entry of a router.

    The addresses are stored under their outer names `peers` and `operators`.
    """

    sender: Count
    name: str
    data_centre: str
    peer_address: str
    operator_address: str
    incarnation: Count
    link_bytes_per_second: Count = 0
    handover_address: str = ''
    takes_large_changes: bool = False


def decode_router(content: bytes) -> Hello | None:
    """Return the router of an entry; None if it cannot be decoded."""
    try:
        entry = msgspec.json.decode(content, type=RouterEntry)
    except DECODING_ERRORS:
        return None
    if not is_endpoint(entry.peer_address):
        return None
    if entry.handover_address and not is_endpoint(entry.handover_address):
        return None
    return Hello(**msgspec.structs.asdict(entry))


class RouterRegistration:
    """Keeps this router's entry in the store under a lease."""

    def __init__(
        self,
        store: EntryStore,
        own: Hello,
        lease_seconds: float,
    ) -> None:
        self._store = store
        self._own = own
        self._lease_seconds = lease_seconds
        self._lease = ''

    async def renew(self) -> None:
        """Renew the lease; register again if it has expired.

        Raises StoreError.
        """
        if self._lease:
            try:
                await self._store.renew_lease(self._lease)
            except StoreConflict:
                self._lease = ''
            else:
                return
        await self._register()

    async def _register(self) -> None:
        lease = await self._store.grant_lease(self._lease_seconds)
        key = f'{ROUTERS_PREFIX}{self._own.data_centre}/{self._own.name}'
        document = msgspec.json.encode(
            RouterEntry(
                self._own.sender,
                self._own.name,
                self._own.data_centre,
                self._own.peer_address,
                self._own.operator_address,
                self._own.incarnation,
                self._own.link_bytes_per_second,
                self._own.handover_address,
                self._own.takes_large_changes,
            ),
        )
        for _ in range(MAX_ATTEMPTS):
            entry = await self._store.read(key)
            try:
                await self._store.write(
                    key,
                    document,
                    expected=entry.revision if entry else NO_ORDER,
                    lease=lease,
                )
            except (StoreConflict, StoreResponseLost):
                continue
            self._lease = lease
            return
        raise StoreResponseLost('the registration is not confirmed')


class RouterRegistry(RouterRegistration):
    """Registers this router and reads the entries of the others."""

    def __init__(
        self,
        store: KeyValueStore,
        own: Hello,
        lease_seconds: float,
    ) -> None:
        super().__init__(store, own, lease_seconds)
        self._listing = store

    async def other_routers(self) -> tuple[Hello, ...]:
        """Return the other registered routers. Raises StoreError."""
        entries = await self._listing.read_prefix(ROUTERS_PREFIX)
        found = (decode_router(entry.value) for entry in entries)
        return tuple(
            hello
            for hello in found
            if hello is not None and hello.sender != self._own.sender
        )
