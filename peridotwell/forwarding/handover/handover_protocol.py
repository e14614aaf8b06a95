"""How routers hand over requests that they cannot send to a target.

The request goes over HTTP to the address at which the other router takes
requests, with the fields that a target would get and one field of its own. The
response is that of the target, or an error with a field that tells whether the
request may have run. Another field says that the target did not mark the end of
its response: the router marks its own, as a break must not look like that end.
"""

import base64
from dataclasses import replace
from enum import Enum

import msgspec

from peridotwell.decoding import DECODING_ERRORS
from peridotwell.domain.routing_table import Regions
from peridotwell.errors import BadRequest
from peridotwell.forwarding.adapters import HeaderFields
from peridotwell.serving.target_response import (
    BodyEnd,
    ResponseOrigin,
    TargetResponse,
)

__all__ = (
    'INFO_FIELD',
    'HandoverInfo',
    'HandoverResult',
    'decode_info',
    'encode_info',
    'origin_of',
    'read_result',
    'result_field',
    'unmarked_end_field',
    'without_handover_fields',
)

INFO_FIELD = 'peridotwell-handover'
RESULT_FIELD = 'peridotwell-handover-result'
# Of the content of the field, which is base64.
INFO_ERRORS = (ValueError, *DECODING_ERRORS)
END_FIELD = 'peridotwell-handover-end'
UNMARKED_END = 'unmarked'
OWN_FIELDS = frozenset(
    name.encode() for name in (INFO_FIELD, RESULT_FIELD, END_FIELD)
)


class HandoverInfo(msgspec.Struct, frozen=True, array_like=True):
    """What the first router knows of a request.

    `customer` and `priority` are those that it has checked.
    `table_version` is the version of the configuration that it has used,
    `attempts` the number of targets that may still run the request. It may be
    sent only to targets in the `allowed_regions`.
    """

    router: str
    customer: str
    priority: int
    remaining_seconds: float
    attempts: int
    table_version: int
    allowed_regions: Regions = None


class HandoverResult(Enum):
    """What an error response of the second router says of the request.

    `unable` means that this router reaches no target, or knows only an older
    configuration: the request was not run, and another router may be asked.
    """

    unable = 'unable'
    not_run = 'not_run'
    unknown = 'unknown'


def encode_info(info: HandoverInfo) -> HeaderFields:
    """Return the field that carries `info`."""
    content = base64.b64encode(msgspec.msgpack.encode(info))
    return ((INFO_FIELD.encode(), content),)


def decode_info(text: str) -> HandoverInfo:
    """Decode the content of the field. Raises BadRequest."""
    try:
        content = base64.b64decode(text, validate=True)
        return msgspec.msgpack.decode(content, type=HandoverInfo)
    except INFO_ERRORS as exc:
        raise BadRequest(f'The request is not a handover: {exc}') from exc


def result_field(result: HandoverResult) -> HeaderFields:
    """Return the field that carries a result."""
    return ((RESULT_FIELD.encode(), result.value.encode()),)


def read_result(response: TargetResponse) -> HandoverResult | None:
    """Return the result of an error of the router itself, else None."""
    text = response.headers.get(RESULT_FIELD)
    if text is None:
        return None
    try:
        return HandoverResult(text)
    except ValueError:
        return HandoverResult.unknown


def unmarked_end_field() -> HeaderFields:
    """Return the field of a response whose end its target did not mark."""
    return ((END_FIELD.encode(), UNMARKED_END.encode()),)


def origin_of(response: TargetResponse, *, is_handover: bool) -> ResponseOrigin:
    """Return how a response came, with the mark that its target gave its end.

    In the response of another router, a field tells that there was none.
    """
    if is_handover and END_FIELD in response.headers:
        return replace(response.origin, body_end=BodyEnd.connection)
    return response.origin


def without_handover_fields(fields: HeaderFields) -> HeaderFields:
    """Return the fields without those of this protocol."""
    return tuple(
        (name, text) for name, text in fields if name not in OWN_FIELDS
    )
