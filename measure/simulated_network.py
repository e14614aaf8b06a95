"""A simulated network between routers, with partitions and lost frames.

It runs in virtual time, given by trio's clock.
"""

import heapq
import itertools
import random
from collections.abc import Callable

import trio

from peridotwell.fleet.transport.peer_transport import PeerTransport

__all__ = ('SimulatedNetwork', 'InMemoryTransport')

FrameReceiver = Callable[[bytes], None]
QueuedFrame = tuple[float, int, str, bytes]


class SimulatedNetwork:
    """Delivers frames after a fixed latency.

    Frames are lost at random with `loss_probability`, and always while `is_cut`
    returns True for their source and destination.
    """

    def __init__(
        self,
        latency_seconds: float,
        rng: random.Random,
        loss_probability: float = 0,
    ) -> None:
        self.is_cut: Callable[[str, str], bool] = lambda source, destination: (
            False
        )
        self._latency = latency_seconds
        self._rng = rng
        self._loss_probability = loss_probability
        self._receivers: dict[str, FrameReceiver] = {}
        self._queue: list[QueuedFrame] = []
        self._frame_numbers = itertools.count()
        self._frame_queued = trio.Event()

    def attach(self, address: str, receiver: FrameReceiver) -> None:
        """Register the function that receives the frames for an address."""
        self._receivers[address] = receiver

    def send(self, source: str, destination: str, content: bytes) -> bool:
        """Queue a frame; return False if the destination does not exist."""
        if destination not in self._receivers:
            return False
        is_lost = self._rng.random() < self._loss_probability
        if not (is_lost or self.is_cut(source, destination)):
            delivery_time = trio.current_time() + self._latency
            heapq.heappush(
                self._queue,
                (
                    delivery_time,
                    next(self._frame_numbers),
                    destination,
                    content,
                ),
            )
            self._frame_queued.set()
        return True

    async def run(self) -> None:
        """Deliver the queued frames when they are due, until cancelled."""
        while True:
            while self._queue:
                await trio.sleep_until(self._queue[0][0])
                _, _, destination, content = heapq.heappop(self._queue)
                receiver = self._receivers.get(destination)
                if receiver is not None:
                    receiver(content)
            self._frame_queued = trio.Event()
            await self._frame_queued.wait()


class InMemoryTransport(PeerTransport):
    """A router's transport over a simulated network."""

    def __init__(self, address: str, network: SimulatedNetwork) -> None:
        super().__init__(address)
        self._network = network

    def disconnect(self, address: str) -> None:
        """Do nothing: there is no connection to close."""

    def transmit(self, address: str, content: bytes) -> bool:
        """Queue an encoded frame."""
        return self._network.send(self.address, address, content)
