"""Links between routers in memory, in virtual time, with cuts and losses."""

import heapq
import itertools
import random
from collections.abc import Callable

import trio

from peridotwell.fleet.peer_transport import PeerTransport

__all__ = ('SimulatedNetwork', 'InMemoryTransport')

Receiver = Callable[[bytes], None]
Due = tuple[float, int, str, bytes]


class SimulatedNetwork:
    """Delivers frames after a latency; `is_cut` decides which are lost."""

    def __init__(
        self,
        latency_seconds: float,
        rng: random.Random,
        lost_fraction: float = 0,
    ) -> None:
        self.is_cut: Callable[[str, str], bool] = lambda source, sink: False
        self._latency = latency_seconds
        self._rng = rng
        self._lost_fraction = lost_fraction
        self._receivers: dict[str, Receiver] = {}
        self._due: list[Due] = []
        self._order = itertools.count()
        self._arrival = trio.Event()

    def attach(self, address: str, receiver: Receiver) -> None:
        """Let a router receive."""
        self._receivers[address] = receiver

    def send(self, source: str, sink: str, content: bytes) -> bool:
        """Queue a frame; False when the other end is away."""
        if sink not in self._receivers:
            return False
        lost = self._rng.random() < self._lost_fraction
        if not (lost or self.is_cut(source, sink)):
            at = trio.current_time() + self._latency
            heapq.heappush(self._due, (at, next(self._order), sink, content))
            self._arrival.set()
        return True

    async def run(self) -> None:
        """Deliver what is due, for ever."""
        while True:
            while self._due:
                await trio.sleep_until(self._due[0][0])
                _, _, sink, content = heapq.heappop(self._due)
                receiver = self._receivers.get(sink)
                if receiver is not None:
                    receiver(content)
            self._arrival = trio.Event()
            await self._arrival.wait()


class InMemoryTransport(PeerTransport):
    """A router's links over a network in memory."""

    def __init__(self, address: str, network: SimulatedNetwork) -> None:
        super().__init__(address)
        self._network = network

    def disconnect(self, address: str) -> None:
        """Do nothing: links in memory need no closing."""

    def transmit(self, address: str, content: bytes) -> bool:
        """Queue an encoded frame."""
        return self._network.send(self.address, address, content)
