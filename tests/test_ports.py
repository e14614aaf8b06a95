import socket
import struct
from contextlib import ExitStack, closing, suppress

from tests.ports import ephemeral_ports, find_free_port

# Linux: limits the ports that one socket may get to part of the range.
IP_LOCAL_PORT_RANGE = 51


def connect_from(port, address):
    """Connect; the system picks `port` if it gives it to connections."""
    client = socket.socket()
    only = struct.pack('I', port << 16 | port)
    client.setsockopt(socket.IPPROTO_IP, IP_LOCAL_PORT_RANGE, only)
    client.connect(address)
    return client


def test_no_outgoing_connection_takes_the_port_before_its_program_binds():
    with socket.create_server(('127.0.0.1', 0)) as server:
        port = find_free_port()
        with closing(connect_from(port, server.getsockname())):
            socket.create_server(('127.0.0.1', port)).close()


def test_ports_are_never_handed_out_twice():
    ports = [find_free_port() for _ in range(500)]
    assert len(set(ports)) == len(ports)


def test_ports_lie_below_those_of_outgoing_connections():
    assert find_free_port() < ephemeral_ports().start


def test_a_port_in_use_is_passed_over():
    following = find_free_port() + 1
    with ExitStack() as stack:
        # The port may be in use already, which serves as well.
        with suppress(OSError):
            stack.enter_context(socket.create_server(('127.0.0.1', following)))
        assert find_free_port() != following
