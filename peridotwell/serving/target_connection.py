"""An HTTP/1.1 connection to a target, which may send what it should not.

The connection takes a bounded number of interim responses, and tells whether
bytes follow a response. It takes no head in which another one begins: a faulty
target may break off a copy of an earlier response in its head, and the next
response would join with it. Nor does it take a body that such a copy has moved:
a status line is in it, and its own rest stays behind.
"""

import re
from typing import Any

import h11
import httpcore
import trio

__all__ = ('TargetConnection',)

# Before each response. Reading them takes time, and nobody waits for them.
MAX_INTERIM_RESPONSES = 16
STATUS_LINE_START = re.compile(rb'HTTP/1\.[01] [1-5]\d\d')
PROTOCOL = b'HTTP/1.'
# RFC 9110, section 15. The parser refuses statuses below 100 itself.
MAX_STATUS = 599
# A status line may begin in one part of a body and end in the next one.
MAX_START_BYTES = len(b'HTTP/1.1 200')


class _ResponseParser(h11.Connection):
    """Parses responses; refuses joined heads and bodies that were moved.

    It refuses endless interim responses too (RFC 9110, section 15.2), and
    statuses above 599.
    """

    _interim_responses = 0
    _responses = 0
    _body_end = b''
    _has_status_line = False

    def next_event(self) -> Any:
        """Return the next event of the response, as h11 does.

        Raises h11.RemoteProtocolError if too many interim responses come, for
        a status above 599, for a head in which another response begins, and at
        the end of a body that another one has moved.
        """
        event = super().next_event()
        if isinstance(event, h11.Response | h11.InformationalResponse):
            _check_head(event)
        if isinstance(event, h11.InformationalResponse):
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                raise h11.RemoteProtocolError('Too many interim responses')
        elif isinstance(event, h11.Response):
            self._begin_body()
        elif isinstance(event, h11.Data):
            self._search(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._check_rest()
        return event

    def _begin_body(self) -> None:
        self._interim_responses = 0
        self._responses += 1
        self._body_end = b''
        self._has_status_line = False

    def _search(self, part: bytes) -> None:
        """Search a part of a body for a status line.

        Only an earlier request on the connection can have another response.
        """
        if self._responses == 1:
            return
        content = self._body_end + part
        if PROTOCOL in content and STATUS_LINE_START.search(content):
            self._has_status_line = True
        self._body_end = content[-MAX_START_BYTES:]

    def _check_rest(self) -> None:
        """Raise if the rest of a body stays behind another response in it.

        Bytes that merely follow a response, or another response that does, cost
        only the connection.
        """
        rest, _ = self.trailing_data
        if not rest or rest.startswith(PROTOCOL):
            return
        # Of a status line, the body may have the beginning only.
        joint = self._body_end + rest[:MAX_START_BYTES]
        if self._has_status_line or STATUS_LINE_START.search(joint):
            raise h11.RemoteProtocolError('Another response is in the body')


def _check_head(head: h11.Response | h11.InformationalResponse) -> None:
    if head.status_code > MAX_STATUS:
        raise h11.RemoteProtocolError('The status is above 599')
    texts = (head.reason, *(text for _, text in head.headers))
    if any(map(STATUS_LINE_START.search, texts)):
        raise h11.RemoteProtocolError('A response begins within a head')


class TargetConnection(httpcore.AsyncHTTP11Connection):
    """A connection whose responses are parsed by _ResponseParser.

    `used_at` is when its last request was sent.
    """

    def __init__(
        self,
        origin: httpcore.Origin,
        stream: httpcore.AsyncNetworkStream,
        keepalive_expiry: float | None = None,
    ) -> None:
        super().__init__(origin, stream, keepalive_expiry)
        self.opened_at = trio.current_time()
        self.used_at = self.opened_at
        self._stream = stream
        self._h11_state = _ResponseParser(
            h11.CLIENT,
            max_incomplete_event_size=self.MAX_INCOMPLETE_EVENT_SIZE,
        )

    def is_reusable(self) -> bool:
        """Whether another request may be sent.

        No bytes may have arrived after the response: they would be the
        beginning of the next one.
        """
        following, _ = self._h11_state.trailing_data
        return self.is_idle() and not following

    def has_peer_ended(self) -> bool:
        """Whether the target has ended or broken the connection.

        False if that is not known, for an address that is a host name.
        """
        return bool(self._stream.get_extra_info('peer_has_ended'))
