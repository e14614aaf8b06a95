"""Addresses of targets and routers, as 'host:port', from outside."""

import ipaddress
import re

from peridotwell.domain.counts import is_count

__all__ = ('is_ip_address', 'is_endpoint')

HIGHEST_PORT = 65535
# Longest host name (RFC 1035).
MAX_HOST_CHARACTERS = 253
# Labels of letters, digits and hyphens, separated by dots (RFC 1123).
HOST_NAME = re.compile(
    r'(?!-)[a-z0-9-]{1,63}(?<!-)(?:\.(?!-)[a-z0-9-]{1,63}(?<!-))*',
    re.ASCII | re.IGNORECASE,
)


def is_ip_address(text: str) -> bool:
    """Return whether a text is an IP address and a port."""
    host, _, port = text.rpartition(':')
    return _is_ip(host) and _is_port(port)


def is_endpoint(text: str) -> bool:
    """Return whether a text is an IP address or a host name, and a port."""
    host, _, port = text.rpartition(':')
    return (_is_ip(host) or _is_host_name(host)) and _is_port(port)


def _is_ip(host: str) -> bool:
    try:
        ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
    except ValueError:
        return False
    return True


def _is_host_name(host: str) -> bool:
    if len(host) > MAX_HOST_CHARACTERS:
        return False
    return HOST_NAME.fullmatch(host) is not None


def _is_port(text: str) -> bool:
    return is_count(text) and 0 < int(text) <= HIGHEST_PORT
