"""The platform's store, and the desired state that its operator writes."""

import msgspec
import trio
from peridotwell.serving.asgi import serve_http
from peridotwell.serving.http_exchange import HttpExchange
from tests.peridotwell_platform.stand_in import StoreStandIn

__all__ = ('Store', 'route', 'start_store')

UNAVAILABLE = 503
ENGINE = {
    'slots': 64,
    'kv_capacity_tokens': 900_000,
    'kv_token_bytes': 0,
    'models': [{'name': 'm'}],
}


class Store(StoreStandIn):
    """A store that is down while `is_down`: it answers 503 to all calls."""

    def __init__(self) -> None:
        """Create an empty store."""
        super().__init__()
        self.page_size = 400
        self.is_down = False

    async def handle(self, exchange: HttpExchange) -> None:
        """Answer a call."""
        if self.is_down:
            await exchange.body()
            await exchange.respond_json({}, UNAVAILABLE)
            return
        await super().handle(exchange)


def route(name: str, kind: str, **changes: object) -> dict[str, object]:
    """Return a route of the desired state to the service `svc`."""
    return {
        'name': name,
        'host': 'a.example',
        'path_prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 12_000,
        'slo_ms': 800,
        'priority': 0,
        'service': 'svc',
        'max_attempts': 1,
        'anonymous': False,
        **changes,
    }


async def start_store(
    nursery: trio.Nursery, *routes: dict[str, object], has_engines: bool = True
) -> tuple[Store, str]:
    """Start a store with a desired state; return it and its address."""
    store = Store()
    address = await nursery.start(serve_http, store.handle, '127.0.0.1:0')
    engine = {'engine': ENGINE} if has_engines else {}
    document = {
        'version': 1,
        'routes': list(routes),
        'services': [
            {
                'name': 'svc',
                'health_path': '/healthz',
                'max_conns': 300,
                **engine,
            }
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 4_194_304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15_000,
        },
        'tenants': [{'name': 'tenant-1', 'api_keys': ['key-1'], 'priority': 1}],
    }
    store.put('op/config', msgspec.json.encode(document))
    return store, address
