"""Routers known to the platform, each under a lease that it renews."""

import msgspec

from peridotwell.errors import StoreAnswerLost, StoreConflict
from peridotwell.fleet.frames import Hello
from peridotwell.store.base import KeyValueStore

__all__ = ('Registry',)

PREFIX = 'routers/'
MAX_ATTEMPTS = 3


class Registered(msgspec.Struct, frozen=True):
    """One router's entry."""

    sender: int
    name: str
    data_centre: str
    peers: str
    operators: str
    incarnation: int


class Registry:
    """This router's entry, and a reader of the others'."""

    def __init__(
        self,
        store: KeyValueStore,
        own: Hello,
        lease_seconds: float,
    ) -> None:
        self._store = store
        self._own = own
        self._lease_seconds = lease_seconds
        self._lease = ''

    async def renew(self) -> None:
        """Renew the lease, registering anew if it has lapsed.

        Raises StoreError.
        """
        if self._lease:
            try:
                await self._store.keep_lease(self._lease)
            except StoreConflict:
                self._lease = ''
            else:
                return
        await self._register()

    async def others(self) -> tuple[Hello, ...]:
        """Return the other registered routers. Raises StoreError."""
        entries = await self._store.read_prefix(PREFIX)
        hellos = []
        for entry in entries:
            try:
                found = msgspec.json.decode(entry.value, type=Registered)
            except msgspec.DecodeError:
                continue
            if found.sender != self._own.sender:
                hellos.append(Hello(**msgspec.structs.asdict(found)))
        return tuple(hellos)

    async def _register(self) -> None:
        lease = await self._store.grant_lease(self._lease_seconds)
        key = f'{PREFIX}{self._own.data_centre}/{self._own.name}'
        document = msgspec.json.encode(
            Registered(
                self._own.sender,
                self._own.name,
                self._own.data_centre,
                self._own.peers,
                self._own.operators,
                self._own.incarnation,
            ),
        )
        for _ in range(MAX_ATTEMPTS):
            entry = await self._store.read(key)
            try:
                await self._store.write(
                    key,
                    document,
                    expected=entry.revision if entry else 0,
                    lease=lease,
                )
            except (StoreConflict, StoreAnswerLost):
                continue
            self._lease = lease
            return
        raise StoreAnswerLost('the registration is not confirmed')
