"""Links between routers over ZeroMQ sockets.

Each router binds one PULL socket and connects one PUSH socket to each peer,
so frames between two routers stay in order in each direction. A frame that
cannot be queued at once is dropped and counted; the protocols above repeat
what matters. pyzmq has no trio loop, so the socket's edge-triggered file
descriptor is awaited: it is drained before every wait.
"""

import itertools
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Iterable

import trio
import zmq

from peridotwell.fleet.frames import Frame, encode_frame

__all__ = ('PeerTransport', 'ZmqPeerTransport')

QUEUE_FRAMES = 1000
# Other tasks get their turn after so many frames.
FRAMES_A_TURN = 32
OUTBOX_OPTIONS = (
    (zmq.SNDHWM, QUEUE_FRAMES),
    # ZMTP heartbeats find connections that went silent and reconnect them
    # (milliseconds).
    (zmq.HEARTBEAT_IVL, 2000),
    (zmq.HEARTBEAT_TIMEOUT, 4000),
    (zmq.RECONNECT_IVL, 100),
    (zmq.RECONNECT_IVL_MAX, 2000),
    (zmq.LINGER, 0),
    # Nothing waits for a peer that is away: old heartbeats would mislead.
    (zmq.IMMEDIATE, 1),
)
# Length prefix and flags that ZMTP adds to a short message.
ZMTP_OVERHEAD_BYTES = 2


class PeerTransport(ABC):
    """This router's links to its peers, and counts of what was sent."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.sent_frames = 0
        self.sent_bytes = 0
        self.dropped_frames = 0

    def send(self, address: str, frame: Frame) -> bool:
        """Queue a frame for a peer; False when it was dropped."""
        return self._transmit(address, encode_frame(frame))

    def send_all(self, addresses: Iterable[str], frame: Frame) -> None:
        """Queue one frame for several peers."""
        content = encode_frame(frame)
        for address in addresses:
            self._transmit(address, content)

    @abstractmethod
    def disconnect(self, address: str) -> None:
        """Close the link to a peer and drop what is queued for it."""

    def _transmit(self, address: str, content: bytes) -> bool:
        if not self.transmit(address, content):
            self.dropped_frames += 1
            return False
        self.sent_frames += 1
        self.sent_bytes += len(content) + ZMTP_OVERHEAD_BYTES
        return True

    @abstractmethod
    def transmit(self, address: str, content: bytes) -> bool:
        """Queue an encoded frame; False when that is not possible."""


class ZmqPeerTransport(PeerTransport):
    """Links over ZeroMQ sockets, as described above."""

    def __init__(self, bind: str) -> None:
        self._context = zmq.Context()
        self._inbox = self._context.socket(zmq.PULL)
        self._inbox.setsockopt(zmq.RCVHWM, QUEUE_FRAMES)
        self._inbox.setsockopt(zmq.IPV6, int(bind.startswith('[')))
        host, _, port = bind.rpartition(':')
        self._inbox.bind(f'tcp://{host}:{port if int(port) else "*"}')
        endpoint = self._inbox.getsockopt(zmq.LAST_ENDPOINT)
        super().__init__(endpoint.decode().removeprefix('tcp://'))
        self._outboxes: dict[str, zmq.Socket[bytes]] = {}

    def close(self) -> None:
        """Close all sockets, dropping what is queued."""
        self._context.destroy(linger=100)

    def connect(self, address: str) -> None:
        """Open the link to a peer unless it is open."""
        if address in self._outboxes:
            return
        outbox = self._context.socket(zmq.PUSH)
        for option, setting in OUTBOX_OPTIONS:
            outbox.setsockopt(option, setting)
        outbox.setsockopt(zmq.IPV6, int(address.startswith('[')))
        outbox.connect(f'tcp://{address}')
        self._outboxes[address] = outbox

    def disconnect(self, address: str) -> None:
        """Close the link to a peer and drop what is queued for it."""
        outbox = self._outboxes.pop(address, None)
        if outbox is not None:
            outbox.close(linger=0)

    def transmit(self, address: str, content: bytes) -> bool:
        """Queue an encoded frame; False when the peer is away or slow."""
        self.connect(address)
        try:
            self._outboxes[address].send(content, zmq.NOBLOCK)
        except zmq.Again:
            return False
        return True

    async def received_frames(self) -> AsyncIterator[bytes]:
        """Yield the content of each frame that arrives."""
        descriptor = self._inbox.getsockopt(zmq.FD)
        for received in itertools.count():
            if received % FRAMES_A_TURN == 0:
                await trio.lowlevel.checkpoint()
            try:
                content = self._inbox.recv(zmq.NOBLOCK)
            except zmq.Again:
                if not self._inbox.getsockopt(zmq.EVENTS) & zmq.POLLIN:
                    await trio.lowlevel.wait_readable(descriptor)
                continue
            yield content
