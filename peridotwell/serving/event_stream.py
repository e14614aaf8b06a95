"""Splits a token stream into server-sent events and validates them.

The format is defined by the HTML standard, "Server-sent events". Engines
number their tokens in the `id` field, from 1 without gaps, and end the stream
with `data: [DONE]`; a stream is resumed with the Last-Event-ID header.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass

from peridotwell.attempt_errors import ResponseMismatch, ResponseTruncated

__all__ = ('StreamEvent', 'split_events', 'validated_events')

SEPARATOR = b'\n\n'
END_OF_STREAM = b'data: [DONE]'
ID_FIELD = b'id: '
MAX_EVENT_BYTES = 1024 * 1024


@dataclass(frozen=True)
class StreamEvent:
    """One event as received.

    `position` is the token number; 0 marks the end of the stream.
    """

    raw: bytes
    position: int

    @property
    def is_end(self) -> bool:
        """Whether this event marks the stream as complete."""
        return not self.position


async def split_events(
    chunks: AsyncIterator[bytes],
    *,
    yield_remainder: bool = False,
) -> AsyncIterator[bytes]:
    """Yield each complete event with its separator.

    With `yield_remainder`, the bytes after the last separator are yielded
    at the end of the stream.
    """
    remainder = b''
    async for chunk in chunks:
        *complete, remainder = (remainder + chunk).split(SEPARATOR)
        for raw in complete:
            yield raw + SEPARATOR
        if len(remainder) > MAX_EVENT_BYTES:
            raise ResponseTruncated('An event of the stream is too long.')
    if yield_remainder and remainder:
        yield remainder


async def validated_events(
    raw_events: AsyncIterator[bytes],
    received: int,
    request_id: str,
) -> AsyncIterator[StreamEvent]:
    """Yield the events after token `received`, in order and once each.

    Tokens that the caller already has are skipped. Raises ResponseMismatch
    on an event of another request, and ResponseTruncated on a gap, on an event
    without a number, or when the stream stops before its end.
    """
    expected_request_id = request_id.encode()
    expected_position = received + 1
    async for raw in raw_events:
        if raw.startswith(END_OF_STREAM):
            yield StreamEvent(raw, 0)
            return
        position = _validate_position(
            raw, expected_request_id, expected_position
        )
        if position == expected_position:
            expected_position += 1
            yield StreamEvent(raw, position)
    raise ResponseTruncated('The stream ended without its end marker.')


def _validate_position(
    raw: bytes, expected_request_id: bytes, expected_position: int
) -> int:
    if expected_request_id not in raw:
        raise ResponseMismatch(
            'An event of the stream belongs to another request.'
        )
    number = raw[: raw.index(b'\n')].removeprefix(ID_FIELD)
    if not number.isdigit():
        raise ResponseTruncated('An event of the stream has no token number.')
    position = int(number)
    if position > expected_position:
        raise ResponseTruncated(
            f'Token {expected_position} is missing from the stream.'
        )
    return position
