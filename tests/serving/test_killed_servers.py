"""Responses without a marked end whose server process is killed."""

import socket
import subprocess
import sys
import time

import pytest

from tests.ports import find_free_port
from tests.serving.unmarked_server import BODY, PART

LOCALHOST = '127.0.0.1'
START_SECONDS = 10


@pytest.fixture
def server():
    port = find_free_port()
    process = subprocess.Popen(
        (sys.executable, '-m', 'tests.serving.unmarked_server', str(port))
    )
    yield process, port
    process.kill()
    process.wait()


def request(port, path):
    """Return a connection over which a request was sent."""
    until = time.monotonic() + START_SECONDS
    while True:
        try:
            caller = socket.create_connection((LOCALHOST, port), START_SECONDS)
        except ConnectionRefusedError:
            assert time.monotonic() < until
            time.sleep(0.02)
        else:
            caller.sendall(b'GET %b HTTP/1.1\r\nHost: a\r\n\r\n' % path)
            return caller


def read_until(caller, end):
    """Return what arrives up to the last byte that is expected."""
    content = b''
    while not content.endswith(end):
        content += caller.recv(65536)
    return content


# Guards against a part of a response that looks complete: the connections of a
# process that is killed end in the ordinary way, unless they are set not to.
def test_a_killed_server_ends_no_response_in_the_ordinary_way(server):
    process, port = server
    with request(port, b'/part') as caller:
        assert read_until(caller, PART).startswith(b'HTTP/1.1 200')
        process.kill()
        process.wait()
        with pytest.raises(ConnectionResetError):
            caller.recv(1)


# Guards against whole responses that are reset.
def test_a_whole_response_ends_in_the_ordinary_way(server):
    _, port = server
    with request(port, b'/whole') as caller:
        time.sleep(0.3)
        content = b''
        while received := caller.recv(65536):
            content += received
        assert content.endswith(b'\r\n\r\n' + BODY)
