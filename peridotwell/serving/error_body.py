"""The body of an error response to a caller, whoever writes it."""

import msgspec

from peridotwell.errors import RequestError

__all__ = ('ErrorBody', 'error_body')


class ErrorBody(msgspec.Struct, frozen=True):
    """The JSON body of an error; `ran` is the value of a RunState."""

    code: str
    ran: str
    message: str
    retry_after_seconds: float | None
    request: str


def error_body(error: RequestError, request_id: str) -> ErrorBody:
    """Return the JSON body for an error."""
    return ErrorBody(
        code=error.code,
        ran=error.run_state.value,
        message=str(error),
        retry_after_seconds=error.retry_after_seconds,
        request=request_id,
    )
