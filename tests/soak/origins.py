"""Follows a connection of a target back to the router that opened it.

Between them are proxies of the same process. The router's own connection tells
at once whether the router has reset it, however late the proxies are.
"""

import select
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import trio

__all__ = ('Origin', 'Passage', 'Passages', 'is_reset', 'port_of')


@dataclass
class Passage:
    """One connection through a proxy.

    `request_at` is when the first bytes of the latest request came.
    """

    caller: trio.SocketStream
    caller_port: int
    request_at: float = 0
    is_answered: bool = True

    def note_request(self, now: float) -> None:
        """Note bytes of a request."""
        if self.is_answered:
            self.request_at = now
        self.is_answered = False

    def note_response(self) -> None:
        """Note bytes of a response, after which another request may come."""
        self.is_answered = True


# The open connections of a proxy, by the port of the side next to the target.
Passages = dict[int, Passage]


class Origin:
    """Where a connection of a target comes from, through its proxies.

    `layers` has those of all proxies, the ones next to the target first.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        layers: Iterable[Iterable[Passages]],
    ) -> None:
        self._stream = stream
        self._port = port_of(stream)
        self._layers = tuple(layers)

    @property
    def request_at(self) -> float:
        """When the router sent the latest request; 0 if that is not known."""
        times = [0, *(each.request_at for each in self._passages())]
        return times[-1]

    def is_reset(self) -> bool:
        """Whether the connection has been reset anywhere on its way."""
        callers = (passage.caller for passage in self._passages())
        return any(is_reset(stream) for stream in (self._stream, *callers))

    def _passages(self) -> Iterator[Passage]:
        port = self._port
        for layer in self._layers:
            for passages in layer:
                if port in passages:
                    yield passages[port]
                    port = passages[port].caller_port
                    break


def is_reset(stream: trio.SocketStream) -> bool:
    """Return whether a connection is reset, or closed in both directions."""
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    # Errors and the end of both directions are reported in any case.
    poll.register(descriptor, 0)
    return bool(poll.poll(0))


def port_of(stream: trio.SocketStream) -> int:
    """Return the port of the other side; 0 if the connection has ended."""
    try:
        return stream.socket.getpeername()[1]
    except OSError:
        return 0
