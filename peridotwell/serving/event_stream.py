"""Splits a token stream into server-sent events and validates them.

The format is defined by the HTML standard, "Server-sent events". Engines
number their tokens in the `id` field, from 1 without gaps, and end the stream
with `data: [DONE]`; a stream is resumed with the Last-Event-ID header.
"""

import math
import re
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from contextlib import AsyncExitStack, aclosing
from dataclasses import dataclass

import trio

from peridotwell.attempt_errors import (
    ResponseMismatch,
    ResponseTimeout,
    ResponseTruncated,
)
from peridotwell.domain.counts import is_count
from peridotwell.serving.ended_early import ResponseEndedEarly
from peridotwell.serving.fair_turns import Pace

__all__ = (
    'NO_LIMIT',
    'EventBuffer',
    'EventLimit',
    'Hold',
    'MayGiveUp',
    'StreamEvent',
    'always',
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
# A long event on a slow link is sound.
MIN_EVENT_BYTES_PER_SECOND = 16384


# Takes the number of bytes that are held back; raises an AttemptError if that
# is too much.
Hold = Callable[[int], None]
# Returns whether a response may be given up at a time, because the request may
# go on elsewhere.
MayGiveUp = Callable[[float], bool]


def always(now: float) -> bool:
    """Return True: the response may be given up at any time."""
    return True


def hold_any(held_bytes: int) -> None:
    """Allow any number of bytes to be held back."""


@dataclass(frozen=True)
class EventLimit:
    """How long each event of a stream may take to arrive.

    A stream that exceeds the limit is given up at a time at which
    `may_give_up` returns True.
    """

    seconds: float
    may_give_up: MayGiveUp = always


NO_LIMIT = EventLimit(math.inf)


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

    An event ends with an empty line; a line ends with LF, CR LF or CR. Each
    event must be complete within the limit after the one before, or arrive at
    MIN_EVENT_BYTES_PER_SECOND at least.
    """

    def __init__(self, limit: EventLimit) -> None:
        self._limit = limit
        self._unfinished = bytearray()
        # When the last event was complete, or the first chunk arrived.
        self._last_event_at: float | None = None

    @property
    def held_bytes(self) -> int:
        """The number of bytes that are held back."""
        return len(self._unfinished)

    def clear(self) -> None:
        """Drop what is held back."""
        self._unfinished.clear()

    def exclude(self, seconds: float) -> None:
        """Do not count a time in which nothing was read."""
        if self._last_event_at is not None:
            self._last_event_at += seconds

    def add(self, chunk: bytes, now: float) -> bytes:
        """Return the events that a chunk completes, with their ends.

        Raises ResponseTruncated if an event is too long, ResponseTimeout if
        it arrives too slowly.
        """
        if not self._unfinished and chunk.endswith(EVENT_ENDS):
            # Most chunks are whole events.
            self._last_event_at = now
            return chunk
        # The end of an event may lie in two chunks.
        searched = max(len(self._unfinished) - MAX_EVENT_END_BYTES + 1, 0)
        self._unfinished += chunk
        end = _end_of_last_event(self._unfinished, searched)
        complete = bytes(self._unfinished[:end])
        del self._unfinished[:end]
        if complete or self._last_event_at is None:
            self._last_event_at = now
        self._check_speed(now, self._last_event_at)
        if len(self._unfinished) > MAX_EVENT_BYTES:
            raise ResponseTruncated('An event of the stream is too long.')
        return complete

    def finish(self) -> bytes:
        """Return what follows the last event, which may be empty lines.

        Raises ResponseEndedEarly if that is a part of an event.
        """
        if self._unfinished.strip(b'\r\n'):
            raise ResponseEndedEarly('The stream ended within an event.')
        return bytes(self._unfinished)

    def _check_speed(self, now: float, last_event_at: float) -> None:
        allowed = self._limit.seconds + (
            len(self._unfinished) / MIN_EVENT_BYTES_PER_SECOND
        )
        if now - last_event_at > allowed and self._limit.may_give_up(now):
            raise ResponseTimeout(
                f'No event of the stream was complete within {allowed:.1f} s.'
            )


async def whole_events(
    chunks: AsyncGenerator[bytes, None],
    limit: EventLimit,
    hold: Hold = hold_any,
) -> AsyncGenerator[bytes, None]:
    """Yield a stream in parts that contain whole events only.

    `hold` is told of what is held back, and of events that were, until they
    are taken.

    Raises ResponseTruncated if the stream ends within an event, however the
    end of the response is marked: a target that breaks off may close its
    connection as after a complete response. Raises ResponseTimeout if an event
    exceeds the limit, although some bytes arrive.
    """
    buffer = EventBuffer(limit)
    async with AsyncExitStack() as stack:
        # The traceback of an error would keep what is held back.
        stack.callback(buffer.clear)
        await stack.enter_async_context(aclosing(chunks))
        async for chunk in chunks:
            now = trio.current_time()
            had_held = buffer.held_bytes
            events = buffer.add(chunk, now)
            if had_held or buffer.held_bytes:
                hold(buffer.held_bytes + len(events))
            if events:
                yield events
                # The caller may have taken its time to read them.
                buffer.exclude(trio.current_time() - now)
                if had_held:
                    hold(buffer.held_bytes)
        remainder = buffer.finish()
        if remainder:
            yield remainder


async def split_events(
    chunks: AsyncGenerator[bytes, None],
    limit: EventLimit,
    hold: Hold = hold_any,
    pace: Pace | None = None,
) -> AsyncGenerator[bytes, None]:
    """Yield each event with its end. Raises errors like whole_events.

    `pace` is told of each event.
    """
    async with aclosing(whole_events(chunks, limit, hold)) as parts:
        async for part in parts:
            for event in EVENT.findall(part):
                yield event
                if pace is not None:
                    await pace.after_part()


async def validated_events(
    raw_events: AsyncIterator[bytes],
    received: int,
    request_id: str,
) -> AsyncGenerator[StreamEvent, None]:
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
    if not is_count(number.decode('latin-1')):
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
