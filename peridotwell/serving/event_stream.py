"""Splits a token stream into server-sent events and validates them.

The format is defined by the HTML standard, "Server-sent events". Engines
number their tokens in the `id` field, from 1 without gaps, and end the stream
with `data: [DONE]`; a stream is resumed with the Last-Event-ID header.
"""

import re
from collections.abc import AsyncIterator
from dataclasses import dataclass

from peridotwell.attempt_errors import ResponseMismatch, ResponseTruncated

__all__ = (
    'EventBuffer',
    'StreamEvent',
    'split_events',
    'validated_events',
    'whole_events',
)

EVENT_ENDS = (b'\n\n', b'\r\n\r\n', b'\r\r')
MAX_EVENT_END_BYTES = max(map(len, EVENT_ENDS))
EVENT = re.compile(rb'.+?(?:\n\n|\r\n\r\n|\r\r|\Z)', re.DOTALL)
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


class EventBuffer:
    """Holds back the bytes of a stream after its last complete event.

    An event ends with an empty line; a line ends with LF, CR LF or CR.
    """

    def __init__(self) -> None:
        self._unfinished = bytearray()

    def add(self, chunk: bytes) -> bytes:
        """Return the events that a chunk completes, with their ends.

        Raises ResponseTruncated if an event is too long.
        """
        # The end of an event may lie in two chunks.
        searched = max(len(self._unfinished) - MAX_EVENT_END_BYTES + 1, 0)
        self._unfinished += chunk
        end = _end_of_last_event(self._unfinished, searched)
        complete = bytes(self._unfinished[:end])
        del self._unfinished[:end]
        if len(self._unfinished) > MAX_EVENT_BYTES:
            raise ResponseTruncated('An event of the stream is too long.')
        return complete

    def finish(self) -> bytes:
        """Return what follows the last event, which may be empty lines.

        Raises ResponseTruncated if that is a part of an event.
        """
        if self._unfinished.strip(b'\r\n'):
            raise ResponseTruncated('The stream ended within an event.')
        return bytes(self._unfinished)


async def whole_events(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield a stream in parts that contain whole events only.

    Raises ResponseTruncated if the stream ends within an event, however the
    end of the response is marked: a target that breaks off may close its
    connection as after a complete response.
    """
    buffer = EventBuffer()
    async for chunk in chunks:
        events = buffer.add(chunk)
        if events:
            yield events
    remainder = buffer.finish()
    if remainder:
        yield remainder


async def split_events(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield each event with its end. Raises errors like whole_events."""
    async for part in whole_events(chunks):
        for event in EVENT.findall(part):
            yield event


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


def _end_of_last_event(content: bytearray, start: int) -> int:
    """Return where the last event ends that ends after `start`, else 0."""
    ends = (
        (content.rfind(event_end, start), len(event_end))
        for event_end in EVENT_ENDS
    )
    return max(
        (position + length for position, length in ends if position >= 0),
        default=0,
    )
