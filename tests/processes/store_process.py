"""A store in a process of its own: `PORT FILE`.

The file has the entries that it starts with, as one JSON object of documents
by key. For tests whose own process is busy: a store that answers late is a
fault of its own.
"""

import sys
from pathlib import Path

import msgspec
import trio

from peridotwell.serving.asgi import serve_http
from tests.peridotwell_platform.stand_in import StoreStandIn

__all__ = ()

PAGE_SIZE = 100


async def _serve(port: str, path: str) -> None:
    store = StoreStandIn()
    store.page_size = PAGE_SIZE
    entries: dict[str, msgspec.Raw] = msgspec.json.decode(
        Path(path).read_bytes(), type=dict[str, msgspec.Raw]
    )
    for key, document in entries.items():
        store.put(key, bytes(document))
    await serve_http(store.handle, f'127.0.0.1:{port}')


if __name__ == '__main__':
    trio.run(_serve, *sys.argv[1:])
