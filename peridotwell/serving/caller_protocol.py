"""The HTTP/1.1 protocol of a caller's connection, built on hypercorn's.

An offer of another protocol is ignored, and so are empty lines before a request
(RFC 9110, section 7.8; RFC 9112, section 2.2).

A target with a scheme and a host (the absolute form) becomes its path and
query, and its host replaces the header field (RFC 9112, section 3.2.2).

A request may be answered before its body has arrived, such as one with an
unknown path. The rest of the body is read and dropped, so that the connection
serves the next request. A body that is too long for that closes it.
"""

import re
from collections.abc import Iterable
from dataclasses import replace
from typing import Any, cast

import h11
import trio
from hypercorn.protocol import ProtocolWrapper
from hypercorn.protocol.events import (
    Body,
    EndBody,
    Event,
    Request,
    Response,
)
from hypercorn.protocol.h11 import STREAM_ID, H11Protocol
from hypercorn.protocol.http_stream import HTTPStream
from hypercorn.typing import ConnectionState

__all__ = ('TARGET', 'CallerProtocol', 'CallerProtocols')

# Where the state of a request has its target as it was sent: hypercorn leaves
# out the question mark of an empty query.
TARGET = 'target'

# The method of the line that begins an HTTP/2 connection.
HTTP2_METHOD = b'PRI'
# One may still be incomplete.
EMPTY_LINES = re.compile(rb'(?:\r?\n)*')
# A target in the absolute form: its host, and its path with its query. One with
# user information or a fragment is no proper target.
ABSOLUTE_TARGET = re.compile(rb'https?://([^/?#@]+)([^#]*)', re.IGNORECASE)
PATH_START = b'/'
HOST_FIELD = b'host'
LINE_BREAK_START = b'\r'
CLOSE_FIELD = (b'connection', b'close')
# How much of a body is read after the answer to it, and for how long.
REST_LIMIT_BYTES = 8 * 1024 * 1024
REST_SECONDS = 5.0


class _RequestParser(h11.Connection):
    """Parses requests; ignores empty lines before them.

    With `ends_with_connection`, the body of the response gets no mark of its
    end but that of the connection, though the caller could read chunks.
    """

    ends_with_connection = False

    def next_event(self) -> Any:
        """Return the next event of the request, as h11 does."""
        if self.their_state is h11.IDLE and not self._skip_empty_lines():
            return h11.NEED_DATA
        return super().next_event()

    def _clean_up_response_headers_for_sending(
        self, response: h11.Response
    ) -> h11.Response:
        version = self.their_http_version
        if self.ends_with_connection:
            # The first version of HTTP that h11 knows has no chunks.
            self.their_http_version = b'1.0'
        try:
            return super()._clean_up_response_headers_for_sending(response)
        finally:
            self.their_http_version = version

    def _skip_empty_lines(self) -> bool:
        """Return False if another empty line may have begun."""
        content, _ = self.trailing_data
        lines = EMPTY_LINES.match(content)
        if lines is not None and lines.end():
            self._receive_buffer.maybe_extract_at_most(lines.end())
            content = content[lines.end() :]
        return content != LINE_BREAK_START


class _CallerStream(HTTPStream):
    """One request and its response, which may end before the body arrives."""

    _waiting: trio.CancelScope | None = None

    async def handle(self, event: Event) -> None:
        """Pass an event of the request on to its handler."""
        if not isinstance(event, Body | EndBody):
            await super().handle(event)
            return
        with trio.CancelScope() as scope:
            self._waiting = scope
            await super().handle(event)

    def abandon(self) -> None:
        """Pass nothing more on, as the response is complete.

        A part of the body that waits to be read is dropped.
        """
        self.closed = True
        if self._waiting is not None:
            self._waiting.cancel()


class _RestOfBody:
    """Drops what arrives of a body after the answer, up to a limit."""

    def __init__(self) -> None:
        self.has_ended = trio.Event()
        self._received_bytes = 0

    async def handle(self, event: Event) -> None:
        """Drop a part of the body, or take its end."""
        if isinstance(event, Body):
            self._received_bytes += len(event.data)
            if self._received_bytes <= REST_LIMIT_BYTES:
                return
        self.has_ended.set()


class CallerProtocol(H11Protocol):
    """Serves the requests of one connection, one after the other."""

    _body_bytes = 0

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.connection = _RequestParser(
            h11.SERVER,
            max_incomplete_event_size=self.config.h11_max_incomplete_size,
        )

    async def stream_send(self, event: Event) -> None:
        """Send a part of the response.

        A response that starts before a body that is too long to be read on
        says that the connection closes.
        """
        if isinstance(event, Response) and self._is_body_too_long():
            event = replace(event, headers=[*event.headers, CLOSE_FIELD])
        await super().stream_send(event)

    async def _check_protocol(self, event: h11.Request) -> None:
        """Switch to HTTP/2 if the connection begins with its preface."""
        if event.method == HTTP2_METHOD:
            await super()._check_protocol(event)

    async def _create_stream(self, request: h11.Request) -> None:
        length = dict(request.headers).get(b'content-length', b'0')
        self._body_bytes = int(length)
        self.stream = _CallerStream(
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
        host, target = _split_target(request.target)
        await self.stream.handle(
            Request(
                stream_id=STREAM_ID,
                headers=_with_host(request.headers, host),
                http_version=request.http_version.decode(),
                method=request.method.decode('ascii').upper(),
                raw_path=target,
                state=ConnectionState(
                    {**self.connection_state, TARGET: target}
                ),
            )
        )
        self.keep_alive_requests += 1

    async def _maybe_recycle(self) -> None:
        """End a response: read on, or close the connection."""
        if isinstance(self.stream, _CallerStream):
            self.stream.abandon()
            if self.connection.our_state is h11.DONE and self._is_body_due():
                self._drop_rest()
                return
        await super()._maybe_recycle()

    def _drop_rest(self) -> None:
        rest = _RestOfBody()
        self.stream = cast(Any, rest)
        self.task_group.spawn(self._recycle_after, rest)

    async def _recycle_after(self, rest: _RestOfBody) -> None:
        with trio.move_on_after(REST_SECONDS):
            await rest.has_ended.wait()
        await self._maybe_recycle()

    def _is_body_due(self) -> bool:
        return self.connection.their_state is h11.SEND_BODY

    def _is_body_too_long(self) -> bool:
        return self._is_body_due() and self._body_bytes > REST_LIMIT_BYTES


class CallerProtocols(ProtocolWrapper):
    """The protocol that a caller's connection speaks: HTTP/1.1 at first."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.protocol = CallerProtocol(*args)


def _split_target(target: bytes) -> tuple[bytes, bytes]:
    """Return the host of a target, if it has one, and its path and query."""
    if target.startswith(PATH_START):
        return b'', target
    found = ABSOLUTE_TARGET.fullmatch(target)
    if found is None:
        return b'', target
    host, path = found.groups()
    return host, path if path.startswith(PATH_START) else PATH_START + path


def _with_host(
    fields: Iterable[tuple[bytes, bytes]], host: bytes
) -> list[tuple[bytes, bytes]]:
    """Return header fields with another host, unless it is empty."""
    if not host:
        return list(fields)
    others = [field for field in fields if field[0] != HOST_FIELD]
    return [(HOST_FIELD, host), *others]
