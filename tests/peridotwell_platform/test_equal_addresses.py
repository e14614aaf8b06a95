"""Requests whose target or host is written otherwise, over a socket.

Guards against 404 for a route in force because a caller writes its address in
another way that HTTP considers equal.
"""

import pytest
import trio

from tests.peridotwell_platform import stand_in
from tests.peridotwell_platform.router_setup import caller_headers
from tests.peridotwell_platform.test_path import harness

__all__ = ('harness',)


async def send(harness, target, host):
    """Send a request line as it is; return the status of the response."""
    fields = {**caller_headers(1, x_deadline_ms='1000'), 'host': host}
    head = ''.join(f'{name}: {text}\r\n' for name, text in fields.items())
    name, _, port = harness.address.partition(':')
    stream = await trio.open_tcp_stream(name, int(port))
    async with stream:
        await stream.send_all(f'GET {target} HTTP/1.1\r\n{head}\r\n'.encode())
        with trio.fail_after(2):
            received = await stream.receive_some()
    return int(received.split()[1])


@pytest.mark.parametrize(
    ('target', 'host', 'sent'),
    [
        ('/read/x', 'A.Example:80', '/read/x'),
        ('/read/x', 'a.example.', '/read/x'),
        ('/read/x', 'a.example.:8080', '/read/x'),
        ('/r%65ad/x', 'a.example', '/r%65ad/x'),
        ('/read/x?', 'a.example', '/read/x?'),
        ('http://a.example/read/x?', 'a', '/read/x?'),
        ('/read/x%2fy%7e?a=%41', 'a.example', '/read/x%2fy%7e?a=%41'),
        ('http://a.example/read/x', 'a.example', '/read/x'),
        ('http://a.example/read/x', 'other.example', '/read/x'),
        ('HTTP://A.EXAMPLE.:80/r%65ad/x?q=/1', 'b', '/r%65ad/x?q=/1'),
        ('https://a.example/read/?http://b/', 'a', '/read/?http://b/'),
    ],
)
async def test_equal_addresses_reach_the_route_with_their_own_path(
    harness, target, host, sent
):
    received = []

    async def respond(target, exchange):
        received.append((exchange.method, exchange.raw_target))
        await stand_in.respond_ok(target, exchange)

    harness.script_responses(respond)
    assert await send(harness, target, host) == 200
    assert received == [('GET', sent.encode())]


@pytest.mark.parametrize(
    ('target', 'host'),
    [
        ('http://b.example/read/x', 'a.example'),
        ('http://a.example', 'a.example'),
        ('http://a.example?/read/x', 'a.example'),
        ('http://u@a.example/read/x', 'a.example'),
        ('ftp://a.example/read/x', 'a.example'),
        ('/read%2Fx', 'a.example'),
        ('//a.example/read/x', 'a.example'),
        ('*', 'a.example'),
        ('/read/x', 'a.example..'),
    ],
)
async def test_other_addresses_have_no_route(harness, target, host):
    assert await send(harness, target, host) == 404
    assert not harness.count_requests()
