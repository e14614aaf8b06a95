"""Responses to callers: those of targets unchanged, or errors of the router."""

import math

import msgspec

from peridotwell.errors import (
    NoReachableTarget,
    NotConfigured,
    RequestError,
    RunState,
)
from peridotwell.forwarding.adapters import HeaderFields
from peridotwell.forwarding.handover.handover_protocol import (
    HandoverResult,
    result_field,
    unmarked_end_field,
    without_handover_fields,
)
from peridotwell.forwarding.streams.stream_log import CUT
from peridotwell.policy.room.buffer_budget import BufferShare
from peridotwell.serving.error_body import error_body
from peridotwell.serving.http_exchange import HttpExchange
from peridotwell.serving.target_response import BodyEnd

__all__ = ('CallerResponse', 'HandoverResponse')

JSON_FIELD = (b'content-type', b'application/json')
MILLISECONDS_PER_SECOND = 1000


class CallerResponse:
    """The response to one request."""

    def __init__(self, exchange: HttpExchange) -> None:
        self._exchange = exchange

    @property
    def has_begun(self) -> bool:
        """Whether the status line was sent."""
        return bool(self._exchange.status)

    @property
    def passed_end(self) -> str:
        """What marks the end of a body that was begun, CUT if nothing does."""
        if not self._exchange.is_complete:
            return CUT
        end = BodyEnd.chunks if self.is_end_marked else BodyEnd.connection
        return end.value

    def hold(self, share: BufferShare | None) -> None:
        """Hold the memory of a response until the caller has taken it."""
        if share is not None:
            self._exchange.hold(share)

    @property
    def is_end_marked(self) -> bool:
        """Whether the end of a body that was begun will be marked."""
        return self._exchange.is_chunked

    async def send_whole(
        self,
        status: int,
        fields: HeaderFields,
        body: bytes,
        *,
        is_end_marked: bool,
    ) -> None:
        """Send the response of a target.

        If the target did not mark its end, nor does this router: a part of a
        response would look complete.
        """
        own_fields = without_handover_fields(fields)
        if is_end_marked:
            await self._send(status, own_fields, body)
            return
        await self._exchange.start_raw_response(
            status, own_fields, ends_with_connection=True
        )
        await self._exchange.finish(body)

    async def _send(
        self, status: int, fields: HeaderFields, body: bytes
    ) -> None:
        length = (b'content-length', str(len(body)).encode())
        await self._exchange.start_raw_response(
            status,
            (*fields, length),
        )
        await self._exchange.finish(body)

    async def begin(
        self, status: int, fields: HeaderFields, *, is_end_marked: bool
    ) -> None:
        """Start a response whose length is not known.

        Only if the target marks its end, it is sent in chunks.
        """
        await self._exchange.start_raw_response(
            status,
            without_handover_fields(fields),
            ends_with_connection=not is_end_marked,
        )

    async def send_part(self, chunk: bytes) -> None:
        """Send a part of the body."""
        await self._exchange.write(chunk)

    async def end(self) -> None:
        """End the body, so that the caller sees that it is complete."""
        await self._exchange.finish()

    async def send_error(self, error: RequestError, request_id: str) -> None:
        """Send an error of this router as JSON."""
        document = {'error': error_body(error, request_id)}
        fields = self._error_fields(error)
        if error.retry_after_seconds is not None:
            wait = (
                math.ceil(error.retry_after_seconds * MILLISECONDS_PER_SECOND)
                / MILLISECONDS_PER_SECOND
            )
            fields = (*fields, (b'retry-after', f'{wait:g}'.encode()))
        await self._send(error.status, fields, msgspec.json.encode(document))

    def _error_fields(self, error: RequestError) -> HeaderFields:
        return (JSON_FIELD,)


class HandoverResponse(CallerResponse):
    """The response to a request that another router has handed over.

    Its errors tell that router whether the request may have run. Fields of a
    target cannot: those of the handover protocol are dropped.

    Its end is marked though the target's was not, as that router must tell an
    end from a break. A field tells it what to pass on.
    """

    _is_end_marked = True

    @property
    def is_end_marked(self) -> bool:
        """Whether the other router will mark the end of a begun body."""
        return self._is_end_marked

    async def send_whole(
        self,
        status: int,
        fields: HeaderFields,
        body: bytes,
        *,
        is_end_marked: bool,
    ) -> None:
        """Send the response of a target."""
        await self._send(status, _handover_fields(fields, is_end_marked), body)

    async def begin(
        self, status: int, fields: HeaderFields, *, is_end_marked: bool
    ) -> None:
        """Start a response whose length is not known."""
        self._is_end_marked = is_end_marked
        await self._exchange.start_raw_response(
            status, _handover_fields(fields, is_end_marked)
        )

    def _error_fields(self, error: RequestError) -> HeaderFields:
        return (JSON_FIELD, *result_field(_result(error)))


def _handover_fields(fields: HeaderFields, is_end_marked: bool) -> HeaderFields:
    own_fields = () if is_end_marked else unmarked_end_field()
    return (*without_handover_fields(fields), *own_fields)


def _result(error: RequestError) -> HandoverResult:
    if error.run_state is not RunState.not_run:
        return HandoverResult.unknown
    if isinstance(error, NoReachableTarget | NotConfigured):
        return HandoverResult.unable
    return HandoverResult.not_run
