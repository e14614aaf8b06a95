"""One HTTP exchange on the server side, and the server that carries it.

Wraps the ASGI interface (https://asgi.readthedocs.io) of hypercorn in an
object with plain methods. Nothing here knows about routing.
"""

from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from functools import partial
from typing import Any
from urllib.parse import parse_qs

import msgspec
import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from peridotwell.errors import CallTooLarge

__all__ = ('Exchange', 'serve_http')

DEFAULT_BODY_LIMIT_BYTES = 8 * 1024 * 1024
KEEP_ALIVE_SECONDS = 30
LONGEST_STREAM_SECONDS = 3600
JSON_TYPE = ('content-type', 'application/json')

Headers = Sequence[tuple[str, str]]
Handler = Callable[['Exchange'], Awaitable[None]]


class Exchange:
    """One HTTP request and the response being written to it.

    Header names are lower case. `status` is zero until the response starts;
    `is_complete` tells whether its end was sent.
    """

    def __init__(self, scope: Any, receive: Any, send: Any) -> None:
        self.method: str = scope['method']
        self.path: str = scope['path']
        self.query_string: str = scope['query_string'].decode('latin-1')
        self.headers: Mapping[str, str] = _combined(scope['headers'])
        self.status = 0
        self.is_complete = False
        self._receive = receive
        self._send = send

    def query(self, name: str, default: str = '') -> str:
        """Return the first query parameter of that name."""
        return parse_qs(self.query_string).get(name, [default])[0]

    async def body(self, limit: int = DEFAULT_BODY_LIMIT_BYTES) -> bytes:
        """Return the whole request body.

        Raises CallTooLarge past `limit` bytes, and trio.ClosedResourceError
        when the client leaves before the end.
        """
        received = bytearray()
        more = True
        while more:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                raise trio.ClosedResourceError('the client left')
            received += message.get('body', b'')
            if len(received) > limit:
                raise CallTooLarge(
                    f'The body is over {limit} bytes: send a shorter one.',
                )
            more = message.get('more_body', False)
        return bytes(received)

    async def wait_gone(self) -> None:
        """Return when the client has left."""
        message = {'type': ''}
        while message['type'] != 'http.disconnect':
            message = await self._receive()

    async def start(self, status: int, headers: Headers = ()) -> None:
        """Send the status line and headers."""
        self.status = status
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [
                    (name.encode('latin-1'), text.encode('latin-1'))
                    for name, text in headers
                ],
            }
        )

    async def write(self, chunk: bytes) -> None:
        """Send a part of the response body."""
        await self._send(
            {
                'type': 'http.response.body',
                'body': chunk,
                'more_body': True,
            }
        )

    async def finish(self, chunk: bytes = b'') -> None:
        """Send the last part of the response body and end the response."""
        self.is_complete = True
        await self._send(
            {
                'type': 'http.response.body',
                'body': chunk,
                'more_body': False,
            }
        )

    async def answer(
        self,
        status: int,
        body: bytes = b'',
        headers: Headers = (),
    ) -> None:
        """Send a whole response."""
        length = ('content-length', str(len(body)))
        await self.start(status, (*headers, length))
        await self.finish(body)

    async def answer_json(
        self,
        document: Any,
        status: int = 200,
        headers: Headers = (),
    ) -> None:
        """Send a whole response with `document` encoded as JSON."""
        body = msgspec.json.encode(document)
        await self.answer(status, body, (JSON_TYPE, *headers))


class _Application:
    """The ASGI application that hands each HTTP exchange to a handler."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Run one exchange; other kinds of scope are not supported."""
        if scope['type'] != 'http':
            raise NotImplementedError('only HTTP is served')
        await self._handler(Exchange(scope, receive, send))


async def serve_http(
    handler: Handler,
    bind: str,
    *,
    shutdown: Callable[[], Awaitable[None]] | None = None,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve `handler` on `bind` ('host:port'; port 0 picks a free one).

    Reports the bound 'host:port' through `task_status`. After `shutdown`
    returns, running exchanges are completed, however long they take.
    """
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(
            partial(
                serve,
                _Application(handler),
                _server_config(bind),
                shutdown_trigger=shutdown or trio.sleep_forever,
            ),
        )
        task_status.started(binds[0].removeprefix('http://'))


def _combined(fields: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return the header fields, repeated ones as one list (RFC 9110)."""
    headers: dict[str, str] = {}
    for raw_name, raw_text in fields:
        name = raw_name.decode('latin-1').lower()
        text = raw_text.decode('latin-1')
        if name in headers:
            text = f'{headers[name]}, {text}'
        headers[name] = text
    return headers


def _server_config(bind: str) -> Config:
    cfg = Config()
    cfg.bind = [bind]
    cfg.errorlog = None
    cfg.accesslog = None
    cfg.include_server_header = False
    cfg.keep_alive_timeout = KEEP_ALIVE_SECONDS
    cfg.graceful_timeout = LONGEST_STREAM_SECONDS
    return cfg
