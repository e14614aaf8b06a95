"""Hosts and paths of requests, and whether a route is meant for them.

Addresses that HTTP considers equal have one canonical form here: capitals in a
host, its port and a dot at its end make no difference, nor does a
percent-encoded character that needs no encoding, nor one outside of ASCII that
a configuration holds as it is (RFC 3986, sections 2.5, 3.2.2 and 6.2.2; RFC
9110, section 4.2.3). Dots and repeated slashes in a path stay as they are: a
prefix must begin the path as it was sent.
"""

import re
from dataclasses import dataclass
from urllib.parse import quote

__all__ = (
    'SEPARATOR',
    'RoutePath',
    'canonical_host',
    'canonical_path',
    'enclosed',
)

SEPARATOR = '/'
ESCAPE = '%'
HEXADECIMAL = 16
ENCODED = re.compile('%([0-9A-Fa-f]{2})')
OUTSIDE_ASCII = re.compile(r'[^\x00-\x7f]+')
UNRESERVED = re.compile('[A-Za-z0-9._~-]')
ADDRESS_END = ']'


@dataclass(frozen=True)
class RoutePath:
    """The host and the prefix of a route; empty is one that is not known."""

    host: str
    prefix: str

    def may_cover(self, host: str, path: str) -> bool:
        """Return whether a route of this path may be meant for a request.

        `host` and `path` are canonical ones.
        """
        is_host = not self.host or canonical_host(self.host) == host
        return is_host and path.startswith(canonical_path(self.prefix))


def canonical_host(host: str) -> str:
    """Return the one form of all equal texts of a host, without its port."""
    if host.startswith('['):
        name = host.partition(ADDRESS_END)[0] + ADDRESS_END
    else:
        name = host.partition(':')[0]
    return canonical_path(name).removesuffix('.').lower()


def canonical_path(path: str) -> str:
    """Return the one form of all equal texts of a path.

    Requests have characters outside of ASCII percent-encoded only.
    """
    if not path.isascii():
        path = OUTSIDE_ASCII.sub(_encode, path)
    return ENCODED.sub(_canonical_escape, path) if ESCAPE in path else path


def enclosed(prefix: str) -> str:
    """Return a prefix with the slashes that every prefix has at its ends."""
    if not prefix:
        return ''
    start = '' if prefix.startswith(SEPARATOR) else SEPARATOR
    end = '' if prefix.endswith(SEPARATOR) else SEPARATOR
    return f'{start}{prefix}{end}'


def _encode(found: re.Match[str]) -> str:
    return quote(found.group(), errors='replace')


def _canonical_escape(found: re.Match[str]) -> str:
    character = chr(int(found.group(1), HEXADECIMAL))
    return character if UNRESERVED.match(character) else found.group().upper()
