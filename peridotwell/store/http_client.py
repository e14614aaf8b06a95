"""An HTTP client for stores that classifies errors by their effect."""

from typing import Any

import httpcore
import msgspec

from peridotwell.decoding import DECODING_ERRORS
from peridotwell.errors import StoreResponseLost, StoreUnavailable
from peridotwell.serving.connection_pool import ConnectionPool

__all__ = ('StoreHttpClient', 'decode_response')

# A connection that carries nothing more of a response has gone silent.
BODY_SILENCE_SECONDS = 0.6
MAX_RESPONSE_BYTES = 16_000_000
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
                await resp.aread()
                return resp
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

    async def close_idle(self) -> None:
        """Close idle connections, which may have gone silent."""
        await self._pool.close_idle()


def decode_response(content: bytes, kind: Any) -> Any:
    """Decode a JSON response. Raises StoreResponseLost if it is invalid."""
    try:
        return msgspec.json.decode(content, type=kind)
    except DECODING_ERRORS as exc:
        raise StoreResponseLost(f'the response is invalid: {exc}') from exc
