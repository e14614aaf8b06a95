"""Reading of callers' requests: their route, customer and deadline."""

from collections.abc import Awaitable, Callable
from dataclasses import replace

from peridotwell.domain.routing_table import Customer, Route, RoutingTable
from peridotwell.errors import (
    HeadersTooLarge,
    NotConfigured,
    UnknownCredential,
    UnknownPath,
)
from peridotwell.forwarding.adapters import (
    CallerAdapter,
    CallerMetadata,
    RoutedRequest,
)
from peridotwell.forwarding.handover.handover_protocol import (
    INFO_FIELD,
    decode_info,
    without_handover_fields,
)
from peridotwell.logs import log_event
from peridotwell.policy.crashes.quarantine import request_fingerprint
from peridotwell.policy.placement.region_restriction import combined_regions
from peridotwell.serving.http_exchange import HttpExchange

__all__ = (
    'RequestReader',
    'read_request',
    'read_handed_over_request',
    'NOT_READY_RETRY_AFTER_SECONDS',
)

NOT_READY_RETRY_AFTER_SECONDS = 0.5
# A version that can be read may come soon; most operators write the next one
# within seconds.
UNREADABLE_RETRY_AFTER_SECONDS = 1
NO_CUSTOMER = Customer('')

RequestReader = Callable[
    [HttpExchange, CallerAdapter, RoutingTable | None, float],
    Awaitable[RoutedRequest],
]


async def read_request(
    exchange: HttpExchange,
    adapter: CallerAdapter,
    table: RoutingTable | None,
    now: float,
) -> RoutedRequest:
    """Check and read a request that arrived `now`.

    Raises RequestError, and trio.ClosedResourceError if the caller
    disconnects before its body has arrived.
    """
    if table is None:
        raise NotConfigured(
            'This instance has no configuration yet: send the request again.',
            retry_after_seconds=NOT_READY_RETRY_AFTER_SECONDS,
        )
    _check_header_size(exchange, table)
    metadata = adapter.read(exchange)
    route = _find_route(exchange, table)
    customer = _customer(table, route, metadata)
    body = await exchange.body(table.limits.body_bytes)
    return _make_request(exchange, table, route, customer, metadata, body, now)


async def read_handed_over_request(
    exchange: HttpExchange,
    adapter: CallerAdapter,
    table: RoutingTable | None,
    now: float,
) -> RoutedRequest:
    """Read a request that another router has checked and handed over `now`.

    Raises RequestError, and trio.ClosedResourceError if that router
    disconnects. NotConfigured also means that the other router knows a newer
    configuration: its caller must not be served by an older one.
    """
    info = decode_info(exchange.headers.get(INFO_FIELD, ''))
    if table is None or table.version < info.table_version:
        raise NotConfigured(
            f'Configuration {info.table_version} is not known here yet: hand '
            'the request over to another instance.',
            retry_after_seconds=NOT_READY_RETRY_AFTER_SECONDS,
        )
    metadata = adapter.read(exchange)
    route = _find_route(exchange, table)
    customer = Customer(info.customer, info.priority, info.allowed_regions)
    body = await exchange.body(table.limits.body_bytes)
    request = _make_request(
        exchange, table, route, customer, metadata, body, now
    )
    max_attempts = min(route.max_attempts, info.attempts)
    log_event(
        'request.taken_over', request=request.request_id, router=info.router
    )
    return replace(
        request,
        route=replace(route, max_attempts=max_attempts),
        passed_fields=without_handover_fields(request.passed_fields),
        deadline_at=min(request.deadline_at, now + info.remaining_seconds),
        is_handed_over=True,
    )


def _find_route(exchange: HttpExchange, table: RoutingTable) -> Route:
    host = exchange.headers.get('host', '')
    path = exchange.raw_path.decode('latin-1')
    route = table.find_route(host, path)
    if route is None and table.is_in_doubt(host, path):
        raise _unreadable('The route of this host and path', table)
    if route is None:
        raise UnknownPath(
            f'No route of configuration {table.version} has this host and '
            'path: check both.',
        )
    return route


def _make_request(
    exchange: HttpExchange,
    table: RoutingTable,
    route: Route,
    customer: Customer,
    metadata: CallerMetadata,
    body: bytes,
    now: float,
) -> RoutedRequest:
    target_path = exchange.raw_target
    timeout_seconds = route.timeout_seconds
    if metadata.deadline_seconds is not None:
        timeout_seconds = min(timeout_seconds, metadata.deadline_seconds)
    subject = (
        metadata.prompt.placement_key
        if metadata.prompt
        else metadata.request_id
    )
    priority = route.priority
    if customer.priority is not None:
        priority = customer.priority
    return RoutedRequest(
        request_id=metadata.request_id,
        customer=customer.name,
        route=route,
        service=route.choose_service(subject),
        priority=priority,
        method=exchange.method,
        target_path=target_path,
        passed_fields=metadata.passed_fields,
        body=body,
        prompt=metadata.prompt,
        arrived_at=now,
        deadline_at=now + timeout_seconds,
        fingerprint=request_fingerprint(
            f'{target_path.decode("latin-1")}|{customer.name}',
            body,
        ),
        table_version=table.version,
        # A stream that can't be resumed is a new run, from its beginning.
        resumed_stream=metadata.resumed_stream if route.resumable else None,
        allowed_regions=combined_regions(
            route.allowed_regions, customer.allowed_regions
        ),
    )


def _customer(
    table: RoutingTable,
    route: Route,
    metadata: CallerMetadata,
) -> Customer:
    found = table.find_customer(metadata.api_key) if metadata.api_key else None
    if found is not None:
        return found
    if route.anonymous or not table.has_customers:
        return NO_CUSTOMER
    if metadata.api_key and table.has_unreadable_customers:
        raise _unreadable('The customer of this API key', table)
    raise UnknownCredential('The API key is not known: ask for a valid one.')


def _unreadable(subject: str, table: RoutingTable) -> NotConfigured:
    return NotConfigured(
        f'{subject} may be an entry of configuration {table.version} that '
        'cannot be read: ask its operator.',
        retry_after_seconds=UNREADABLE_RETRY_AFTER_SECONDS,
    )


def _check_header_size(exchange: HttpExchange, table: RoutingTable) -> None:
    size = sum(len(name) + len(text) for name, text in exchange.fields)
    if size > table.limits.header_bytes:
        raise HeadersTooLarge(
            f'The header fields are over {table.limits.header_bytes} bytes: '
            'send shorter ones.',
        )
