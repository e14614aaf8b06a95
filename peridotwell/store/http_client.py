"""HTTP calls to a store, whose failures tell what may have happened."""

from typing import Any

import httpcore
import msgspec

from peridotwell.errors import StoreResponseLost, StoreUnavailable
from peridotwell.serving.target_client import SOCKET_OPTIONS

__all__ = ('StoreHttpClient', 'decode_response')

JSON_TYPE = {'content-type': 'application/json'}


class StoreHttpClient:
    """Connections to the store at `url`; a silent one is given up."""

    def __init__(
        self,
        url: str,
        max_connections: int,
        connect_seconds: float,
    ) -> None:
        self._url = url
        self._connect_seconds = connect_seconds
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections,
            retries=0,
            socket_options=SOCKET_OPTIONS,
        )

    async def send(
        self,
        method: str,
        path: str,
        content: bytes,
        timeout_seconds: float,
    ) -> httpcore.Response:
        """Return the answer, whatever its status.

        Raises StoreUnavailable when the call was not sent, StoreResponseLost
        when it may have been executed.
        """
        timeouts = {
            'connect': self._connect_seconds,
            'read': timeout_seconds,
            'write': timeout_seconds,
            'pool': timeout_seconds,
        }
        try:
            return await self._pool.request(
                method,
                f'{self._url}{path}',
                headers=JSON_TYPE if content else None,
                content=content,
                extensions={'timeout': timeouts},
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
            raise StoreUnavailable(f'cannot connect: {exc!r}') from exc
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as exc:
            raise StoreResponseLost(f'{method} unanswered: {exc!r}') from exc


def decode_response(content: bytes, kind: Any) -> Any:
    """Decode a JSON answer. Raises StoreResponseLost for garbage."""
    try:
        return msgspec.json.decode(content, type=kind)
    except msgspec.DecodeError as exc:
        raise StoreResponseLost(f'the answer is garbage: {exc}') from exc
