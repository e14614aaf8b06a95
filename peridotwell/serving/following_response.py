"""Finds a further response in a body that ends with its connection.

A faulty target may send a second response after a complete one. Where nothing
but the end of the connection marks the end of the body, the second response
would be a part of the first one's body.
"""

import re

from peridotwell.attempt_errors import ResponseMismatch

__all__ = ('FollowingResponse',)

# A head that is longer up to the id of its request is not found.
MAX_SEARCHED_BYTES = 4096
# A status line and the fields up to the id, which each response has.
HEAD = re.compile(
    rb'HTTP/1\.[01] [1-5]\d\d[^\r\n]*\r\n(?:[!-9;-~]+:[^\r\n]*\r\n)*?'
    rb'x-request-id:',
    re.IGNORECASE,
)
# The same, cut off.
CUT_HEAD = re.compile(
    rb'HTTP/1\.[01] [1-5]\d\d[^\r\n]*\r\n(?:[!-9;-~]+:[^\r\n]*\r\n)*?'
    rb'[^\r\n]*\r?\Z'
)


class FollowingResponse:
    """Searches the parts of a body for the head of a response."""

    def __init__(self) -> None:
        self._tail = b''

    def add(self, part: bytes) -> None:
        """Search up to the end of a part.

        Raises ResponseMismatch if a response with the id of a request begins
        in the body.
        """
        content = self._tail + part
        _raise_if_found(HEAD, content)
        self._tail = content[-MAX_SEARCHED_BYTES:]

    def finish(self) -> None:
        """Raise ResponseMismatch if the body ends within such a head."""
        _raise_if_found(CUT_HEAD, self._tail)


def _raise_if_found(head: re.Pattern[bytes], content: bytes) -> None:
    if head.search(content):
        raise ResponseMismatch(
            'Another response follows in a body that ends with its connection.'
        )
