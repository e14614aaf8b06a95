"""The ways of one router to the targets, which can be cut.

Each router reads the store through a view in which the address of each target
is that of a proxy of the router's own. A router that gets entries from another
one, while the store is away, uses the paths of that router for them.
"""

import base64
import random

import msgspec
import trio

__all__ = ('RouterView',)

TARGETS_PREFIX = 'servers/'
WATCH = 'kv-watch'


class RouterView:
    """The store as one router sees it; `addresses` are those of targets.

    With a `refusal`, a status, it is turned away while others are served. Each
    answer takes `answer_seconds`; watches that wait are told of changes up to
    `wake_seconds` late, and a `lost_share` of the answers never comes.
    """

    def __init__(
        self, store, addresses: dict[str, str], draws: random.Random
    ) -> None:
        self._random = draws
        self.clear_faults()
        self._store = store
        self._addresses = {
            f'{TARGETS_PREFIX}{name}': address
            for name, address in addresses.items()
        }

    def clear_faults(self) -> None:
        """Let the store answer this router as it answers others."""
        self.refusal = 0
        self.answer_seconds = float(0)
        self.wake_seconds = float(0)
        self.lost_share = float(0)

    async def handle(self, exchange) -> None:
        """Answer a call to the store, with the addresses of the proxies."""
        if self.refusal:
            era = ('store-era', str(self._store.era))
            await exchange.respond_json({}, self.refusal, (era,))
            return
        viewed = _ViewedExchange(exchange, self._addresses, self.hold_back)
        await self._store.handle(viewed)

    async def hold_back(self, path: str, document) -> None:
        """Wait before an answer is sent, for ever if it is to be lost."""
        if self._random.random() < self.lost_share:
            await trio.sleep_forever()
        await trio.sleep(self.answer_seconds)
        if path.endswith(WATCH) and document.get('events'):
            await trio.sleep(self._random.uniform(0, self.wake_seconds))


class _ViewedExchange:
    """An exchange with the store that changes the entries of targets."""

    def __init__(self, exchange, addresses: dict[str, str], hold_back) -> None:
        self._exchange = exchange
        self._addresses = addresses
        self._hold_back = hold_back

    def __getattr__(self, name: str):
        return getattr(self._exchange, name)

    async def respond_json(self, document, status=200, fields=()) -> None:
        copy = msgspec.json.decode(msgspec.json.encode(document))
        for item in (copy, *copy.get('items', ()), *copy.get('events', ())):
            if item.get('key') in self._addresses and 'value' in item:
                self._change_address(item)
        await self._hold_back(self._exchange.path, copy)
        await self._exchange.respond_json(copy, status, fields)

    def _change_address(self, item) -> None:
        entry = msgspec.json.decode(base64.b64decode(item['value']))
        entry['address'] = self._addresses[item['key']]
        item['value'] = base64.b64encode(msgspec.json.encode(entry)).decode()
