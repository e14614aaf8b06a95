"""Connections that have reached a server by the moment at which it stops."""

import socket

import trio

from peridotwell.serving.asgi import serve_http

REQUEST = b'GET /x HTTP/1.1\r\nhost: a.example\r\n\r\n'
CONNECTIONS = 12


async def answer(exchange):
    await exchange.respond(200, b'done')


# Guards against requests that are lost in a planned stop, because their
# connections wait to be accepted when the server closes its port (soak, seeds
# 6340 and 6361 of a day).
async def test_connections_that_wait_are_served_before_the_port_closes(nursery):
    stops = trio.Event()

    async def shutdown():
        await stops.wait()

    host, _, port = (await nursery.start(start_server, shutdown)).rpartition(
        ':'
    )
    # All of this happens within one turn of the server's event loop.
    sockets = [
        socket.create_connection((host, int(port)), 1)
        for _ in range(CONNECTIONS)
    ]
    for each in sockets:
        each.sendall(REQUEST)
    stops.set()
    answers = [await trio.to_thread.run_sync(receive, each) for each in sockets]
    assert answers == [b'HTTP/1.1 200'] * CONNECTIONS


async def start_server(shutdown, task_status=trio.TASK_STATUS_IGNORED):
    await serve_http(
        answer, '127.0.0.1:0', shutdown=shutdown, task_status=task_status
    )


def receive(connection):
    with connection:
        try:
            return connection.recv(12)
        except ConnectionError as exc:
            return repr(exc)
