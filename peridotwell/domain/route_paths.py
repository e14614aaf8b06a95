"""Hosts and paths of requests, and whether a route is meant for them."""

from dataclasses import dataclass

__all__ = ('SEPARATOR', 'RoutePath', 'canonical_host', 'enclosed')

SEPARATOR = '/'


@dataclass(frozen=True)
class RoutePath:
    """The host and the prefix of a route; empty is one that is not known."""

    host: str
    prefix: str

    def may_cover(self, host: str, path: str) -> bool:
        """Return whether a route of this path may be meant for a request.

        `host` is a canonical one.
        """
        is_host = not self.host or canonical_host(self.host) == host
        return is_host and path.startswith(self.prefix)


def canonical_host(host: str) -> str:
    """Return the one form of all equal texts of a host."""
    return host.partition(':')[0].lower()


def enclosed(prefix: str) -> str:
    """Return a prefix with the slashes that every prefix has at its ends."""
    if not prefix:
        return ''
    start = '' if prefix.startswith(SEPARATOR) else SEPARATOR
    end = '' if prefix.endswith(SEPARATOR) else SEPARATOR
    return f'{start}{prefix}{end}'
