"""Several routers, each with paths of its own to the targets that can be cut.

Each router reads the store through a view in which the address of each target
is that of a proxy, so that one router can lose its paths while the others, the
callers and the store are reached.
"""

import base64
import itertools
import socket
from contextlib import suppress
from dataclasses import dataclass, field

import httpcore
import msgspec
import trio

from peridotwell.fleet.replica.service_directory import ServiceDirectory
from peridotwell.fleet.transport.peer_transport import PeerTransport
from peridotwell.serving.asgi import serve_http
from tests.peridotwell_platform import router_setup, stand_in
from tests.peridotwell_platform.router_setup import (
    LOCALHOST,
    configuration,
    target_entry,
)
from tests.ports import find_free_port
from tests.soak.proxy import FaultProxy

# Connections that fill the queue of a socket that listens and accepts none.
QUEUE_FILLERS = 3
CONFIG = configuration(
    100,
    stand_in.route('read', 'idempotent', timeout_ms=4000),
    stand_in.route('book', 'non_idempotent', max_attempts=1),
    stand_in.route('draft', 'streaming', max_attempts=1),
    stand_in.route('ask', 'streaming', resumable=True, timeout_ms=4000),
)


class Path:
    """The way of one router to one target."""

    def __init__(self, nursery: trio.Nursery, target_address: str) -> None:
        self.port = find_free_port()
        self._nursery = nursery
        self._proxy = FaultProxy(target_address)
        self._listening = trio.CancelScope()
        self._fillers: list[socket.socket] = []

    async def open(self) -> None:
        """Let connections pass, also those that were held."""
        for filler in self._fillers:
            filler.close()
        self._fillers = []
        self._proxy.clear_faults()
        await self._nursery.start(self._listen)

    async def cut(self, how: str) -> None:
        """Cut the path.

        With 'refused', connections are reset and new ones refused; with
        'hanging', no packet passes; with 'old ones live', only new
        connections are refused.
        """
        self._listening.cancel()
        await trio.sleep(0.01)
        if how == 'refused':
            self._proxy.reset_connections()
        if how == 'hanging':
            self._proxy.hold('requests', 'responses')
            self._fill_queue()

    async def _listen(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        listeners = await trio.open_tcp_listeners(self.port, host=LOCALHOST)
        with trio.CancelScope() as self._listening:
            task_status.started()
            await trio.serve_listeners(
                self._proxy.serve, listeners, handler_nursery=self._nursery
            )
        for listener in listeners:
            await listener.aclose()

    def _fill_queue(self) -> None:
        queue = socket.socket()
        queue.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        queue.bind((LOCALHOST, self.port))
        queue.listen(0)
        self._fillers.append(queue)
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            with suppress(BlockingIOError):
                filler.connect((LOCALHOST, self.port))
            self._fillers.append(filler)


@dataclass
class StoreView:
    """The store as one router sees it."""

    store: stand_in.StoreStandIn
    paths: dict[str, Path]
    is_cut: bool = False
    # How much later than it was made an answer arrives.
    delay_seconds: float = 0

    async def handle(self, exchange) -> None:
        """Answer a call, with the addresses of the paths."""
        body = await exchange.body()
        await self._pass()
        name = exchange.path.removeprefix('/peridotwell/')
        status, document = await self.store._run(exchange, name, body)
        await trio.sleep(self.delay_seconds)
        await self._pass()
        for item in (*document.get('items', ()), *document.get('events', ())):
            self._rewrite(item)
        era = ('store-era', str(self.store.era))
        await exchange.respond_json(document, status, (era,))

    async def _pass(self) -> None:
        """Wait while no packet passes."""
        while self.is_cut:
            await trio.sleep(0.005)

    def _rewrite(self, item) -> None:
        path = self.paths.get(item['key'].removeprefix('servers/'))
        if path is None or 'value' not in item:
            return
        entry = msgspec.json.decode(base64.b64decode(item['value']))
        entry['address'] = f'{LOCALHOST}:{path.port}'
        item['value'] = base64.b64encode(msgspec.json.encode(entry)).decode()


class CopyingStore(stand_in.StoreStandIn):
    """A store whose answers may be changed without changing its items."""

    async def _run(self, exchange, name, body):
        status, document = await super()._run(exchange, name, body)
        return status, msgspec.json.decode(msgspec.json.encode(document))


@dataclass
class FleetRouter:
    """One router, its paths, and the scope that ends it at once."""

    callers: str
    paths: dict[str, Path]
    scope: trio.CancelScope
    view: StoreView
    transport: PeerTransport
    directory: ServiceDirectory
    nursery: trio.Nursery
    # The other routers that it does not reach.
    cut_from: set[str] = field(default_factory=set)
    # By address, how much later its messages arrive there.
    delays: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Send as far as other routers are reached, and as late."""
        self._transmit = self.transport.transmit
        self.transport.transmit = self._transmit_if_reached

    def _transmit_if_reached(self, address: str, content: bytes) -> bool:
        # A cut looks like a connection over which nothing comes.
        if address in self.cut_from:
            return True
        if address in self.delays:
            self.nursery.start_soon(self._transmit_later, address, content)
            return True
        return self._transmit(address, content)

    async def _transmit_later(self, address: str, content: bytes) -> None:
        await trio.sleep(self.delays[address])
        self._transmit(address, content)


@dataclass
class CutFleet:
    """Routers, targets and a caller."""

    nursery: trio.Nursery
    store: stand_in.StoreStandIn
    targets: list[stand_in.TargetStandIn]
    addresses: dict[str, str]
    routers: list[FleetRouter] = field(default_factory=list)
    _numbers: itertools.count = field(default_factory=itertools.count)

    async def start_router(self, *, takes_over: bool = True) -> None:
        """Start one more router with paths to all targets."""
        paths = {
            name: Path(self.nursery, address)
            for name, address in self.addresses.items()
        }
        for path in paths.values():
            await path.open()
        view = StoreView(self.store, paths)
        store = await self.nursery.start(
            serve_http, view.handle, f'{LOCALHOST}:0'
        )
        number = len(self.routers)
        scope, nursery = await self.nursery.start(_open_scope)
        router = await router_setup.start_router(
            nursery,
            f'r-{number}',
            store,
            f'{LOCALHOST}:{find_free_port()}',
            f'{LOCALHOST}:{find_free_port()}' if takes_over else '',
        )
        self.routers.append(
            FleetRouter(
                router.address,
                paths,
                scope,
                view,
                router.router._components.transport,
                router.router._components.directory,
                nursery,
            )
        )

    async def cut(self, number: int, how: str, *targets: str) -> None:
        """Cut a router from these targets, by default from all."""
        paths = self.routers[number].paths
        for name in targets or paths:
            await paths[name].cut(how)

    def cut_off(self, *numbers: int) -> None:
        """Cut routers off, together, from the store and all other routers."""
        self.cut_from_store(*numbers)
        self.cut_from_others(*numbers)

    def cut_from_store(self, *numbers: int) -> None:
        """Cut routers off from the store; other routers tell them of it."""
        for number in numbers:
            self.routers[number].view.is_cut = True

    def cut_from_others(self, *numbers: int) -> None:
        """Cut routers off, together, from all other routers."""
        for number, router in enumerate(self.routers):
            router.cut_from.update(
                other.transport.address
                for index, other in enumerate(self.routers)
                if (index in numbers) != (number in numbers)
            )

    def delay_news(self, seconds: float, *numbers: int) -> None:
        """Let all that the store and others tell routers arrive later."""
        for number in numbers:
            self.routers[number].view.delay_seconds = seconds
            address = self.routers[number].transport.address
            for index, router in enumerate(self.routers):
                if index not in numbers:
                    router.delays[address] = seconds

    def join(self) -> None:
        """End all cuts between routers, and between them and the store."""
        for router in self.routers:
            router.view.is_cut = False
            router.cut_from.clear()

    async def heal(self, number: int) -> None:
        """Open all paths of a router."""
        for path in self.routers[number].paths.values():
            await path.open()

    async def send(self, number, path, body=b'q', **fields):
        """Send a request to a router; return the response."""
        headers = router_setup.caller_headers(
            next(self._numbers), **{'x-deadline-ms': '3000', **fields}
        )
        async with httpcore.AsyncConnectionPool() as pool:
            return await router_setup.call(
                pool, self.routers[number].callers, 'POST', path, headers, body
            )

    def runs(self) -> list[str]:
        """Return the ids of all requests that targets have run."""
        return [
            headers['x-request-id']
            for target in self.targets
            for _, _, headers, _ in target.requests
        ]


async def _open_scope(task_status=trio.TASK_STATUS_IGNORED) -> None:
    """Report a scope and a nursery within it, and wait until it ends."""
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:
            task_status.started((scope, nursery))
            await trio.sleep_forever()


async def start_fleet(nursery, routers=3, targets=3) -> CutFleet:
    """Start routers and targets that know each other."""
    all_targets = [stand_in.TargetStandIn(f'i-{n}') for n in range(targets)]
    addresses = [
        await nursery.start(serve_http, target.handle, f'{LOCALHOST}:0')
        for target in all_targets
    ]
    return await _start_routers(nursery, all_targets, addresses, routers)


async def start_raw_fleet(nursery, targets, routers=2) -> CutFleet:
    """Start routers, and targets that have a method `start`."""
    addresses = [await target.start(nursery) for target in targets]
    return await _start_routers(nursery, targets, addresses, routers)


async def _start_routers(nursery, targets, addresses, routers) -> CutFleet:
    store = CopyingStore()
    store.page_size = 100
    store.put('op/config', msgspec.json.encode(CONFIG))
    by_name = {f'i-{n}': address for n, address in enumerate(addresses)}
    for name, address in by_name.items():
        store.put(f'servers/{name}', target_entry(address))
    fleet = CutFleet(nursery, store, targets, by_name)
    for _ in range(routers):
        await fleet.start_router()
    # Updates between all routers.
    await trio.sleep(1)
    return fleet
