"""Which request a response is for, if its target may have sent others before.

A faulty target may send a response twice, or late, where the next response on
the connection is expected. A response is for a request if it has the id of the
request. A response without an id may be an earlier one unless its connection is
new, and one with the id of the request before may be the copy of that response.
"""

from weakref import WeakKeyDictionary

import httpcore

from peridotwell.attempt_errors import ResponseMismatch

__all__ = ('ResponseOwnership',)


class ResponseOwnership:
    """Knows the last request on each connection to one target."""

    def __init__(self) -> None:
        self._last_ids: WeakKeyDictionary[object, str] = WeakKeyDictionary()

    def check(
        self,
        resp: httpcore.Response,
        expected_id: str,
        response_id: str,
        *,
        is_refusal: bool,
        require_id: bool,
    ) -> None:
        """Raise ResponseMismatch if a response may be for another request.

        A refusal is a promise that the request was not run, so there must be no
        doubt. With `require_id`, any other response must have the id too.
        """
        last_id = self._record(resp, expected_id)
        if response_id and response_id != expected_id:
            raise ResponseMismatch(
                f'The response is for request {response_id}.'
            )
        if not is_refusal:
            if require_id and not response_id:
                raise ResponseMismatch('The response names no request.')
            return
        if last_id is not None and response_id in {'', last_id}:
            raise ResponseMismatch(
                'The refusal may be one of an earlier request.'
            )

    def _record(self, resp: httpcore.Response, request_id: str) -> str | None:
        """Return the id of the request before on the connection, if any."""
        connection = resp.extensions['network_stream']
        last_id = self._last_ids.get(connection)
        self._last_ids[connection] = request_id
        return last_id
