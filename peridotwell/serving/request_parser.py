"""Parses and validates the HTTP requests of callers.

Request headers are described in docs/interfaces.md.
"""

import uuid
from collections.abc import Iterable, Mapping
from urllib.parse import unquote

import msgspec

from peridotwell.decoding import DECODING_ERRORS
from peridotwell.domain.caller_request import CallerRequest
from peridotwell.domain.configuration import Configuration
from peridotwell.domain.contract import Contract
from peridotwell.errors import BadRequest, UnknownPath

__all__ = ('parse_request', 'forwarded_headers')

CHAT_PREFIX = '/v1/chat/completions'
CUSTOMER_HEADER = 'peridotwell-customer'
CLASS_HEADER = 'peridotwell-class'
CHAT_HEADER = 'peridotwell-chat'
DEADLINE_HEADER = 'peridotwell-deadline'
HINT_HEADER = 'peridotwell-placement'
KEY_HEADER = 'idempotency-key'
RESUME_HEADER = 'last-event-id'
DEFAULT_CUSTOMER = 'unnamed'
DEFAULT_CLASS = 'normal'
MAX_HEADER_LENGTH = 200
ROUTER_HEADER_PREFIX = 'peridotwell-'
# Headers that apply to a single connection (RFC 9110) or that the router sets
# itself.
HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'date',
        'expect',
        'host',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-request-id',
    )
)


class ChatRequest(msgspec.Struct):
    """The fields of a chat completion request that the router reads."""

    model: str
    messages: list[msgspec.Raw]
    stream: bool = False
    user: str = ''


def parse_request(
    method: str,
    path_and_query: str,
    headers: Mapping[str, str],
    body: bytes,
    configuration: Configuration,
    now: float,
) -> CallerRequest:
    """Return the validated request. Raises BadRequest or UnknownPath.

    `path_and_query` is the request's path with its query string as the caller
    wrote them, `now` the time of the router's own clock in seconds.
    """
    _check_headers(headers)
    path = unquote(path_and_query.partition('?')[0])
    contract = _find_contract(path, configuration.contracts)
    is_streamed = False
    chat = headers.get(CHAT_HEADER, '')
    if contract is None:
        chat_request = _parse_chat(method, path, body)
        contract = Contract(
            CHAT_PREFIX,
            chat_request.model,
            repeatable_methods=('POST',),
            echoes_request_id=True,
        )
        is_streamed = chat_request.stream
        chat = chat or chat_request.user
    customer = headers.get(CUSTOMER_HEADER, DEFAULT_CUSTOMER)
    priority_class = headers.get(CLASS_HEADER, DEFAULT_CLASS)
    cfg = configuration.for_request(customer, contract.pool, priority_class)
    return CallerRequest(
        request_id=uuid.uuid4().hex,
        customer=customer,
        priority_class=priority_class,
        method=method,
        path=path_and_query,
        body=body,
        contract=contract,
        deadline_at=now + _parse_deadline(headers, cfg.deadline_seconds),
        chat=chat,
        placement_hint=headers.get(HINT_HEADER, ''),
        idempotency_key=headers.get(KEY_HEADER, ''),
        is_streamed=is_streamed,
        headers=dict(forwarded_headers(headers.items())),
    )


def forwarded_headers(
    fields: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Return the header fields to forward to the target or the caller."""
    return tuple(
        (name, text)
        for name, text in fields
        if name not in HOP_BY_HOP_HEADERS
        and not name.startswith(ROUTER_HEADER_PREFIX)
    )


def _check_headers(headers: Mapping[str, str]) -> None:
    for name in (CUSTOMER_HEADER, CLASS_HEADER, CHAT_HEADER, HINT_HEADER):
        if len(headers.get(name, '')) > MAX_HEADER_LENGTH:
            raise BadRequest(
                f'{name} is too long: use at most {MAX_HEADER_LENGTH} '
                'characters.',
            )
    resumed = headers.get(RESUME_HEADER, '0')
    if not (resumed.isascii() and resumed.isdigit()):
        raise BadRequest(
            f'{RESUME_HEADER} is not a number: send the last token number.'
        )


def _find_contract(
    path: str,
    contracts: Iterable[Contract],
) -> Contract | None:
    """Return the contract with the longest prefix of `path`."""
    matching = [
        contract
        for contract in contracts
        if path == contract.prefix
        or path.startswith(f'{contract.prefix.rstrip("/")}/')
    ]
    return max(
        matching,
        key=lambda contract: len(contract.prefix),
        default=None,
    )


def _parse_chat(method: str, path: str, body: bytes) -> ChatRequest:
    if path != CHAT_PREFIX:
        raise UnknownPath(
            f'No service is configured for {path}: add a contract for it '
            'with `peridotwellctl contract add`.',
        )
    if method != 'POST':
        raise BadRequest(f'Use POST for {CHAT_PREFIX}.')
    try:
        return msgspec.json.decode(body, type=ChatRequest)
    except DECODING_ERRORS as exc:
        raise BadRequest(f'The body is not a chat request: {exc}.') from exc


def _parse_deadline(headers: Mapping[str, str], limit: float) -> float:
    header = headers.get(DEADLINE_HEADER)
    if header is None:
        return limit
    try:
        seconds = float(header)
    except ValueError:
        seconds = 0
    if not seconds > 0:
        raise BadRequest(f'{DEADLINE_HEADER} must be a number of seconds.')
    return min(seconds, limit)
