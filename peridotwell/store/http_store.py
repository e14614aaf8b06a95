"""A client of the platform's key-value service over HTTP.

The interface is described in docs/interfaces.md. Every call has a timeout. A
call that failed and may have been executed raises StoreResponseLost.
"""

from urllib.parse import quote, urlencode

import httpcore

from peridotwell.domain.store_order import StoreOrder
from peridotwell.errors import (
    StoreConflict,
    StoreError,
    StoreResponseLost,
    StoreUnavailable,
)
from peridotwell.store.base import Entry, KeyValueStore, StoreCounters
from peridotwell.store.http_client import StoreHttpClient, decode_response

__all__ = ('HttpStore',)

OK = 200
NOT_FOUND = 404
CONFLICT = 409
NOT_APPLIED_STATUSES = frozenset((429, 503))
MAX_CONNECTIONS = 16
# Added to the service's own waiting time, so that a watch without changes
# returns an empty response instead of a timeout.
WATCH_MARGIN_SECONDS = 2


class HttpStore(KeyValueStore):
    """A client of the platform's service at `url`."""

    def __init__(self, url: str, timeout_seconds: float) -> None:
        self.counters = StoreCounters()
        self._timeout_seconds = timeout_seconds
        self._client = StoreHttpClient(url, MAX_CONNECTIONS, timeout_seconds)

    async def read(self, key: str) -> Entry | None:
        """Return the entry at `key`, or None if there is none."""
        self.counters.reads += 1
        resp = await self._call('GET', f'/kv/{quote(key)}')
        if resp.status == NOT_FOUND:
            return None
        return Entry(key, resp.content, _read_revision(resp))

    async def read_prefix(self, prefix: str) -> tuple[Entry, ...]:
        """Return the entries whose keys start with `prefix`."""
        self.counters.reads += 1
        query = urlencode({'prefix': prefix})
        resp = await self._call('GET', f'/kv/?{query}')
        return _decode_entries(resp.content)

    async def write(
        self,
        key: str,
        value: bytes,
        *,
        expected: StoreOrder,
        lease: str = '',
    ) -> StoreOrder:
        """Write `value` if the entry's revision is `expected` (0: no entry)."""
        self.counters.writes += 1
        query = urlencode({'expected': expected, 'lease': lease})
        resp = await self._call('PUT', f'/kv/{quote(key)}?{query}', value)
        return StoreOrder(decode_response(resp.content, int))

    async def watch(
        self,
        prefix: str,
        after: StoreOrder,
        wait_seconds: float,
    ) -> tuple[Entry, ...]:
        """Wait for entries under `prefix` that are newer than `after`."""
        self.counters.watches += 1
        query = urlencode(
            {'prefix': prefix, 'after': after, 'wait': wait_seconds},
        )
        resp = await self._call(
            'GET',
            f'/watch?{query}',
            timeout_seconds=wait_seconds + WATCH_MARGIN_SECONDS,
        )
        return _decode_entries(resp.content)

    async def grant_lease(self, ttl_seconds: float) -> str:
        """Create a lease; entries with it are deleted when it expires."""
        self.counters.writes += 1
        query = urlencode({'ttl': ttl_seconds})
        resp = await self._call('POST', f'/leases?{query}')
        return decode_response(resp.content, str)

    async def renew_lease(self, lease: str) -> None:
        """Renew a lease. Raises StoreConflict if it has expired."""
        self.counters.writes += 1
        await self._call('PUT', f'/leases/{quote(lease)}')

    async def list_instances(self) -> bytes:
        """Return the platform's instance list, a JSON document."""
        self.counters.reads += 1
        resp = await self._call('GET', '/instances')
        return resp.content

    async def _call(
        self,
        method: str,
        path: str,
        value: bytes = b'',
        timeout_seconds: float = 0,
    ) -> httpcore.Response:
        call_timeout_seconds = timeout_seconds or self._timeout_seconds
        try:
            resp = await self._client.send(
                method, path, value, call_timeout_seconds
            )
        except StoreError:
            self.counters.errors += 1
            raise
        self.counters.value_bytes += len(value) + len(resp.content)
        return self._check_status(resp)

    def _check_status(self, resp: httpcore.Response) -> httpcore.Response:
        if resp.status in {OK, NOT_FOUND}:
            return resp
        if resp.status == CONFLICT:
            raise StoreConflict('another write came first')
        self.counters.errors += 1
        if resp.status in NOT_APPLIED_STATUSES:
            raise StoreUnavailable(
                f'the platform responded with status {resp.status}'
            )
        raise StoreResponseLost(
            f'the platform responded with status {resp.status}'
        )


def _read_revision(resp: httpcore.Response) -> StoreOrder:
    header = dict(resp.headers).get(b'x-revision', b'')
    if not header.isdigit():
        raise StoreResponseLost('the response has no valid x-revision header')
    return StoreOrder(int(header))


def _decode_entries(content: bytes) -> tuple[Entry, ...]:
    return decode_response(content, tuple[Entry, ...])
