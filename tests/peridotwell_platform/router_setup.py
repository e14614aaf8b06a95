"""Routers on the users' platform in this process, and calls to them.

Tests of one router and of several share this: the store with its
configuration, the entries of targets, the router itself and its callers.
"""

from typing import NamedTuple

import httpcore
import msgspec
import trio
from peridotwell_platform.entries import PlatformEntryDecoder
from peridotwell_platform.headers import (
    PlatformCallerAdapter,
    PlatformTargetAdapter,
)
from peridotwell_platform.store import PlatformStore

from peridotwell.domain.bounds import DeploymentBounds
from peridotwell.forwarding.router import ForwardingRouter
from peridotwell.forwarding.settings import Adapters, ForwardingSettings
from peridotwell.policy.placement.region_restriction import RegionTable
from peridotwell.serving.asgi import serve_http
from tests.peridotwell_platform import stand_in
from tests.ports import find_free_port

__all__ = (
    'LOCALHOST',
    'StartedRouter',
    'call',
    'caller_headers',
    'configuration',
    'start_router',
    'start_store',
    'target_entry',
)

LOCALHOST = '127.0.0.1'
ANY_PORT = f'{LOCALHOST}:0'
DATA_CENTRE = 'north'
READY_SECONDS = 5
READ_SECONDS = 5


class StartedRouter(NamedTuple):
    """A router that is ready, and the address of its callers."""

    router: ForwardingRouter
    address: str


def configuration(max_conns: int, *routes):
    """Return a configuration with these routes to the service `svc`."""
    return {
        'version': 1,
        'routes': list(routes),
        'services': [{'name': 'svc', 'max_conns': max_conns}],
        'limits': {
            'max_header_bytes': 2000,
            'max_body_bytes': 5000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'tenant-1', 'api_keys': ['key-1']}],
    }


def target_entry(address: str) -> bytes:
    """Return the store's entry of a target that is ready."""
    return msgspec.json.encode(
        {
            'service': 'svc',
            'address': address,
            'zone': DATA_CENTRE,
            'state': 'ready',
        }
    )


async def start_store(
    nursery: trio.Nursery, config
) -> tuple[stand_in.StoreStandIn, str]:
    """Start a store with a configuration; return it and its address."""
    store = stand_in.StoreStandIn()
    store.page_size = 100
    address = await nursery.start(serve_http, store.handle, ANY_PORT)
    store.put('op/config', msgspec.json.encode(config))
    return store, address


async def start_router(
    nursery: trio.Nursery,
    name: str,
    store_address: str,
    peers: str = ANY_PORT,
    handover: str = '',
    regions: RegionTable | None = None,
) -> StartedRouter:
    """Start a router and wait until it is ready."""
    callers = f'{LOCALHOST}:{find_free_port()}'
    router = ForwardingRouter(
        ForwardingSettings(
            name,
            DATA_CENTRE,
            callers,
            ANY_PORT,
            peers,
            '',
            DeploymentBounds(),
            handover=handover,
            regions=regions or RegionTable(),
        ),
        Adapters(
            PlatformCallerAdapter(),
            PlatformTargetAdapter(),
            PlatformEntryDecoder(),
        ),
        PlatformStore(store_address),
    )
    nursery.start_soon(router.run)
    with trio.fail_after(READY_SECONDS):
        while router.not_ready_reason():
            await trio.sleep(0.01)
    return StartedRouter(router, callers)


def caller_headers(number: int, **fields: str) -> dict[str, str]:
    """Return a caller's header fields for its request `number`.

    `fields` add to them or replace them, with `_` for `-`; an empty one is
    left out.
    """
    headers = {
        'host': 'a.example',
        'x-request-id': f'id-{number}',
        'x-credential': 'key-1',
        **{name.replace('_', '-'): text for name, text in fields.items()},
    }
    return {name: text for name, text in headers.items() if text}


async def call(
    pool: httpcore.AsyncConnectionPool,
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
) -> httpcore.Response:
    """Send a request to a router, its path as it stands."""
    host, _, port = address.partition(':')
    url = httpcore.URL(
        scheme=b'http',
        host=host.encode(),
        port=int(port),
        target=path.encode(),
    )
    return await pool.request(
        method,
        url,
        headers=list(headers.items()),
        content=body,
        extensions={'timeout': {'read': READ_SECONDS}},
    )
