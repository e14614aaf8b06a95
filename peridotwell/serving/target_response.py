"""A target's response, and how the end of its body is marked."""

from abc import ABC, abstractmethod
from collections.abc import (
    AsyncGenerator,
    Awaitable,
    Callable,
    Collection,
    Mapping,
)
from dataclasses import dataclass
from enum import Enum

import httpcore
import trio

from peridotwell.attempt_errors import (
    ResponseOverBudget,
    ResponseTimeout,
    ResponseTruncated,
)
from peridotwell.policy.evidence.process_evidence import (
    NO_EVIDENCE,
    ProcessEvidence,
)
from peridotwell.policy.room.buffer_budget import BufferShare
from peridotwell.serving.ended_early import ResponseEndedEarly
from peridotwell.serving.event_stream import (
    NO_LIMIT,
    EventLimit,
    split_events,
    whole_events,
)
from peridotwell.serving.fair_turns import Pace
from peridotwell.serving.following_response import FollowingResponse
from peridotwell.serving.response_buffers import ResponseBuffers

__all__ = ('BodyEnd', 'ReadObserver', 'ResponseOrigin', 'TargetResponse')

# Responses to it, or with these statuses, end with their header fields.
NO_BODY_METHOD = b'HEAD'
NO_BODY_STATUSES = frozenset((204, 304))
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# Targets cut off responses that stay unread for some seconds.
MAX_UNREAD_SECONDS = 2.0


class BodyEnd(Enum):
    """What marks the end of a response body (RFC 9112, section 6.3)."""

    none = 'none'
    length = 'length'
    chunks = 'chunks'
    connection = 'connection'


@dataclass(frozen=True)
class ResponseOrigin:
    """How a response came: the mark of its end, and its connection.

    `earlier_requests` is the number of requests that were sent on the
    connection before.
    """

    body_end: BodyEnd
    earlier_requests: int

    @property
    def is_end_marked(self) -> bool:
        """Whether anything but the end of the connection marks the end."""
        return self.body_end is not BodyEnd.connection


class ReadObserver(ABC):
    """Is told when data of a response body is waited for."""

    @abstractmethod
    def before_read(self) -> None:
        """Handle the beginning of a read."""

    @abstractmethod
    def after_read(self) -> None:
        """Handle the arrival of data."""


