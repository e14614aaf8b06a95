"""Writes responses and errors to the caller."""

import msgspec

from peridotwell.errors import RequestError
from peridotwell.serving.error_body import error_body
from peridotwell.serving.http_exchange import HttpExchange
from peridotwell.serving.request_executor import BufferedResponse

__all__ = (
    'write_error',
    'write_error_event',
    'write_response',
    'start_event_stream',
)

OK = 200
PLACEMENT_HEADER = 'peridotwell-placement'
REQUEST_HEADER = 'peridotwell-request'


async def write_error(
    exchange: HttpExchange,
    error: RequestError,
    request_id: str,
) -> None:
    """Write an error as the complete response."""
    headers: tuple[tuple[str, str], ...] = ((REQUEST_HEADER, request_id),)
    if error.retry_after_seconds is not None:
        delay = str(max(1, round(error.retry_after_seconds)))
        headers = (*headers, ('retry-after', delay))
    await exchange.respond_json(
        {'error': error_body(error, request_id)},
        status=error.status,
        headers=headers,
    )


async def write_error_event(
    exchange: HttpExchange,
    error: RequestError,
    request_id: str,
) -> None:
    """Write an error event into a stream that has begun.

    Callers of this function must then close the connection without
    completing the response, so that the stream does not appear complete.
    """
    body = msgspec.json.encode({'error': error_body(error, request_id)})
    await exchange.write(b'event: error\ndata: %b\n\n' % body)


async def write_response(
    exchange: HttpExchange,
    response: BufferedResponse,
    request_id: str,
) -> None:
    """Write a complete response of a target."""
    headers = (
        *response.headers,
        (PLACEMENT_HEADER, response.placement_hint),
        (REQUEST_HEADER, request_id),
    )
    if response.share is not None:
        exchange.hold(response.share)
    await exchange.respond(response.status, response.body, headers)


async def start_event_stream(
    exchange: HttpExchange,
    placement_hint: str,
    request_id: str,
) -> None:
    """Write the headers of an event stream."""
    await exchange.start_response(
        OK,
        (
            ('content-type', 'text/event-stream'),
            ('cache-control', 'no-store'),
            (PLACEMENT_HEADER, placement_hint),
            (REQUEST_HEADER, request_id),
        ),
    )
