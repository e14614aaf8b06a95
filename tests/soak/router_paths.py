"""The ways of one router to the targets, which can be cut.

Each router reads the store through a view in which the address of each target
is that of a proxy of the router's own. A router that gets entries from another
one, while the store is away, uses the paths of that router for them.
"""

import base64

import msgspec

__all__ = ('RouterView',)

TARGETS_PREFIX = 'servers/'


class RouterView:
    """The store as one router sees it; `addresses` are those of targets.

    With a `refusal`, a status, it is turned away while others are served.
    """

    def __init__(self, store, addresses: dict[str, str]) -> None:
        self.refusal = 0
        self._store = store
        self._addresses = {
            f'{TARGETS_PREFIX}{name}': address
            for name, address in addresses.items()
        }

    async def handle(self, exchange) -> None:
        """Answer a call to the store, with the addresses of the proxies."""
        if self.refusal:
            era = ('store-era', str(self._store.era))
            await exchange.respond_json({}, self.refusal, (era,))
            return
        await self._store.handle(_ViewedExchange(exchange, self._addresses))


class _ViewedExchange:
    """An exchange with the store that changes the entries of targets."""

    def __init__(self, exchange, addresses: dict[str, str]) -> None:
        self._exchange = exchange
        self._addresses = addresses

    def __getattr__(self, name: str):
        return getattr(self._exchange, name)

    async def respond_json(self, document, status=200, fields=()) -> None:
        copy = msgspec.json.decode(msgspec.json.encode(document))
        for item in (copy, *copy.get('items', ()), *copy.get('events', ())):
            if item.get('key') in self._addresses and 'value' in item:
                self._change_address(item)
        await self._exchange.respond_json(copy, status, fields)

    def _change_address(self, item) -> None:
        entry = msgspec.json.decode(base64.b64decode(item['value']))
        entry['address'] = self._addresses[item['key']]
        item['value'] = base64.b64encode(msgspec.json.encode(entry)).decode()
