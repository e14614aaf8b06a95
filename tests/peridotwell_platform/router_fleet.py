"""Several routers, with targets that crash, name limits or are brittle.

A target that begins to answer a request with a certain part in its prompt
crashes: it closes its port and all connections, and comes back as another
incarnation. A target that names a limit does so in all its answers, and so
does one that is brittle: it crashes when it has to reject more requests in a
second than it has named.
"""

import itertools
from dataclasses import dataclass, field

import httpcore
import trio

from peridotwell.serving.asgi import serve_http
from tests.peridotwell_platform import stand_in
from tests.peridotwell_platform.router_setup import (
    LOCALHOST,
    call,
    caller_headers,
    configuration,
    start_router,
    start_store,
    target_entry,
)
from tests.ports import find_free_port

DOWN_SECONDS = 0.2
WORK_SECONDS = 0.02
REJECTION_WINDOW_SECONDS = 1
PART_TOKENS = 200
# Of the route and of its callers.
DEADLINE_MS = 3000
CONFIG = configuration(
    100,
    stand_in.route(
        'draft', 'streaming', max_attempts=1, timeout_ms=DEADLINE_MS
    ),
    stand_in.route('ask', 'streaming', resumable=True),
)


@dataclass
class FaultyTarget:
    """A target that crashes when it begins to answer on `crashing_part`.

    `limit` is the limit that it names, or empty. With `slots`, it rejects
    requests while so many run; 0 stands for any number. If `max_rejections`
    is not empty, it names this number, and from `brittle_from` on it crashes
    when it rejects more requests in a second.
    """

    name: str
    store: stand_in.StoreStandIn
    crashing_part: str
    limit: str = ''
    slots: int = 0
    work_seconds: float = WORK_SECONDS
    down_seconds: float = DOWN_SECONDS
    max_rejections: str = ''
    brittle_from: float = 0
    running: int = 0
    rejections: list[float] = field(default_factory=list)
    falls: list[float] = field(default_factory=list)
    starts: list[float] = field(default_factory=list)
    port: int = field(default_factory=find_free_port)
    crashes: int = 0
    received: list[dict[str, str]] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)
    _running: trio.CancelScope = field(default_factory=trio.CancelScope)

    async def run(self) -> None:
        """Serve; after each crash, start again as another incarnation."""
        address = f'{LOCALHOST}:{self.port}'
        for number in itertools.count():
            key = f'servers/{self.name}-{number}'
            self._running = trio.CancelScope()
            with self._running:
                async with trio.open_nursery() as nursery:
                    await nursery.start(serve_http, self._handle, address)
                    self.store.put(key, target_entry(address))
                    self.starts.append(trio.current_time())
                    await trio.sleep_forever()
            self.store.delete(key)
            await trio.sleep(self.down_seconds)

    def fall_over(self) -> None:
        """Crash now."""
        self.falls.append(trio.current_time())
        self._running.cancel()

    async def _handle(self, exchange) -> None:
        await exchange.body()
        self.received.append(dict(exchange.headers))
        self.arrivals.append(trio.current_time())
        if self.slots and self.running >= self.slots:
            await self._reject(exchange)
            return
        self.running += 1
        try:
            await self._respond(exchange)
        finally:
            self.running -= 1

    async def _reject(self, exchange) -> None:
        now = trio.current_time()
        self.rejections.append(now)
        fields = (
            ('x-request-id', exchange.headers['x-request-id']),
            ('x-not-executed', '1'),
            *self._notice_fields(),
        )
        await exchange.respond(503, b'', fields)
        recent = [
            at
            for at in self.rejections
            if at > now - REJECTION_WINDOW_SECONDS and at >= self.starts[-1]
        ]
        if (
            self.max_rejections
            and now >= self.brittle_from
            and len(recent) > float(self.max_rejections)
        ):
            self.fall_over()

    def _notice_fields(self):
        fields = [('x-replica-load', f'{self.running},0,{self.slots or 6}')]
        if self.limit:
            fields.append(('server-limit', self.limit))
        if self.max_rejections:
            fields.append(('server-brittle', self.max_rejections))
        return tuple(fields)

    async def _respond(self, exchange) -> None:
        await trio.sleep(self.work_seconds)
        fields = (
            ('x-request-id', exchange.headers['x-request-id']),
            ('x-server-seal', f'seal.{self.name}'),
            *self._notice_fields(),
        )
        await exchange.start_response(200, fields)
        if self.crashing_part in exchange.headers['x-prompt-prefix']:
            self.crashes += 1
            self._running.cancel()
            await trio.sleep_forever()
        await exchange.write(b'id: 1\ndata: x\n\n')
        await trio.sleep(self.work_seconds)
        await exchange.finish()


@dataclass
class RouterFleet:
    """Routers and targets, and a caller of all routers."""

    nursery: trio.Nursery
    store: stand_in.StoreStandIn
    store_address: str
    targets: list[FaultyTarget]
    crashing_part: str
    callers: list[str] = field(default_factory=list)
    _numbers: itertools.count = field(default_factory=itertools.count)

    async def start_router(self) -> int:
        """Start one more router; return its number."""
        number = len(self.callers)
        started = await start_router(
            self.nursery,
            f'r-{number}',
            self.store_address,
            f'{LOCALHOST}:{find_free_port()}',
        )
        self.callers.append(started.address)
        return number

    async def send(self, router, *parts, path='/draft/x'):
        """Send a request with these shared parts and one of its own.

        Returns the status of the response.
        """
        resp = await self.get(router, *parts, path=path)
        return resp.status

    async def get(self, router, *parts, path='/draft/x'):
        """Send such a request and return the response."""
        number = next(self._numbers)
        names = (*parts, f'own{number}')
        prompt = ','.join(f'{name}:{PART_TOKENS}' for name in names)
        headers = caller_headers(
            number,
            x_deadline_ms=str(DEADLINE_MS),
            x_model='m',
            x_token_counts=f'{PART_TOKENS * len(names)},40',
            x_prompt_prefix=prompt,
        )
        body = b'question %d' % number
        async with httpcore.AsyncConnectionPool() as pool:
            return await call(
                pool, self.callers[router], 'POST', path, headers, body
            )

    async def wait_until_targets_serve(self) -> None:
        """Wait until all targets are back and the routers know them."""
        with trio.fail_after(5):
            while len(self.store.items) < self._item_count():
                await trio.sleep(0.01)
        await trio.sleep(0.1)

    def _item_count(self) -> int:
        """Return the number of items that the store has in calm times."""
        return 1 + len(self.targets) + len(self.callers)

    def crashes(self) -> int:
        """Return how often targets have crashed."""
        return sum(target.crashes for target in self.targets)

    def count_received(self, part: str) -> int:
        """Return how many requests with a part have reached targets."""
        return sum(
            part in headers['x-prompt-prefix']
            for target in self.targets
            for headers in target.received
        )


async def start_fleet(nursery, crashing_part, routers=3, targets=4):
    """Start the routers and targets, and wait until they serve."""
    store, address = await start_store(nursery, CONFIG)
    all_targets = [
        FaultyTarget(f'i-{number}', store, crashing_part)
        for number in range(targets)
    ]
    for target in all_targets:
        nursery.start_soon(target.run)
    fleet = RouterFleet(nursery, store, address, all_targets, crashing_part)
    for _ in range(routers):
        await fleet.start_router()
    await fleet.wait_until_targets_serve()
    return fleet
