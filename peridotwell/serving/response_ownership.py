"""Which request a response is for, if its target may have sent others before.

A faulty target may send a response twice, or late, where the next response on
the connection is expected. A response is for a request if it has the id of the
request. A response without an id may be an earlier one unless its connection is
new, and one with the id of the request before may be the copy of that response.
"""

from dataclasses import dataclass
from weakref import WeakKeyDictionary

import httpcore

from peridotwell.attempt_errors import ResponseMismatch

__all__ = ('ResponseOwnership',)


@dataclass
class _Connection:
    """The requests on a connection: their number, and the id of the last."""

    requests: int = 0
    last_id: str | None = None


class ResponseOwnership:
    """Knows the last request on each connection to one target."""

    def __init__(self) -> None:
        self._connections: WeakKeyDictionary[object, _Connection] = (
            WeakKeyDictionary()
        )

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
        if not is_refusal:
            if require_id and not response_id:
                raise ResponseMismatch('The response names no request.')
            return earlier_requests
        if last_id is not None and response_id in {'', last_id}:
            raise ResponseMismatch(
                'The refusal may be one of an earlier request.'
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
        connection.last_id = request_id
        return before
