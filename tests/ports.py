"""Ports for processes that must know theirs before they start."""

import socket

__all__ = ('find_free_port',)


def find_free_port(ip: str = '127.0.0.1') -> int:
    """Return a port of an address that was free just now."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        port: int = probe.getsockname()[1]
    return port
