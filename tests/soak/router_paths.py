"""The ways of one router to the targets, which can be cut.

Each router reads the store through a view in which the address of each target
is that of a proxy of the router's own. A router that gets entries from another
one, while the store is away, uses the paths of that router for them.
"""

import base64

import msgspec
import trio

from peridotwell.serving.asgi import serve_http
from tests.soak.proxy import FaultProxy, start_proxy

__all__ = ('ProxyGroup', 'RouterPaths', 'start_paths')

TARGETS_PREFIX = 'servers/'


class RouterPaths:
    """The proxies of one router, by the name of the target."""

    def __init__(self, store) -> None:
        self.proxies: dict[str, FaultProxy] = {}
        self._store = store

    async def handle(self, exchange) -> None:
        """Answer a call to the store, with the addresses of the proxies."""
        await self._store.handle(_ViewedExchange(exchange, self._addresses()))

    def _addresses(self) -> dict[str, str]:
        return {
            f'{TARGETS_PREFIX}{name}': proxy.address
            for name, proxy in self.proxies.items()
        }


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


class ProxyGroup:
    """Proxies that have the same faults."""

    def __init__(self) -> None:
        self.members: list[FaultProxy] = []

    def hold(self, *directions: str) -> None:
        """Stop the flow of bytes in the given directions."""
        for proxy in self.members:
            proxy.hold(*directions)

    def refuse(self) -> None:
        """Reset all connections, and new ones too."""
        for proxy in self.members:
            proxy.refuses_connections = True
        self.reset_connections()

    def clear_faults(self) -> None:
        """End all faults and forward the bytes that were held."""
        for proxy in self.members:
            proxy.clear_faults()

    def reset_connections(self) -> None:
        """Reset every open connection."""
        for proxy in self.members:
            proxy.reset_connections()


async def start_paths(
    nursery: trio.Nursery, store, targets: dict[str, str]
) -> tuple[RouterPaths, FaultProxy]:
    """Start the proxies of one router; return them and that to the store.

    `targets` has the address of each target by its name.
    """
    paths = RouterPaths(store)
    for name, address in targets.items():
        paths.proxies[name] = await start_proxy(nursery, address)
    address = await nursery.start(serve_http, paths.handle, '127.0.0.1:0')
    return paths, await start_proxy(nursery, address)