class TargetResponse:
    """A response, to a request with `method`, whose headers have arrived.

    Header names are lower case; `fields` keeps repeated ones. `body_chunks`
    yields the body as it arrives, and raises ResponseTruncated or
    ResponseTimeout if it does not arrive completely. `event_limit` limits
    the wait for each event of a stream. `observer` is told of reads.
    `earlier_requests` is the number of requests before on the connection,
    `earlier_ids` the ids of the latest of them.
    A body that ends with its connection counts as truncated if it was left
    unread for long meanwhile, since targets cut off such responses.
    `check_end` is awaited after a body that ends with its connection, with the
    time at which its last part came; it raises
    ResponseTruncated if that was no ordinary end, and returns what is known of
    the process of the target, which is `process` then. `share` is the memory
    that the response takes, among those of its `group`; ResponseOverBudget is
    raised if there is no more of it.
    """

    def __init__(
        self,
        resp: httpcore.Response,
        event_limit: EventLimit = NO_LIMIT,
        method: bytes = b'GET',
        buffers: ResponseBuffers | None = None,
        group: str = '',
    ) -> None:
        buffers = buffers or ResponseBuffers()
        self.share: BufferShare = buffers.open_share(resp, group)
        self.status: int = resp.status
        self.fields: tuple[tuple[str, str], ...] = tuple(
            (name.decode('latin-1').lower(), text.decode('latin-1'))
            for name, text in resp.headers
        )
        self.headers: Mapping[str, str] = dict(self.fields)
        self.observer: ReadObserver | None = None
        self.earlier_requests = 0
        self.earlier_ids: Collection[str] = ()
        self.check_end: Callable[[float], Awaitable[ProcessEvidence]] | None = (
            None
        )
        self.process: ProcessEvidence = NO_EVIDENCE
        self._has_no_body = (
            method == NO_BODY_METHOD or resp.status in NO_BODY_STATUSES
        )
        self._resp = resp
        self._event_limit = event_limit
        self._pace = Pace(buffers.turns)
        self._event_pace = Pace(buffers.turns)

    @property
    def body_end(self) -> BodyEnd:
        """What marks the end of the body.

        With `connection`, the end of the connection does: a body that was cut
        off looks the same as a complete one.
        """
        if self._has_no_body:
            return BodyEnd.none
        if 'transfer-encoding' in self.headers:
            return BodyEnd.chunks
        if 'content-length' in self.headers:
            return BodyEnd.length
        return BodyEnd.connection

    @property
    def origin(self) -> ResponseOrigin:
        """How the response came."""
        return ResponseOrigin(self.body_end, self.earlier_requests)

    async def body_chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the chunks of the body.

        Raises ResponseMismatch if another response is in it.
        """
        following = self._search_following()
        unread = _Unread()
        self._before_read()
        try:
            async for part in self._resp.aiter_stream():
                self._after_read()
                unread.began_at = trio.current_time()
                if following is not None:
                    following.add(part)
                yield part
                unread.record(trio.current_time())
                await self._pace.after_part()
                self._before_read()
        except httpcore.ReadTimeout as exc:
            raise ResponseTimeout(
                'The target stopped sending the response body.'
            ) from exc
        except httpcore.ProtocolError as exc:
            self._raise_if_ended()
            raise ResponseEndedEarly(
                f'The response ended early: {exc}'
            ) from exc
        except httpcore.NetworkError as exc:
            self._raise_if_ended()
            raise ResponseTruncated(
                f'The response was truncated: {exc}'
            ) from exc
        if following is not None:
            following.finish()
        if self.body_end is BodyEnd.connection:
            unread.require_short()
            if self.check_end is not None:
                self.process = await self.check_end(unread.began_at)

    def _search_following(self) -> FollowingResponse | None:
        """Return a search for another response, if that may be in the body.

        Between chunks, it would be an error.
        """
        if self.body_end is BodyEnd.connection:
            return FollowingResponse()
        if self.body_end is BodyEnd.length and self.earlier_ids:
            return FollowingResponse(self.earlier_ids)
        return None

    def whole_events(self) -> AsyncGenerator[bytes, None]:
        """Yield the body in parts that contain whole events only."""
        return whole_events(self.body_chunks(), self._event_limit, self._hold)

    def split_events(self) -> AsyncGenerator[bytes, None]:
        """Yield the events of the body one by one."""
        return split_events(
            self.body_chunks(), self._event_limit, self._hold, self._event_pace
        )

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
        parts: list[bytes] = []
        try:
            await self._read_parts(parts)
            return b''.join(parts)
        finally:
            # The traceback of an error would keep them.
            parts.clear()

    async def _read_parts(self, parts: list[bytes]) -> None:
        # One array that grows would leave holes in the memory of the process
        # where others grow beside it.
        body_bytes = 0
        async for part in self.body_chunks():
            parts.append(part)
            body_bytes += len(part)
            if body_bytes > MAX_RESPONSE_BYTES:
                raise ResponseTruncated(
                    f'The response exceeds {MAX_RESPONSE_BYTES} bytes.'
                )
            self._hold(body_bytes)

    def _hold(self, held_bytes: int) -> None:
        self.share.resize(held_bytes)
        self._raise_if_ended()

    def _raise_if_ended(self) -> None:
        if self.share.is_ended:
            raise ResponseOverBudget(
                'The memory for responses is full, and this one was the '
                'largest of the target that held most.'
            )

    def _before_read(self) -> None:
        if self.observer is not None:
            self.observer.before_read()

    def _after_read(self) -> None:
        if self.observer is not None:
            self.observer.after_read()


@dataclass
class _Unread:
    """For how long a response was left unread at most, in seconds."""

    began_at: float = 0
    longest_seconds: float = 0

    def record(self, now: float) -> None:
        """Record that the response is read again."""
        unread_seconds = now - self.began_at
        self.longest_seconds = max(self.longest_seconds, unread_seconds)

    def require_short(self) -> None:
        """Raise ResponseTruncated if the target may have cut it off."""
        if self.longest_seconds >= MAX_UNREAD_SECONDS:
            raise ResponseTruncated(
                f'The response was left unread for {self.longest_seconds:.1f} '
                's and has no marked end: the target may have cut it off.'
            )
