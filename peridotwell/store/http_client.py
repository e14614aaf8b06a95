"""An HTTP client for stores that classifies errors by their effect."""

import math
from collections.abc import Callable
from typing import Any

import httpcore
import msgspec
import trio

from peridotwell.decoding import DECODING_ERRORS
from peridotwell.errors import StoreResponseLost, StoreUnavailable
from peridotwell.serving.connection_pool import ConnectionPool

__all__ = ('StoreHttpClient', 'decode_response')

# A connection that carries nothing more of a response has gone silent.
BODY_SILENCE_SECONDS = 0.6
MAX_RESPONSE_BYTES = 16_000_000
# A response is on its way while its parts follow each other faster, at this
# rate at least: one that only trickles is no reason to wait for it.
PART_SECONDS = 0.25
MIN_BYTES_PER_SECOND = 50_000
JSON_TYPE = (('content-type', 'application/json'),)


class StoreHttpClient:
    """Connections to the store at `url`; unresponsive ones are closed."""

    def __init__(
        self,
        url: str,
        max_connections: int,
        connect_seconds: float,
    ) -> None:
        self._url = url
        self._connect_seconds = connect_seconds
        self._pool = ConnectionPool(
            max_connections,
            reads_at_once=True,
            max_body_bytes=MAX_RESPONSE_BYTES,
            on_ended=self._handle_ended,
        )
        self._ended_listeners: list[Callable[[], None]] = []
        # The number of bodies that are on their way, since when there are any,
        # the bytes that have come since, and when the last ones did.
        self._bodies = 0
        self._begun_at = -math.inf
        self._received_bytes = 0
        self._part_at = -math.inf

    def on_ended(self, listener: Callable[[], None]) -> None:
        """Call `listener` when idle connections are found ended."""
        self._ended_listeners.append(listener)

    def is_receiving(self, now: float) -> bool:
        """Return whether a response has begun, and its parts still arrive."""
        begun_seconds = now - self._begun_at - PART_SECONDS
        return (
            self._bodies > 0
            and now - self._part_at <= PART_SECONDS
            and self._received_bytes >= begun_seconds * MIN_BYTES_PER_SECOND
        )

    async def send(
        self,
        method: str,
        path: str,
        content: bytes,
        timeout_seconds: float,
    ) -> httpcore.Response:
        """Send a call and return the response, whatever its status.

        It must begin within `timeout_seconds`; then its body must arrive
        without a pause of over BODY_SILENCE_SECONDS. Raises StoreUnavailable
        if the call was not sent, StoreResponseLost if the store may have
        executed it. The next call after a lost response opens a new
        connection: the others may have gone silent as well.
        """
        timeouts = {
            'connect': self._connect_seconds,
            'read': timeout_seconds,
            'write': timeout_seconds,
            'pool': timeout_seconds,
        }
        try:
            async with self._pool.stream(
                method,
                f'{self._url}{path}',
                headers=JSON_TYPE if content else None,
                content=content,
                extensions={'timeout': timeouts},
            ) as resp:
                # Only the begin of an answer may have to be waited for.
                timeouts['read'] = min(timeout_seconds, BODY_SILENCE_SECONDS)
                body = await self._read_body(resp)
                return _whole_response(resp, body)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
            raise StoreUnavailable(
                f'cannot connect to the store: {exc!r}'
            ) from exc
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as exc:
            await self.close_idle()
            raise StoreResponseLost(
                f'no response to {method}: {exc!r}'
            ) from exc

    def _handle_ended(self, number: int, used_at: float) -> None:
        for listener in self._ended_listeners:
            listener()

    async def _read_body(self, resp: httpcore.Response) -> bytes:
        self._part_at = trio.current_time()
        if not self._bodies:
            self._begun_at = self._part_at
            self._received_bytes = 0
        self._bodies += 1
        parts = []
        try:
            async for part in resp.aiter_stream():
                self._part_at = trio.current_time()
                self._received_bytes += len(part)
                parts.append(part)
        finally:
            self._bodies -= 1
        return b''.join(parts)

    async def close_idle(self) -> None:
        """Close idle connections, which may have gone silent."""
        await self._pool.close_idle()


def _whole_response(resp: httpcore.Response, body: bytes) -> httpcore.Response:
    """Return a response whose body was read as a stream."""
    whole = httpcore.Response(resp.status, headers=resp.headers, content=body)
    whole.read()
    return whole


def decode_response(content: bytes, kind: Any) -> Any:
    """Decode a JSON response. Raises StoreResponseLost if it is invalid."""
    try:
        return msgspec.json.decode(content, type=kind)
    except DECODING_ERRORS as exc:
        raise StoreResponseLost(f'the response is invalid: {exc}') from exc
