"""Which request a response is for, if its target may have sent others before.

A faulty target may send a response twice, or late, where the next response on
the connection is expected. A response is for a request if it has the id of the
request. A response without an id may be an earlier one unless its connection is
new, and one with the id of the request before may be the copy of that response.
So a request whose id was just used goes over a new connection.
"""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from functools import partial
from weakref import WeakKeyDictionary, WeakValueDictionary

import httpcore

from peridotwell.attempt_errors import ResponseMismatch

__all__ = ('ResponseOwnership',)

# A response to one of so many requests before is known as such.
MAX_EARLIER_IDS = 32


@dataclass
class _Connection:
    """The requests on a connection: their number, and the ids of the latest."""

    requests: int = 0
    last_id: str | None = None
    earlier_ids: deque[str] = field(
        default_factory=partial(deque, maxlen=MAX_EARLIER_IDS)
    )


class ResponseOwnership:
    """Knows the last request on each connection to one target."""

    def __init__(self) -> None:
        self._connections: WeakKeyDictionary[object, _Connection] = (
            WeakKeyDictionary()
        )
        self._by_last_id: WeakValueDictionary[str, _Connection] = (
            WeakValueDictionary()
        )

    def was_last(self, request_id: str) -> bool:
        """Return whether the last request on a connection had this id."""
        return bool(request_id) and request_id in self._by_last_id

    def earlier_ids(self, resp: httpcore.Response) -> Collection[str]:
        """Return the ids of the latest requests before on the connection."""
        connection = self._connections.get(resp.extensions['network_stream'])
        return tuple(connection.earlier_ids) if connection else ()

    def check(
        self,
        resp: httpcore.Response,
        expected_id: str,
        response_id: str,
        *,
        is_refusal: bool,
        require_id: bool,
    ) -> int:
        """Return the number of requests before on the connection.

        Raises ResponseMismatch if the response may be for another request.
        A refusal is a promise that the request was not run, so there must be no
        doubt. With `require_id`, any other response must have the id too.
        """
        earlier_requests, last_id = self._record(resp, expected_id)
        if response_id and response_id != expected_id:
            raise ResponseMismatch(
                f'The response is for request {response_id}.'
            )
        needs_id = last_id is not None if is_refusal else require_id
        if needs_id and not response_id:
            raise ResponseMismatch('The response names no request.')
        if response_id and response_id == last_id:
            raise ResponseMismatch(
                'The response may be a copy of an earlier one.'
            )
        return earlier_requests

    def _record(
        self, resp: httpcore.Response, request_id: str
    ) -> tuple[int, str | None]:
        """Return the number of requests before, and the id of the last one."""
        connection = self._connections.setdefault(
            resp.extensions['network_stream'], _Connection()
        )
        before = connection.requests, connection.last_id
        connection.requests += 1
        if connection.last_id is not None:
            self._by_last_id.pop(connection.last_id, None)
        connection.last_id = request_id
        if request_id:
            connection.earlier_ids.append(request_id)
        # The first one: later requests with the id get new connections.
        self._by_last_id.setdefault(request_id, connection)
        return before
