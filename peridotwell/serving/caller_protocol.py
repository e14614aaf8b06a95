"""The HTTP/1.1 protocol of a caller's connection, built on hypercorn's.

An offer of another protocol is ignored, and so are empty lines before a request
(RFC 9110, section 7.8; RFC 9112, section 2.2).
"""

import re
from typing import Any

import h11
from hypercorn.protocol import ProtocolWrapper
from hypercorn.protocol.events import Request
from hypercorn.protocol.h11 import STREAM_ID, H11Protocol
from hypercorn.protocol.http_stream import HTTPStream

__all__ = ('CallerProtocol', 'CallerProtocols')

# The method of the line that begins an HTTP/2 connection.
HTTP2_METHOD = b'PRI'
# One may still be incomplete.
EMPTY_LINES = re.compile(rb'(?:\r?\n)*')
LINE_BREAK_START = b'\r'


class _RequestParser(h11.Connection):
    """Parses requests; ignores empty lines before them."""

    def next_event(self) -> Any:
        """Return the next event of the request, as h11 does."""
        if self.their_state is h11.IDLE and not self._skip_empty_lines():
            return h11.NEED_DATA
        return super().next_event()

    def _skip_empty_lines(self) -> bool:
        """Return False if another empty line may have begun."""
        content, _ = self.trailing_data
        lines = EMPTY_LINES.match(content)
        if lines is not None and lines.end():
            self._receive_buffer.maybe_extract_at_most(lines.end())
            content = content[lines.end() :]
        return content != LINE_BREAK_START


class CallerProtocol(H11Protocol):
    """Serves the requests of one connection, one after the other."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.connection = _RequestParser(
            h11.SERVER,
            max_incomplete_event_size=self.config.h11_max_incomplete_size,
        )

    async def _check_protocol(self, event: h11.Request) -> None:
        """Switch to HTTP/2 if the connection begins with its preface."""
        if event.method == HTTP2_METHOD:
            await super()._check_protocol(event)

    async def _create_stream(self, request: h11.Request) -> None:
        self.stream = HTTPStream(
            self.app,
            self.config,
            self.context,
            self.task_group,
            self.ssl,
            self.client,
            self.server,
            self.stream_send,
            STREAM_ID,
        )
        await self.stream.handle(
            Request(
                stream_id=STREAM_ID,
                headers=list(request.headers),
                http_version=request.http_version.decode(),
                method=request.method.decode('ascii').upper(),
                raw_path=request.target,
                state=self.connection_state,
            )
        )
        self.keep_alive_requests += 1


class CallerProtocols(ProtocolWrapper):
    """The protocol that a caller's connection speaks: HTTP/1.1 at first."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.protocol = CallerProtocol(*args)
