"""Paths and queries of requests, as targets get them from the second path.

Guards against a target that gets another path than the caller has sent: the
path was forwarded with its escapes decoded, and without the question mark of
an empty query.
"""

from types import SimpleNamespace

import pytest
import trio

from peridotwell.domain.configuration import Configuration
from peridotwell.domain.contract import Contract
from peridotwell.metrics import Metrics
from peridotwell.serving.asgi import serve_http
from peridotwell.serving.request_handler import RequestHandler

CONFIGURATION = Configuration(contracts=(Contract('/book', 'desk'),))


class RecordingHandler(RequestHandler):
    """Records the requests that it would forward."""

    def __init__(self):
        readiness = SimpleNamespace(cannot_serve_reason=lambda now: '')
        configuration = SimpleNamespace(current=CONFIGURATION)
        super().__init__(
            None,
            None,
            None,
            None,
            readiness,
            Metrics('', 'test'),
            configuration,
        )
        self.requests = []

    async def _run_until_disconnect(self, exchange, request):
        self.requests.append(request)
        await exchange.respond(200)


async def send(address, target):
    host, _, port = address.partition(':')
    stream = await trio.open_tcp_stream(host, int(port))
    async with stream:
        await stream.send_all(
            f'GET {target} HTTP/1.1\r\nHost: a\r\n\r\n'.encode()
        )
        with trio.fail_after(2):
            return int((await stream.receive_some()).split()[1])


@pytest.mark.parametrize(
    ('target', 'sent'),
    [
        ('/book/x?q=%41', '/book/x?q=%41'),
        ('/book/a%2Fb%3Fc%20d', '/book/a%2Fb%3Fc%20d'),
        ('/book/%C3%BC?%zz', '/book/%C3%BC?%zz'),
        ('/b%6Fok/x', '/b%6Fok/x'),
        ('/book/x?', '/book/x?'),
        ('http://other/book/x?', '/book/x?'),
        ('/book/x??', '/book/x??'),
        ('http://other/book/%78?y=%7a', '/book/%78?y=%7a'),
    ],
)
async def test_path_and_query_are_forwarded_as_they_were_sent(
    nursery, target, sent
):
    handler = RecordingHandler()
    address = await nursery.start(serve_http, handler.handle, '127.0.0.1:0')
    assert await send(address, target) == 200
    (request,) = handler.requests
    assert request.path == sent
    assert request.contract.pool == 'desk'


async def test_path_without_a_contract_is_unknown(nursery):
    handler = RecordingHandler()
    address = await nursery.start(serve_http, handler.handle, '127.0.0.1:0')
    assert await send(address, '/bookx/book') == 404
    assert not handler.requests
