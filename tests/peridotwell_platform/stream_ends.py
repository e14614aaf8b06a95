"""Streams of raw targets, and their ends as callers get them."""

from dataclasses import dataclass

import httpcore
import msgspec
import trio

from tests.peridotwell_platform.router_setup import caller_headers
from tests.raw_target import RawResponse, RawTarget

__all__ = (
    'CHUNKED',
    'SETTLE_SECONDS',
    'UNMARKED',
    'Got',
    'caller_of',
    'chunked',
    'events',
    'read_answer',
    'request_until_asked',
    'unmarked',
    'use_raw_targets',
)

HEAD = (
    'HTTP/1.1 200 OK',
    'x-request-id: {id}',
    'x-server-seal: s',
    'content-type: text/event-stream',
)
UNMARKED = (*HEAD, '', '')
CHUNKED = (*HEAD, 'transfer-encoding: chunked', '', '')
LAST_CHUNK = b'0\r\n\r\n'
SETTLE_SECONDS = 0.3
MAX_TRIES = 40


@dataclass(frozen=True)
class Got:
    """What a caller got; `end` is what marked the end of it.

    That is 'chunks', 'length', 'connection', or 'cut'.
    """

    status: int
    content: bytes
    end: str


def events(*numbers: int) -> bytes:
    """Return events with these ids."""
    return b''.join(b'id: %d\ndata: x\n\n' % number for number in numbers)


def unmarked(body: bytes, *, reset: bool = False) -> RawResponse:
    """Return a response whose end is that of its connection."""
    return RawResponse(UNMARKED, body, reset=reset)


def chunked(body: bytes, *, is_whole: bool = True) -> RawResponse:
    """Return a response in chunks, with the last one or without."""
    chunk = b'%x\r\n%b\r\n' % (len(body), body) if body else b''
    return RawResponse(CHUNKED, chunk + LAST_CHUNK * is_whole)


async def use_raw_targets(harness, nursery, *targets: RawTarget) -> None:
    """Let raw targets take the place of the harness's own."""
    for key in [key for key in harness.store.items if 'servers/' in key]:
        harness.store.delete(key)
    for number, target in enumerate(targets):
        entry = {
            'service': 'svc',
            'address': await target.start(nursery),
            'zone': 'north',
            'state': 'ready',
        }
        harness.store.put(f'servers/raw-{number}', msgspec.json.encode(entry))
    await trio.sleep(SETTLE_SECONDS)


async def read_answer(address: str, path: str, headers: dict[str, str]) -> Got:
    """Send a request over a connection of its own, and read to the end."""
    host, _, port = address.partition(':')
    url = httpcore.URL(
        scheme=b'http', host=host.encode(), port=int(port), target=path.encode()
    )
    received = b''
    async with (
        httpcore.AsyncConnectionPool() as pool,
        pool.stream(
            'POST', url, headers=list(headers.items()), content=b'q'
        ) as resp,
    ):
        try:
            async for part in resp.aiter_stream():
                received += part
        except (httpcore.RemoteProtocolError, httpcore.ReadError):
            return Got(resp.status, received, 'cut')
        return Got(resp.status, received, _mark(resp))


def _mark(resp: httpcore.Response) -> str:
    names = {name.lower() for name, _ in resp.headers}
    if b'transfer-encoding' in names:
        return 'chunks'
    return 'length' if b'content-length' in names else 'connection'


async def request_until_asked(send, target: RawTarget) -> Got:
    """Send requests until a target has had one; return that one's answer."""
    for number in range(MAX_TRIES):
        got = await send(number)
        if target.requests:
            return got
    raise AssertionError('no request was sent to the raw target')


def caller_of(harness, path: str, **fields: str):
    """Return a function that sends the request of a caller to the harness."""

    async def send(number: int) -> Got:
        headers = caller_headers(number, x_deadline_ms='1500', **fields)
        return await read_answer(harness.address, path, headers)

    return send
