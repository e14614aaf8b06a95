"""An HTTP/1.1 connection to a target, which may send what it should not.

The connection takes a bounded number of interim responses, and tells whether
bytes follow a response. It takes no head in which another one begins: a faulty
target may break off a copy of an earlier response in its head, and the next
response would join with it.
"""

import re
from typing import Any

import h11
import httpcore

__all__ = ('FOLLOWING_BYTES', 'TargetConnection')

# The extension of a response with a function that returns what has arrived
# behind its end.
FOLLOWING_BYTES = 'following_bytes'

# Before each response. Reading them takes time, and nobody waits for them.
MAX_INTERIM_RESPONSES = 16
STATUS_LINE_START = re.compile(rb'HTTP/1\.[01] [1-5]\d\d')


class _ResponseParser(h11.Connection):
    """Parses responses; refuses joined heads.

    It refuses endless interim responses too (RFC 9110, section 15.2).
    """

    _interim_responses = 0

    def next_event(self) -> Any:
        """Return the next event of the response, as h11 does.

        Raises h11.RemoteProtocolError if too many interim responses come, and
        for a head in which another response begins.
        """
        event = super().next_event()
        if isinstance(event, h11.Response | h11.InformationalResponse):
            _check_head(event)
        if isinstance(event, h11.InformationalResponse):
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                raise h11.RemoteProtocolError('Too many interim responses')
        elif isinstance(event, h11.Response):
            self._interim_responses = 0
        return event


def _check_head(head: h11.Response | h11.InformationalResponse) -> None:
    texts = (head.reason, *(text for _, text in head.headers))
    if any(map(STATUS_LINE_START.search, texts)):
        raise h11.RemoteProtocolError('A response begins within a head')


class TargetConnection(httpcore.AsyncHTTP11Connection):
    """A connection whose responses are parsed by _ResponseParser."""

    def __init__(
        self,
        origin: httpcore.Origin,
        stream: httpcore.AsyncNetworkStream,
        keepalive_expiry: float | None = None,
    ) -> None:
        super().__init__(origin, stream, keepalive_expiry)
        self._h11_state = _ResponseParser(
            h11.CLIENT,
            max_incomplete_event_size=self.MAX_INCOMPLETE_EVENT_SIZE,
        )

    def is_reusable(self) -> bool:
        """Whether another request may be sent.

        No bytes may have arrived after the response: they would be the
        beginning of the next one.
        """
        return self.is_idle() and not self.following_bytes()

    def following_bytes(self) -> bytes:
        """Return what has arrived behind the response."""
        following, _ = self._h11_state.trailing_data
        return bytes(following)
