"""Ports for processes that must know theirs before they start."""

import os
import socket
from collections.abc import Iterator
from pathlib import Path

__all__ = ('ephemeral_ports', 'find_free_port')

EPHEMERAL_PORTS = Path('/proc/sys/net/ipv4/ip_local_port_range')
LOWEST_PORT = 10000
# Keeps processes with neighbouring ids from starting at the same ports.
PORTS_BETWEEN_PROCESSES = 509


def ephemeral_ports() -> range:
    """Return the ports that the system gives to outgoing connections."""
    low, high = map(int, EPHEMERAL_PORTS.read_text().split())
    return range(low, high + 1)


def find_free_port(ip: str = '127.0.0.1') -> int:
    """Return a port that is free and that no outgoing connection can take.

    A process gets each port at most once.
    """
    return next(port for port in _candidates if _is_free(ip, port))


def _count_ports() -> Iterator[int]:
    span = ephemeral_ports().start - LOWEST_PORT
    first = os.getpid() * PORTS_BETWEEN_PROCESSES % span
    for offset in range(span):
        yield LOWEST_PORT + (first + offset) % span


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


_candidates = _count_ports()
