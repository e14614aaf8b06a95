"""A target's response, and how the end of its body is marked."""

import math
from collections.abc import AsyncGenerator, Mapping
from enum import Enum

import httpcore

from peridotwell.attempt_errors import ResponseTimeout, ResponseTruncated
from peridotwell.serving.event_stream import split_events, whole_events

__all__ = ('BodyEnd', 'TargetResponse')

NO_BODY_STATUSES = frozenset((204, 304))
MAX_RESPONSE_BYTES = 8 * 1024 * 1024


class BodyEnd(Enum):
    """What marks the end of a response body (RFC 9112, section 6.3)."""

    none = 'none'
    length = 'length'
    chunks = 'chunks'
    connection = 'connection'


class TargetResponse:
    """A response whose headers have arrived.

    Header names are lower case; `fields` keeps repeated ones. `body_chunks`
    yields the body as it arrives, and raises ResponseTruncated or
    ResponseTimeout if it does not arrive completely. `silence_seconds` limits
    the wait for each event of a stream.
    """

    def __init__(
        self, resp: httpcore.Response, silence_seconds: float = math.inf
    ) -> None:
        self.status: int = resp.status
        self.fields: tuple[tuple[str, str], ...] = tuple(
            (name.decode('latin-1').lower(), text.decode('latin-1'))
            for name, text in resp.headers
        )
        self.headers: Mapping[str, str] = dict(self.fields)
        self._resp = resp
        self._silence_seconds = silence_seconds

    @property
    def body_end(self) -> BodyEnd:
        """What marks the end of the body.

        With `connection`, the end of the connection does: a body that was cut
        off looks the same as a complete one.
        """
        if self.status in NO_BODY_STATUSES:
            return BodyEnd.none
        if 'transfer-encoding' in self.headers:
            return BodyEnd.chunks
        if 'content-length' in self.headers:
            return BodyEnd.length
        return BodyEnd.connection

    async def body_chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the chunks of the body."""
        try:
            async for part in self._resp.aiter_stream():
                yield part
        except httpcore.ReadTimeout as exc:
            raise ResponseTimeout(
                'The target stopped sending the response body.'
            ) from exc
        except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
            raise ResponseTruncated(
                f'The response was truncated: {exc}'
            ) from exc

    def whole_events(self) -> AsyncGenerator[bytes, None]:
        """Yield the body in parts that contain whole events only."""
        return whole_events(self.body_chunks(), self._silence_seconds)

    def split_events(self) -> AsyncGenerator[bytes, None]:
        """Yield the events of the body one by one."""
        return split_events(self.body_chunks(), self._silence_seconds)

    async def read_body(self, *, require_end_marker: bool = True) -> bytes:
        """Return the complete body.

        Raises ResponseTruncated for a body over the size limit. With
        `require_end_marker`, also raises it for a body whose end is marked
        only by closing the connection, because a truncated body looks the
        same.
        """
        if require_end_marker and self.body_end is BodyEnd.connection:
            raise ResponseTruncated(
                'The response has no marked end: add Content-Length.'
            )
        body = bytearray()
        async for part in self.body_chunks():
            body += part
            if len(body) > MAX_RESPONSE_BYTES:
                raise ResponseTruncated(
                    f'The response exceeds {MAX_RESPONSE_BYTES} bytes.'
                )
        return bytes(body)
