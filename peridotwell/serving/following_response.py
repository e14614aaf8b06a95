"""Finds another response in the body of a response.

A faulty target may send a second response after a complete one, at any time.
Where nothing but the end of the connection marks the end of the body, the
second response would be a part of the first one's body. Where the body has a
length, that to an earlier request would be a part of it, in place of its rest.
"""

import re
from collections.abc import Collection

from peridotwell.attempt_errors import ResponseMismatch

__all__ = ('FollowingResponse',)

# A head that is longer up to the id of its request is not found.
MAX_SEARCHED_BYTES = 4096
PROTOCOL = b'HTTP/1.'
PROTOCOL_BEGINNINGS = frozenset(
    PROTOCOL[:length] for length in range(1, len(PROTOCOL) + 1)
)
STATUS_LINE_START = re.compile(rb'HTTP/1\.[01] [1-5]\d\d')
# A status line and the fields up to the id, which each response has. Without
# the id it matches as well, so no part of a body is searched twice.
HEAD = re.compile(
    rb'HTTP/1\.[01] [1-5]\d\d[^\r\n]*+'
    rb'(?:\r\n(?!x-request-id:)[!-9;-~]++:[^\r\n]*+)*+'
    rb'(?:\r\nx-request-id:([^\r\n]*+))?',
    re.IGNORECASE,
)
# Such a head, cut off.
CUT_HEAD = re.compile(
    rb'HTTP/1\.[01] [1-5]\d\d[^\r\n]*\r\n(?:[!-9;-~]+:[^\r\n]*\r\n)*?'
    rb'[^\r\n]*\r?\Z'
)


class FollowingResponse:
    """Searches the parts of a body for the head of another response.

    With `earlier_ids`, only those of responses to these requests are searched
    for, else any.
    """

    def __init__(self, earlier_ids: Collection[str] = ()) -> None:
        self._earlier_ids = earlier_ids
        self._tail = b''

    def add(self, part: bytes) -> None:
        """Search up to the end of a part.

        Raises ResponseMismatch if another response begins in the body.
        """
        content = self._tail + part
        if PROTOCOL in content and self._has_head(content):
            raise ResponseMismatch('Another response is in the body.')
        self._tail = content[-MAX_SEARCHED_BYTES:]

    def finish(self, behind: bytes = b'') -> None:
        """Check the end of the body, and what has arrived `behind` it.

        Raises ResponseMismatch if the body ends within another response, or if
        a part of one is in it, and the rest of the body behind it.
        """
        if not self._earlier_ids:
            if CUT_HEAD.search(self._tail):
                raise ResponseMismatch('The body ends within another response.')
        elif self._has_rest(behind):
            raise ResponseMismatch('A part of another response is in the body.')

    def _has_rest(self, behind: bytes) -> bool:
        """Return whether the rest of the body stands behind it.

        A response that begins there is none.
        """
        if not behind or behind[: len(PROTOCOL)] in PROTOCOL_BEGINNINGS:
            return False
        start = STATUS_LINE_START.search(self._tail + behind)
        return start is not None and start.start() < len(self._tail)

    def _has_head(self, content: bytes) -> bool:
        found = {
            match[1].strip().decode('latin-1')
            for match in HEAD.finditer(content)
            if match[1] is not None
        }
        if self._earlier_ids:
            return not found.isdisjoint(self._earlier_ids)
        return bool(found)
