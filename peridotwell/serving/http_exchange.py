"""One HTTP request, and the response to it.

Wraps the messages of an ASGI server (https://asgi.readthedocs.io) in an object
with plain methods. This module does not depend on routing.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any
from urllib.parse import parse_qs

import h11
import msgspec
import trio

from peridotwell.domain.counts import is_count
from peridotwell.errors import RequestBodiesFull, RequestTooLarge
from peridotwell.policy.room.body_budget import BodyBudget, BodyShare
from peridotwell.policy.room.buffer_budget import BufferShare, buffer_bytes
from peridotwell.serving.caller_connection import BodyPart, ServerStop
from peridotwell.serving.caller_protocol import TARGET

__all__ = ('HttpExchange',)

DEFAULT_BODY_LIMIT_BYTES = 8 * 1024 * 1024
BODIES_RETRY_AFTER_SECONDS = 0.5
# What each part of a body takes in memory at least.
MIN_PART_BYTES = 64
CLOSE_FIELD = (b'connection', b'close')
# Responses to these methods, and with these statuses, have no body.
BODILESS_METHODS = frozenset(('HEAD', 'CONNECT'))
BODILESS_STATUSES = frozenset((204, 304))
FRAMING_FIELDS = frozenset((b'content-length', b'transfer-encoding'))
JSON_TYPE = ('content-type', 'application/json')

Headers = Sequence[tuple[str, str]]


class HttpExchange:
    """One HTTP request and the response to it.

    The names in `headers` are lower case; `fields` contains the header fields
    as bytes, with repeated ones kept separate. `raw_target` is the path with
    its query as the client wrote them. `status` is 0 until the
    response starts; `is_complete` tells whether its end was sent, `is_chunked`
    whether its body is sent in chunks. `stop` tells
    whether the connection closes after a response that starts now.
    """

    def __init__(
        self,
        scope: Any,
        receive: Any,
        send: Any,
        stop: ServerStop,
        bodies: BodyBudget | None = None,
    ) -> None:
        self.method: str = scope['method']
        self.path: str = scope['path']
        self.query_string: str = scope['query_string'].decode('latin-1')
        self.headers: Mapping[str, str] = _combine_headers(scope['headers'])
        self.fields: tuple[tuple[bytes, bytes], ...] = tuple(scope['headers'])
        self.raw_path: bytes = scope['raw_path']
        self.raw_query: bytes = scope['query_string']
        self.status = 0
        self.is_complete = False
        self.is_chunked = False
        self._ends_with_connection = False
        self._http_version: str = scope.get('http_version', '')
        self._receive = receive
        self._send = send
        self._stop = stop
        self._bodies = bodies or BodyBudget(buffer_bytes(0))
        self._body_share: BodyShare | None = None
        state = scope.get('state', {})
        self.raw_target: bytes = state.get(TARGET) or _join_target(
            self.raw_path, self.raw_query
        )
        self._body_part: BodyPart = state.get('body_part') or BodyPart()

    def query(self, name: str, default: str = '') -> str:
        """Return the first query parameter called `name`, else `default`."""
        return parse_qs(self.query_string).get(name, [default])[0]

    async def body(self, limit: int = DEFAULT_BODY_LIMIT_BYTES) -> bytes:
        """Return the complete request body.

        Raises RequestTooLarge for a body over `limit` bytes, RequestBodiesFull
        if those of all requests take too much memory, and
        trio.ClosedResourceError when the client disconnects early.
        """
        declared_bytes = self._declared_bytes()
        _check_length(declared_bytes, limit)
        share = self._bodies.open(declared_bytes, trio.current_time())
        self._body_share = share
        received: list[bytes] = []
        try:
            await self._receive_body(received, share, limit)
            return b''.join(received)
        finally:
            # The traceback of an error would keep it.
            received.clear()

    def release_body(self) -> None:
        """Let the bodies of other requests have the memory of this one."""
        if self._body_share is not None:
            self._body_share.release()

    def hold(self, share: BufferShare) -> None:
        """End the connection if others need the memory of the response."""
        share.wait_for_caller(self._abort)

    def end(self) -> None:
        """End the exchange; call it when nothing more is sent.

        A response that was begun and not completed ends with its connection. If
        it has neither a length nor chunks, it would look complete: then the
        connection is reset.
        """
        self.release_body()
        if self.status and not (self.is_complete or self.is_chunked):
            self._body_part.reset()

    async def wait_for_disconnect(self) -> None:
        """Return when the client has disconnected."""
        message = {'type': ''}
        while message['type'] != 'http.disconnect':
            message = await self._receive()

    async def start_response(self, status: int, headers: Headers = ()) -> None:
        """Send the status line and headers."""
        await self.start_raw_response(
            status,
            tuple(
                (name.encode('latin-1'), text.encode('latin-1'))
                for name, text in headers
            ),
        )

    async def start_raw_response(
        self,
        status: int,
        fields: Sequence[tuple[bytes, bytes]],
        *,
        ends_with_connection: bool = False,
    ) -> None:
        """Send the status line and header fields unchanged.

        While the server stops, a field that closes the connection is added.
        With `ends_with_connection`, the body has neither a length nor chunks.
        """
        self.status = status
        self._ends_with_connection = ends_with_connection
        if ends_with_connection:
            self._body_part.end_with_connection()
        self.is_chunked = not ends_with_connection and (
            self._consists_of_chunks(status, fields)
        )
        closing = (CLOSE_FIELD,) if self._stop.has_begun else ()
        await self._send_message(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [*fields, *closing],
            }
        )

    async def write(self, chunk: bytes) -> None:
        """Send a part of the response body.

        It is sent as a whole though the handler is cancelled: see BodyPart.
        """
        may_send_chunk = self.is_chunked and chunk
        if may_send_chunk and await self._body_part.send_chunk(chunk):
            return
        self._body_part.is_next = True
        try:
            await self._send(
                {
                    'type': 'http.response.body',
                    'body': chunk,
                    'more_body': True,
                }
            )
        except h11.LocalProtocolError as exc:
            raise _closed_error(exc) from exc
        finally:
            self._body_part.is_next = False

    async def finish(self, chunk: bytes = b'') -> None:
        """Send the last part of the response body and end the response."""
        if self._ends_with_connection:
            await self._write_before_end(chunk)
            chunk = b''
        self.is_complete = True
        await self._send_message(
            {
                'type': 'http.response.body',
                'body': chunk,
                'more_body': False,
            }
        )

    async def respond(
        self,
        status: int,
        body: bytes = b'',
        headers: Headers = (),
    ) -> None:
        """Send a complete response."""
        length = ('content-length', str(len(body)))
        await self.start_response(status, (*headers, length))
        await self.finish(body)

    async def respond_json(
        self,
        document: Any,
        status: int = 200,
        headers: Headers = (),
    ) -> None:
        """Send a complete response with `document` encoded as JSON."""
        body = msgspec.json.encode(document)
        await self.respond(status, body, (JSON_TYPE, *headers))

    async def _write_before_end(self, chunk: bytes) -> None:
        """Send the last part of a body whose end has no mark of its own.

        Its connection may end in the ordinary way from then on.
        """
        with trio.CancelScope(shield=True):
            await self.write(chunk)
        self._body_part.allow_end()

    def _abort(self) -> None:
        """End the connection at once, so that a part looks like no whole."""
        if self._ends_with_connection:
            self._body_part.reset()
        else:
            self._body_part.abort()

    async def _receive_body(
        self, received: list[bytes], share: BodyShare | None, limit: int
    ) -> None:
        body_bytes = 0
        more = True
        while more:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                raise trio.ClosedResourceError('the client disconnected')
            part = message.get('body', b'')
            received.append(part)
            body_bytes += len(part)
            _check_length(body_bytes, limit)
            _add_to_share(share, max(len(part), MIN_PART_BYTES))
            more = message.get('more_body', False)

    def _declared_bytes(self) -> int:
        """Return the length of the request body, 0 if it is not told."""
        length = self.headers.get('content-length', '')
        return int(length) if is_count(length) else 0

    def _consists_of_chunks(
        self, status: int, fields: Iterable[tuple[bytes, bytes]]
    ) -> bool:
        """Return whether h11 sends the body of a response in chunks."""
        if self._http_version != '1.1' or self.method in BODILESS_METHODS:
            return False
        has_framing = any(name.lower() in FRAMING_FIELDS for name, _ in fields)
        return not has_framing and status not in BODILESS_STATUSES

    async def _send_message(self, message: dict[str, Any]) -> None:
        """Send an ASGI message.

        Raises trio.ClosedResourceError when the response can no longer be
        written. hypercorn's own protocol error would end all other
        connections if the application raised it. Sending is shielded from
        cancellation: hypercorn would consider a cancelled message sent and
        keep a connection on which the end of a response is missing.
        """
        try:
            with trio.CancelScope(shield=True):
                await self._send(message)
        except h11.LocalProtocolError as exc:
            raise _closed_error(exc) from exc


def _check_length(body_bytes: int, limit: int) -> None:
    if body_bytes > limit:
        raise RequestTooLarge(
            f'The body exceeds {limit} bytes: send a shorter one.',
        )


def _add_to_share(share: BodyShare | None, part_bytes: int) -> None:
    if share is None or not share.add(part_bytes, trio.current_time()):
        raise RequestBodiesFull(
            'The bodies of other requests take all memory for them: send the '
            'request again.',
            retry_after_seconds=BODIES_RETRY_AFTER_SECONDS,
        )


def _closed_error(exc: h11.LocalProtocolError) -> trio.ClosedResourceError:
    return trio.ClosedResourceError(f'the response cannot be written: {exc}')


def _join_target(path: bytes, query: bytes) -> bytes:
    return b'%b?%b' % (path, query) if query else path


def _combine_headers(fields: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return the header fields by name.

    The values of repeated fields are joined by commas (RFC 9110).
    """
    headers: dict[str, str] = {}
    for raw_name, raw_text in fields:
        name = raw_name.decode('latin-1').lower()
        text = raw_text.decode('latin-1')
        if name in headers:
            text = f'{headers[name]}, {text}'
        headers[name] = text
    return headers
